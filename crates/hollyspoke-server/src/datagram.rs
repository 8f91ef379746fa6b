//! How datagrams between boxes are written and read.
//!
//! The first format has a message's first fields one after the other, without a version: a box that
//! reads it takes nothing else, neither a field less nor a byte more. It stays as it is. What came
//! later is written behind a mark that the first format can't begin with: the version, and numbered,
//! optional fields, of which the first holds the datagram in the first format. A reader passes over
//! numbers that it does not know, and takes those that are missing for empty.
//!
//! A box is sent the later format only once it has told that it can read it, and only for what the
//! first one does not hold. It tells with its whole datagrams, in an entry of the demand for services
//! that is of no service: boxes of the first format keep it and never look it up.

use bincode::Options;
use eyre::{WrapErr, ensure};
use hollyspoke_gateway::departure;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::message::{Demand, Eras, Extension, Format, Message};
use hollyspoke_gateway::permit::{Ask, Outcome, Reply};
use hollyspoke_gateway::rate_limit::Announcement;
use minicbor::{Decode, Encode};

/// The first byte of a datagram in a later format. The first format begins with a number in as few
/// bytes as it needs, whose first byte is at most 254.
pub(crate) const EXTENDED_FORMAT_MARK: u8 = 255;

/// The version that this box writes.
const EXTENDED_FORMAT_VERSION: u8 = 1;

/// The version that a box tells that can read the later format of handovers too.
const HANDOVER_VERSION: u32 = 2;

/// The version that a box tells that can read eras of the store too.
const ERA_VERSION: u32 = 3;

/// The entry of the demand in which a box tells the version that it can read: a number drawn once,
/// which is the hash of no service's name but by a chance of one in 2^64.
const VERSION_DEMAND_KEY: u64 = 0x7d5c_05bd_0f8a_2c31;

/// A datagram in a later format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ExtendedDatagram {
    /// The datagram in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// What engines in need take.
    #[n(1)]
    limits: Option<Vec<LimitField>>,
    /// Questions for permits.
    #[n(2)]
    asks: Option<Vec<AskField>>,
    /// Answers to questions for permits.
    #[n(3)]
    replies: Option<Vec<ReplyField>>,
    /// Engines that are about to leave.
    #[n(4)]
    departures: Option<Vec<DepartureField>>,
    /// The eras of what the datagram tells.
    #[n(5)]
    eras: Option<ErasField>,
}

/// The eras of what a datagram tells; one that is missing is the store's.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ErasField {
    /// The newest that the sender knows of.
    #[n(0)]
    store: u64,
    /// That of the newest change of an engine.
    #[n(1)]
    engines: Option<u64>,
    /// That which the sender knew before its news.
    #[n(2)]
    since: Option<u64>,
    /// That of all changes in its news.
    #[n(3)]
    changes: Option<u64>,
    /// That of the evacuations.
    #[n(4)]
    evacuation: Option<u64>,
}

/// What an engine in need takes.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct LimitField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// The life of the engine.
    #[n(1)]
    born: Option<u64>,
    /// Requests a second; none if the limit was lifted.
    #[n(2)]
    rate: Option<f64>,
    /// How long ago that was so, in milliseconds.
    #[n(3)]
    age_ms: u32,
}

/// A question for a permit.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct AskField {
    /// The number of the question.
    #[n(0)]
    number: u64,
    /// The engine's limit as the asking box knows it.
    #[n(1)]
    limit: LimitField,
    /// For how long the request may wait, in milliseconds.
    #[n(2)]
    patience_ms: u32,
}

/// The answer to a question for a permit: one of its last three fields is there.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ReplyField {
    /// The number of the question.
    #[n(0)]
    number: u64,
    /// The engine's key.
    #[n(1)]
    engine: u64,
    /// After how many milliseconds the permit can be used.
    #[n(2)]
    issued_in_ms: Option<u32>,
    /// For how many milliseconds there is none.
    #[n(3)]
    refused_for_ms: Option<u32>,
    /// Whether the engine has no limit.
    #[n(4)]
    is_unlimited: Option<bool>,
}

/// An engine that is about to leave.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
pub(crate) struct DepartureField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// The life of the engine.
    #[n(1)]
    born: Option<u64>,
    /// For how long it is known, in milliseconds.
    #[n(2)]
    age_ms: u32,
}

/// Gives how the first format is written.
fn first_format_options() -> impl Options {
    bincode::DefaultOptions::new()
}

/// Writes a datagram for boxes that can read a format.
///
/// # Errors
///
/// If the message can't be written.
pub fn write(message: &Message, format: Format) -> eyre::Result<Vec<u8>> {
    let first = write_first(message)?;
    if format < Format::Permits || !message.is_extended() {
        return Ok(first);
    }
    let extension = message.extension.as_deref().cloned().unwrap_or_default();
    let extended = ExtendedDatagram {
        first,
        limits: non_empty_list(extension.limits.iter().map(LimitField::of).collect()),
        asks: non_empty_list(extension.asks.iter().map(AskField::of).collect()),
        replies: non_empty_list(extension.replies.iter().map(ReplyField::of).collect()),
        departures: non_empty_list(extension.departures.iter().map(DepartureField::of).collect()),
        eras: (message.era > 0).then(|| ErasField::of(message.eras())),
    };
    let mut bytes = vec![EXTENDED_FORMAT_MARK, EXTENDED_FORMAT_VERSION];
    minicbor::encode(&extended, &mut bytes).wrap_err("a field can't be written")?;
    Ok(bytes)
}

/// Reads a datagram.
///
/// # Errors
///
/// If it is in no format that is known.
pub fn read(bytes: &[u8]) -> eyre::Result<Message> {
    let Some((&EXTENDED_FORMAT_MARK, rest)) = bytes.split_first() else { return read_first(bytes) };
    let Some((&version, fields)) = rest.split_first() else { eyre::bail!("no version") };
    ensure!(version >= EXTENDED_FORMAT_VERSION, "no such version: {version}");
    let extended: ExtendedDatagram = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut message = read_first(&extended.first)?;
    message.format = message.format.or(Some(Format::Permits));
    message.set_eras(extended.eras.as_ref().map(ErasField::eras).unwrap_or_default());
    message.extension = Extension {
        limits: extended.limits.iter().flatten().map(LimitField::announcement).collect(),
        asks: extended.asks.iter().flatten().map(AskField::ask).collect(),
        replies: extended.replies.iter().flatten().filter_map(ReplyField::reply).collect(),
        departures: extended
            .departures
            .iter()
            .flatten()
            .map(DepartureField::announcement)
            .collect(),
    }
    .non_empty();
    Ok(message)
}

/// Writes the first format. A whole datagram tells which version this box can read.
fn write_first(message: &Message) -> eyre::Result<Vec<u8>> {
    if !message.is_whole {
        return Ok(first_format_options().serialize(message)?);
    }
    let version = Demand { prefill_tokens_per_s: ERA_VERSION, held_tokens: 0, requests: 0 };
    let mut message_with_version = Message { extension: None, ..message.clone() };
    message_with_version.demand.push((VERSION_DEMAND_KEY, version));
    Ok(first_format_options().serialize(&message_with_version)?)
}

/// Reads the first format.
fn read_first(bytes: &[u8]) -> eyre::Result<Message> {
    let mut message: Message = first_format_options().deserialize(bytes)?;
    let is_version_entry = |it: &(u64, Demand)| it.0 == VERSION_DEMAND_KEY;
    let version =
        message.demand.iter().find(|it| is_version_entry(it)).map(|it| it.1.prefill_tokens_per_s);
    message.demand.retain(|it| !is_version_entry(it));
    message.format = match version {
        Some(ERA_VERSION..) => Some(Format::Eras),
        Some(HANDOVER_VERSION) => Some(Format::Handovers),
        Some(1..) => Some(Format::Permits),
        _ => message.format,
    };
    Ok(message)
}

/// Gives a field that is left out if it holds nothing.
pub(crate) fn non_empty_list<T>(items: Vec<T>) -> Option<Vec<T>> {
    (!items.is_empty()).then_some(items)
}

impl LimitField {
    /// Makes the field of what a box tells.
    fn of(announcement: &Announcement) -> LimitField {
        let &Announcement { engine, born, rate, age_ms } = announcement;
        LimitField { engine: engine.0, born, rate, age_ms }
    }

    /// Gives what a box tells.
    fn announcement(&self) -> Announcement {
        let &LimitField { engine, born, rate, age_ms } = self;
        Announcement { engine: EngineKey(engine), born, rate, age_ms }
    }
}

impl ErasField {
    /// Makes the field of eras.
    fn of(eras: Eras) -> ErasField {
        let other = |era: u64| (era != eras.store).then_some(era);
        ErasField {
            store: eras.store,
            engines: other(eras.engines),
            since: other(eras.since),
            changes: other(eras.changes),
            evacuation: other(eras.evacuation),
        }
    }

    /// Gives the eras.
    fn eras(&self) -> Eras {
        let or_store = |era: Option<u64>| era.unwrap_or(self.store);
        Eras {
            store: self.store,
            engines: or_store(self.engines),
            since: or_store(self.since),
            changes: or_store(self.changes),
            evacuation: or_store(self.evacuation),
        }
    }
}

impl DepartureField {
    /// Makes the field of what a box tells.
    pub(crate) fn of(announcement: &departure::Announcement) -> DepartureField {
        let &departure::Announcement { engine, started_at: born, age_ms } = announcement;
        DepartureField { engine: engine.0, born, age_ms }
    }

    /// Gives what a box tells.
    pub(crate) fn announcement(&self) -> departure::Announcement {
        let &DepartureField { engine, born, age_ms } = self;
        departure::Announcement { engine: EngineKey(engine), started_at: born, age_ms }
    }
}

impl AskField {
    /// Makes the field of a question.
    fn of(ask: &Ask) -> AskField {
        let limit = LimitField::of(&ask.limit);
        AskField { number: ask.number, limit, patience_ms: ask.patience_ms }
    }

    /// Gives the question.
    fn ask(&self) -> Ask {
        let limit = self.limit.announcement();
        Ask { number: self.number, limit, patience_ms: self.patience_ms }
    }
}

impl ReplyField {
    /// Makes the field of an answer.
    fn of(reply: &Reply) -> ReplyField {
        let (mut issued_in_ms, mut refused_for_ms, mut is_unlimited) = (None, None, None);
        match reply.outcome {
            Outcome::Issued(in_ms) => issued_in_ms = Some(in_ms),
            Outcome::Refused(for_ms) => refused_for_ms = Some(for_ms),
            Outcome::Unlimited => is_unlimited = Some(true),
        }
        let engine = reply.engine.0;
        ReplyField { number: reply.number, engine, issued_in_ms, refused_for_ms, is_unlimited }
    }

    /// Gives the answer; none if it is of a kind that this box does not know.
    fn reply(&self) -> Option<Reply> {
        let issued = self.issued_in_ms.map(Outcome::Issued);
        let refused = self.refused_for_ms.map(Outcome::Refused);
        let unlimited = self.is_unlimited.filter(|&it| it).map(|_| Outcome::Unlimited);
        let outcome = issued.or(refused).or(unlimited)?;
        Some(Reply { number: self.number, engine: EngineKey(self.engine), outcome })
    }
}

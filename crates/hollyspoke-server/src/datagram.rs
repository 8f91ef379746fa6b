//! Encoding and decoding of datagrams between boxes.
//!
//! The first format holds a message's original fields one after the other, without a version: a box
//! that reads it accepts no missing field and no additional byte, so it must not change. Later
//! fields are encoded in an extended format. It begins with a mark with which the first format
//! can't begin, followed by the version and by numbered, optional fields; the first of them holds
//! the datagram in the first format. A reader skips unknown numbers and treats missing fields as
//! empty.
//!
//! The extended format is sent only to boxes that have announced that they can read it, and only
//! for content that the first format can't hold. A box announces this in its whole datagrams, in an
//! entry of the demand per service whose key belongs to no service: boxes that know only the first
//! format store the entry and never look it up.

use bincode::Options;
use eyre::{WrapErr, ensure};
use hollyspoke_gateway::class::{self, Class};
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::message::{Demand, Eras, Extension, Format, Message};
use hollyspoke_gateway::permit::{Ask, Outcome, Reply};
use hollyspoke_gateway::quarantine::Incarnation;
use hollyspoke_gateway::rate_limit::Announcement;
use hollyspoke_gateway::{appointment, departure, pace, proxy};
use minicbor::{Decode, Encode};

use crate::part_field::PartField;
use crate::software::VersionsField;

/// The first byte of a datagram in the extended format. The first format begins with a
/// variable-length integer, whose first byte is at most 254.
pub(crate) const EXTENDED_FORMAT_MARK: u8 = 255;

/// The version of the extended format that this box writes.
const EXTENDED_FORMAT_VERSION: u8 = 1;

/// The version announced by boxes that can also read the extended format of handovers.
const HANDOVER_VERSION: u32 = 2;

/// The version announced by boxes that can also read eras of the store.
const ERA_VERSION: u32 = 3;

/// The key of the demand entry in which a box announces the version that it can read. It is a
/// random number, which equals the hash of a service's name with a probability of 2^-64.
const VERSION_DEMAND_KEY: u64 = 0x7d5c_05bd_0f8a_2c31;

/// A datagram in the extended format.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ExtendedDatagram {
    /// The datagram in the first format.
    #[cbor(n(0), with = "minicbor::bytes")]
    first: Vec<u8>,
    /// The limits of rate-limited engines.
    #[n(1)]
    limits: Option<Vec<LimitField>>,
    /// Requests for permits.
    #[n(2)]
    asks: Option<Vec<AskField>>,
    /// Answers to requests for permits.
    #[n(3)]
    replies: Option<Vec<ReplyField>>,
    /// Engines that are shutting down.
    #[n(4)]
    departures: Option<Vec<DepartureField>>,
    /// The store's eras to which the datagram's content belongs.
    #[n(5)]
    eras: Option<ErasField>,
    /// The load of traffic classes at the sender.
    #[n(6)]
    classes: Option<Vec<ClassField>>,
    /// The load that the sender has told to return.
    #[n(7)]
    appointments: Option<Vec<AppointmentField>>,
    /// The paces of engines.
    #[n(8)]
    paces: Option<Vec<PaceField>>,
    /// Whether and for which services the sender accepts requests of other boxes.
    #[n(9)]
    proxy: Option<ProxyField>,
    /// The versions of the engines added or changed by the engine update, in its order.
    #[n(10)]
    versions: Option<VersionsField>,
    /// Whether the sender reads notices of streams' versions, in whole datagrams; no if missing.
    #[n(11)]
    reads_notices: Option<bool>,
    /// Engines that the sender announced as unreachable, and from which something has come since.
    #[n(12)]
    reached: Option<Vec<u64>>,
    /// The time left in which engines may register again, in milliseconds; none if missing.
    #[n(13)]
    registration_ms: Option<u32>,
    /// Parts of prompts that have crashed engines.
    #[n(14)]
    parts: Option<Vec<PartField>>,
    /// Whether the sender supports cases of prompts' parts, in whole datagrams; no if missing.
    #[n(15)]
    supports_parts: Option<bool>,
    /// Whether the sender keeps streams in the store, in whole datagrams; no if missing.
    #[n(16)]
    keeps_records: Option<bool>,
    /// The incarnations of the engines whose address belongs to another one.
    #[n(17)]
    replaced: Option<Vec<IncarnationField>>,
}

/// An incarnation of an engine.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct IncarnationField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// Its start time, in milliseconds of Unix time.
    #[n(1)]
    born: Option<u64>,
}

/// Whether and for which services a box accepts requests of other boxes.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ProxyField {
    /// The port at which it accepts them; none if it doesn't.
    #[n(0)]
    port: Option<u16>,
    /// The hashes of the names of the services whose engines it can't reach; none if missing.
    #[n(1)]
    lost: Option<Vec<u64>>,
    /// Whether these are all services; false if missing.
    #[n(2)]
    is_cut_off: Option<bool>,
}

/// The load of a traffic class.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ClassField {
    /// The hash of the service's name.
    #[n(0)]
    service: u64,
    /// The priority, 0 being the highest.
    #[n(1)]
    priority: u8,
    /// The customer's key; none if requests have no customer.
    #[n(2)]
    customer: Option<u64>,
    /// The units per second that arrive, in thousandths; 0 if missing.
    #[n(3)]
    arriving_milli_per_s: Option<u64>,
    /// The units that wait; 0 if missing.
    #[n(4)]
    waiting: Option<u32>,
    /// The units in use; 0 if missing.
    #[n(5)]
    running: Option<u32>,
}

/// A load that is due to return.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct AppointmentField {
    /// The hash of the service's name.
    #[n(0)]
    service: u64,
    /// The priority, 0 being the highest.
    #[n(1)]
    priority: u8,
    /// The time until the return, in milliseconds.
    #[n(2)]
    in_ms: u32,
    /// The units that return.
    #[n(3)]
    units: u32,
}

/// The pace of an engine.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct PaceField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// The start time of the engine's incarnation, in milliseconds of Unix time.
    #[n(1)]
    born: Option<u64>,
    /// The time that work takes, in percent of the usual.
    #[n(2)]
    percent: u16,
    /// The age of the measurement, in milliseconds.
    #[n(3)]
    age_ms: u32,
}

/// The eras to which a datagram's content belongs; a missing one equals `store`.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ErasField {
    /// The newest era that the sender knows.
    #[n(0)]
    store: u64,
    /// The era of the newest change of an engine.
    #[n(1)]
    engines: Option<u64>,
    /// The era that the sender knew before the changes that it sends.
    #[n(2)]
    since: Option<u64>,
    /// The era of all changes that it sends.
    #[n(3)]
    changes: Option<u64>,
    /// The era of the evacuations.
    #[n(4)]
    evacuation: Option<u64>,
}

/// The limit of a rate-limited engine.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct LimitField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// The start time of the engine's incarnation, in milliseconds of Unix time.
    #[n(1)]
    born: Option<u64>,
    /// The limit in requests per second; none if it was lifted.
    #[n(2)]
    rate: Option<f64>,
    /// The age of this information, in milliseconds.
    #[n(3)]
    age_ms: u32,
}

/// A request for a permit.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct AskField {
    /// The number of the permit request.
    #[n(0)]
    number: u64,
    /// The engine's limit as the requesting box knows it.
    #[n(1)]
    limit: LimitField,
    /// How long the client's request may wait, in milliseconds.
    #[n(2)]
    patience_ms: u32,
}

/// The answer to a permit request: exactly one of the last three fields is present.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ReplyField {
    /// The number of the permit request.
    #[n(0)]
    number: u64,
    /// The engine's key.
    #[n(1)]
    engine: u64,
    /// The delay after which the permit may be used, in milliseconds.
    #[n(2)]
    issued_in_ms: Option<u32>,
    /// How long no permit is available, in milliseconds.
    #[n(3)]
    refused_for_ms: Option<u32>,
    /// Whether the engine has no limit.
    #[n(4)]
    is_unlimited: Option<bool>,
}

/// An engine that is shutting down.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
pub(crate) struct DepartureField {
    /// The engine's key.
    #[n(0)]
    engine: u64,
    /// The start time of the engine's incarnation, in milliseconds of Unix time.
    #[n(1)]
    born: Option<u64>,
    /// How long the shutdown has been known, in milliseconds.
    #[n(2)]
    age_ms: u32,
}

/// Returns the encoding options of the first format.
fn first_format_options() -> impl Options {
    bincode::DefaultOptions::new()
}

/// Encodes a datagram in a format that its receiver can read.
///
/// # Errors
///
/// If the message can't be encoded.
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
        classes: non_empty_list(extension.classes.iter().map(ClassField::of).collect()),
        appointments: non_empty_list(
            extension.appointments.iter().map(AppointmentField::of).collect(),
        ),
        paces: non_empty_list(extension.paces.iter().map(PaceField::of).collect()),
        proxy: ProxyField::of(&extension.proxy),
        versions: message.engine_update.as_ref().and_then(|it| VersionsField::of(put(&it.changes))),
        reads_notices: message.announces_notices().then_some(true),
        reached: non_empty_list(extension.reached.iter().map(|it| it.0).collect()),
        replaced: non_empty_list(extension.replaced.iter().map(IncarnationField::of).collect()),
        registration_ms: extension.registration_ms,
        parts: non_empty_list(extension.parts.iter().map(PartField::of).collect()),
        supports_parts: message.announces_parts().then_some(true),
        keeps_records: message.announces_records().then_some(true),
    };
    let mut bytes = vec![EXTENDED_FORMAT_MARK, EXTENDED_FORMAT_VERSION];
    minicbor::encode(&extended, &mut bytes).wrap_err("a field can't be written")?;
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// If its format is unknown or its content is malformed.
pub fn read(bytes: &[u8]) -> eyre::Result<Message> {
    let Some((&EXTENDED_FORMAT_MARK, rest)) = bytes.split_first() else { return read_first(bytes) };
    let Some((&version, fields)) = rest.split_first() else { eyre::bail!("no version") };
    ensure!(version >= EXTENDED_FORMAT_VERSION, "no such version: {version}");
    let extended: ExtendedDatagram = minicbor::decode(fields).wrap_err("a field can't be read")?;
    let mut message = read_first(&extended.first)?;
    message.format = message.format.or(Some(Format::Permits));
    if extended.reads_notices.unwrap_or_default() {
        message.format = Some(Format::Origins);
    }
    if extended.supports_parts.unwrap_or_default() {
        message.format = Some(Format::Parts);
    }
    if extended.keeps_records.unwrap_or_default() {
        message.format = Some(Format::Records);
    }
    message.set_eras(extended.eras.as_ref().map(ErasField::eras).unwrap_or_default());
    if let (Some(versions), Some(update)) = (&extended.versions, &mut message.engine_update) {
        versions.apply(put_mut(&mut update.changes));
    }
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
        classes: extended.classes.iter().flatten().map(ClassField::announcement).collect(),
        appointments: extended
            .appointments
            .iter()
            .flatten()
            .map(AppointmentField::announcement)
            .collect(),
        paces: extended.paces.iter().flatten().map(PaceField::announcement).collect(),
        reached: extended.reached.iter().flatten().map(|&it| EngineKey(it)).collect(),
        replaced: extended.replaced.iter().flatten().map(IncarnationField::incarnation).collect(),
        proxy: extended.proxy.map(ProxyField::announcement).unwrap_or_default(),
        registration_ms: extended.registration_ms,
        parts: extended.parts.iter().flatten().filter_map(PartField::announcement).collect(),
    }
    .non_empty();
    Ok(message)
}

/// Iterates over the engines that changes add or change.
pub(crate) fn put(changes: &[EngineChange]) -> impl Iterator<Item = &Engine> {
    changes.iter().filter_map(|it| match it {
        EngineChange::Put(engine, _) => Some(engine),
        EngineChange::Left(..) => None,
    })
}

/// Iterates over the same engines for modification.
pub(crate) fn put_mut(changes: &mut [EngineChange]) -> impl Iterator<Item = &mut Engine> {
    changes.iter_mut().filter_map(|it| match it {
        EngineChange::Put(engine, _) => Some(engine),
        EngineChange::Left(..) => None,
    })
}

/// Encodes the first format. A whole datagram also announces the version that this box can read.
fn write_first(message: &Message) -> eyre::Result<Vec<u8>> {
    if !message.is_whole {
        return Ok(first_format_options().serialize(message)?);
    }
    let version = Demand { prefill_tokens_per_s: ERA_VERSION, held_tokens: 0, requests: 0 };
    let mut message_with_version = Message { extension: None, ..message.clone() };
    message_with_version.demand.push((VERSION_DEMAND_KEY, version));
    Ok(first_format_options().serialize(&message_with_version)?)
}

/// Decodes the first format and the announced version.
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

/// Returns a list as an optional field: none if it is empty.
pub(crate) fn non_empty_list<T>(items: Vec<T>) -> Option<Vec<T>> {
    (!items.is_empty()).then_some(items)
}

impl LimitField {
    /// Encodes an announced limit.
    fn of(announcement: &Announcement) -> LimitField {
        let &Announcement { engine, born, rate, age_ms } = announcement;
        LimitField { engine: engine.0, born, rate, age_ms }
    }

    /// Decodes an announced limit.
    fn announcement(&self) -> Announcement {
        let &LimitField { engine, born, rate, age_ms } = self;
        Announcement { engine: EngineKey(engine), born, rate, age_ms }
    }
}

impl ClassField {
    /// Encodes the load of a class. Zeros are left out.
    fn of(announcement: &class::Announcement) -> ClassField {
        let class::Announcement { class, load } = announcement;
        let non_zero = |units: u32| (units > 0).then_some(units);
        ClassField {
            service: class.service,
            priority: class.priority,
            customer: class.customer.map(|it| it.0),
            arriving_milli_per_s: (load.arriving_milli_per_s > 0)
                .then_some(load.arriving_milli_per_s),
            waiting: non_zero(load.waiting),
            running: non_zero(load.running),
        }
    }

    /// Decodes the load of a class.
    fn announcement(&self) -> class::Announcement {
        let customer = self.customer.map(CustomerKey);
        class::Announcement {
            class: Class { service: self.service, priority: self.priority, customer },
            load: class::Load {
                arriving_milli_per_s: self.arriving_milli_per_s.unwrap_or_default(),
                waiting: self.waiting.unwrap_or_default(),
                running: self.running.unwrap_or_default(),
            },
        }
    }
}

impl AppointmentField {
    /// Encodes a load that is due to return.
    fn of(announcement: &appointment::Announcement) -> AppointmentField {
        let &appointment::Announcement { service, priority, in_ms, units } = announcement;
        AppointmentField { service, priority, in_ms, units }
    }

    /// Decodes a load that is due to return.
    fn announcement(&self) -> appointment::Announcement {
        let &AppointmentField { service, priority, in_ms, units } = self;
        appointment::Announcement { service, priority, in_ms, units }
    }
}

impl PaceField {
    /// Encodes an engine's pace.
    fn of(announcement: &pace::Announcement) -> PaceField {
        let &pace::Announcement { engine, started_at: born, percent, age_ms } = announcement;
        PaceField { engine: engine.0, born, percent, age_ms }
    }

    /// Decodes an engine's pace.
    fn announcement(&self) -> pace::Announcement {
        let &PaceField { engine, born, percent, age_ms } = self;
        pace::Announcement { engine: EngineKey(engine), started_at: born, percent, age_ms }
    }
}

impl IncarnationField {
    /// Returns the field for an incarnation.
    fn of(it: &Incarnation) -> IncarnationField {
        IncarnationField { engine: it.engine.0, born: it.started_at }
    }

    /// Returns the incarnation.
    fn incarnation(&self) -> Incarnation {
        Incarnation { engine: EngineKey(self.engine), started_at: self.born }
    }
}

impl ProxyField {
    /// Encodes an announcement; none if it is empty.
    fn of(announcement: &proxy::Announcement) -> Option<ProxyField> {
        let proxy::Announcement { port, lost, is_cut_off } = announcement.clone();
        let is_empty = *announcement == proxy::Announcement::default();
        let is_cut_off = is_cut_off.then_some(true);
        (!is_empty).then(|| ProxyField { port, lost: non_empty_list(lost), is_cut_off })
    }

    /// Decodes an announcement.
    fn announcement(self) -> proxy::Announcement {
        proxy::Announcement {
            port: self.port,
            lost: self.lost.unwrap_or_default(),
            is_cut_off: self.is_cut_off.unwrap_or_default(),
        }
    }
}

impl ErasField {
    /// Encodes eras, without those that equal the store's.
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

    /// Decodes eras.
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
    /// Encodes an announced shutdown.
    pub(crate) fn of(announcement: &departure::Announcement) -> DepartureField {
        let &departure::Announcement { engine, started_at: born, age_ms } = announcement;
        DepartureField { engine: engine.0, born, age_ms }
    }

    /// Decodes an announced shutdown.
    pub(crate) fn announcement(&self) -> departure::Announcement {
        let &DepartureField { engine, born, age_ms } = self;
        departure::Announcement { engine: EngineKey(engine), started_at: born, age_ms }
    }
}

impl AskField {
    /// Encodes a permit request.
    fn of(ask: &Ask) -> AskField {
        let limit = LimitField::of(&ask.limit);
        AskField { number: ask.number, limit, patience_ms: ask.patience_ms }
    }

    /// Decodes a permit request.
    fn ask(&self) -> Ask {
        let limit = self.limit.announcement();
        Ask { number: self.number, limit, patience_ms: self.patience_ms }
    }
}

impl ReplyField {
    /// Encodes an answer to a permit request.
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

    /// Decodes an answer to a permit request; none if its outcome is of an unknown kind.
    fn reply(&self) -> Option<Reply> {
        let issued = self.issued_in_ms.map(Outcome::Issued);
        let refused = self.refused_for_ms.map(Outcome::Refused);
        let unlimited = self.is_unlimited.filter(|&it| it).map(|_| Outcome::Unlimited);
        let outcome = issued.or(refused).or(unlimited)?;
        Some(Reply { number: self.number, engine: EngineKey(self.engine), outcome })
    }
}

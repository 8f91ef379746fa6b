//! What boxes tell each other, in datagrams that may be lost, doubled or late.

use std::net::SocketAddr;

use hollyspoke::quota::Account;
use hollyspoke::store::Revision;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::cadence::Cadence;
use crate::customer::CustomerKey;
use crate::engine::{EngineChange, EngineKey, Stage};
use crate::evacuation::Evacuation;
use crate::permit::{Ask, Reply};
use crate::prompt::CachedPrompt;
use crate::quarantine::Announcement;
use crate::{departure, rate_limit};

/// The short name of a data centre: a hash of its name, the same on all boxes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DataCentreKey(pub u32);

impl DataCentreKey {
    /// Makes the key of a name.
    pub fn of(name: &str) -> DataCentreKey {
        DataCentreKey(xxh3_64(name.as_bytes()) as u32)
    }
}

/// The work that one box has at one engine now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Tokens of prompts that the engine is reading, or has yet to read.
    pub prefill_tokens: u32,
    /// Calls under way.
    pub calls: u32,
    /// Tokens that the calls hold, or will hold, in the engine's memory.
    pub held_tokens: u32,
}

impl Load {
    /// Adds work.
    pub fn add(&mut self, load: Load) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(load.prefill_tokens);
        self.calls = self.calls.saturating_add(load.calls);
        self.held_tokens = self.held_tokens.saturating_add(load.held_tokens);
    }

    /// Takes work away.
    pub fn remove(&mut self, load: Load) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(load.prefill_tokens);
        self.calls = self.calls.saturating_sub(load.calls);
        self.held_tokens = self.held_tokens.saturating_sub(load.held_tokens);
    }

    /// Tells whether there is no work.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}

/// Whether a box takes requests from clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It knows no configuration yet.
    Starting,
    /// It serves.
    Ready,
    /// It is being stopped.
    Stopping,
}

/// What a box knows of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// The version of the configuration; 0 if none is known.
    pub version: u64,
    /// The revision of the newest change of an engine.
    pub revision: Revision,
    /// Whether the box follows the store and gets no answers.
    pub has_lost_store: bool,
}

/// Changes of engines that the sender has just read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The revision that the sender knew before.
    pub since: Revision,
    /// The changes, in order.
    pub changes: Vec<EngineChange>,
}

/// What the sender has let through for customers that have a limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The accounts that have changed of late, or all.
    pub accounts: Vec<Account<CustomerKey>>,
    /// Whether it is all accounts.
    pub is_complete: bool,
    /// The most boxes that lived at once, as the sender and those it heard know; 0 if it does not
    /// say.
    pub peak_boxes: u32,
}

/// An engine that turned a request away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The engine.
    pub engine: EngineKey,
    /// The tokens that the request would have held in its memory.
    pub held_tokens: u32,
}

/// The work that clients ask of one service with stages, at one box or at all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Tokens of prompts a second.
    pub prefill_tokens_per_s: u32,
    /// Tokens that the requests would hold in memory together, on the mean.
    pub held_tokens: u32,
    /// Requests of late, by which the other figures can be trusted.
    pub requests: u32,
}

impl Demand {
    /// Adds another box's demand.
    #[must_use]
    pub fn plus(self, other: Demand) -> Demand {
        Demand {
            prefill_tokens_per_s: self
                .prefill_tokens_per_s
                .saturating_add(other.prefill_tokens_per_s),
            held_tokens: self.held_tokens.saturating_add(other.held_tokens),
            requests: self.requests.saturating_add(other.requests),
        }
    }
}

/// A box as others name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Where it listens for datagrams.
    pub address: SocketAddr,
    /// The short name of its data centre.
    pub data_centre: DataCentreKey,
}

/// An engine that is to change its stage, and takes nothing new until it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageSwitch {
    /// The engine.
    pub engine: EngineKey,
    /// The stage that it changes to.
    pub stage: Stage,
    /// For how long it takes nothing new, in milliseconds, unless the change is seen before; 0 if
    /// it stays as it is.
    pub duration_ms: u32,
}

/// What a box can read of datagrams and handovers.
///
/// The fields of [`Message`] up to `peers` are those of the first format, and stay as they are. Those
/// of [`Extension`] are numbered and optional where they are written; a box that can't read them is
/// sent the others alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// The first fields alone.
    #[default]
    First,
    /// Limits of engines, and permits, too.
    Permits,
    /// Handovers with numbered fields, too.
    Handovers,
    /// Eras of the store, too.
    Eras,
}

/// One datagram. Loads are absolute, so that a lost datagram is mended by the next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// A number drawn at the sender's start.
    pub incarnation: u64,
    /// Counts the sender's datagrams.
    pub sequence: u64,
    /// Where the sender listens for datagrams.
    pub sender: SocketAddr,
    /// Where the sender listens for clients.
    pub front: SocketAddr,
    /// The short name of the sender's data centre.
    pub data_centre: DataCentreKey,
    /// Whether the receiver passes the datagram on to the other boxes of its data centre.
    pub is_relayed: bool,
    /// Whether the sender takes requests.
    pub readiness: Readiness,
    /// The work that has changed, or all work if `is_whole`.
    pub loads: Vec<(EngineKey, Load)>,
    /// Whether engines that are not among `loads` have no work of the sender's.
    pub is_whole: bool,
    /// How often such whole datagrams come, told with each of them.
    pub cadence: Option<Cadence>,
    /// What the sender knows of the store.
    pub store_view: StoreView,
    /// The evacuated data centres, as far as the sender knows them.
    pub evacuation: Evacuation,
    /// What clients ask of each service with stages, by a hash of the service's name.
    pub demand: Vec<(u64, Demand)>,
    /// What the sender has let through for customers that have a limit.
    pub usage: Usage,
    /// Engines that the sender has change their stage.
    pub stage_switches: Vec<StageSwitch>,
    /// Engines whose address the sender has just found taken by another incarnation.
    pub replaced: Vec<EngineKey>,
    /// Engines that the sender has just not reached, or that fell silent to it.
    pub unreachable: Vec<EngineKey>,
    /// Requests under which engines have crashed.
    pub crashes: Vec<Announcement>,
    /// Engines that had no room for a request of the sender's.
    pub rejections: Vec<Rejection>,
    /// Changes that the sender has just read.
    pub engine_update: Option<Box<EngineUpdate>>,
    /// Prompts that engines have begun to generate from for the sender.
    pub cached_prompts: Vec<CachedPrompt>,
    /// Some boxes that the sender has heard from of late.
    pub peers: Vec<PeerAddress>,
    /// The newest era of the store that the sender knows of; 0 if it does not tell.
    #[serde(skip)]
    pub era: u64,
    /// What the sender can read, if the datagram tells.
    #[serde(skip)]
    pub format: Option<Format>,
    /// What a box of the first format can't read.
    #[serde(skip)]
    pub extension: Option<Box<Extension>>,
}

/// What datagrams tell since the first format.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Extension {
    /// What engines in need take.
    pub limits: Vec<rate_limit::Announcement>,
    /// Questions for permits that the receiver issues.
    pub asks: Vec<Ask>,
    /// Answers to the receiver's questions for permits.
    pub replies: Vec<Reply>,
    /// Engines that are about to leave.
    pub departures: Vec<departure::Announcement>,
}

impl Message {
    /// Tells whether it holds something that a box of the first format can't read.
    pub fn is_extended(&self) -> bool {
        self.extension.is_some() || self.era > 0
    }

    /// Gives the eras of what it tells.
    pub fn eras(&self) -> Eras {
        let news = self.engine_update.as_ref();
        Eras {
            store: self.era,
            engines: self.store_view.revision.era,
            since: news.map_or(0, |it| it.since.era),
            changes: news.and_then(|it| it.changes.last()).map_or(0, |it| it.revision().era),
            evacuation: self.evacuation.revision.era,
        }
    }

    /// Puts what it tells into eras.
    pub fn set_eras(&mut self, eras: Eras) {
        self.era = eras.store;
        self.store_view.revision.era = eras.engines;
        self.evacuation.revision.era = eras.evacuation;
        if let Some(news) = &mut self.engine_update {
            news.since.era = eras.since;
            let changes = std::mem::take(&mut news.changes).into_iter();
            news.changes = changes.map(|it| it.in_era(eras.changes)).collect();
        }
    }
}

/// The eras of what a datagram tells, whose first format holds the numbers of revisions alone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Eras {
    /// The newest that the sender knows of.
    pub store: u64,
    /// That of the newest change of an engine.
    pub engines: u64,
    /// That which the sender knew before its news.
    pub since: u64,
    /// That of all changes in its news.
    pub changes: u64,
    /// That of the evacuations.
    pub evacuation: u64,
}

impl Extension {
    /// Gives it as a part of a datagram, if it tells anything.
    pub fn non_empty(self) -> Option<Box<Extension>> {
        (self != Extension::default()).then(|| Box::new(self))
    }
}

//! The datagrams between boxes, which may be lost, duplicated or delayed.

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
use crate::quarantine::{Announcement, Incarnation, MAX_CRASHES, NamedAnnouncement};
use crate::{appointment, class, departure, pace, proxy, rate_limit};

/// The short key of a data centre: a hash of its name, equal on all boxes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DataCentreKey(pub u32);

impl DataCentreKey {
    /// Returns the key of a name.
    pub fn of(name: &str) -> DataCentreKey {
        DataCentreKey(xxh3_64(name.as_bytes()) as u32)
    }
}

/// The work of one box at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that the engine has still to prefill.
    pub prefill_tokens: u32,
    /// Calls in progress.
    pub calls: u32,
    /// Tokens that the calls occupy, or will occupy, in the engine's memory.
    pub held_tokens: u32,
}

impl Load {
    /// Adds work.
    pub fn add(&mut self, load: Load) {
        self.prefill_tokens = self.prefill_tokens.saturating_add(load.prefill_tokens);
        self.calls = self.calls.saturating_add(load.calls);
        self.held_tokens = self.held_tokens.saturating_add(load.held_tokens);
    }

    /// Subtracts work.
    pub fn remove(&mut self, load: Load) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(load.prefill_tokens);
        self.calls = self.calls.saturating_sub(load.calls);
        self.held_tokens = self.held_tokens.saturating_sub(load.held_tokens);
    }

    /// Returns whether there is no work.
    pub fn is_empty(&self) -> bool {
        *self == Load::default()
    }
}

/// Whether a box accepts requests from clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// The box doesn't know all that it needs to serve.
    Starting,
    /// The box accepts requests.
    Ready,
    /// The box is shutting down.
    Stopping,
}

/// A box's view of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreView {
    /// The version of the configuration; 0 if none is known.
    pub version: u64,
    /// The revision of the newest engine change.
    pub revision: Revision,
    /// Whether the box follows the store but gets no answers.
    pub has_lost_store: bool,
}

/// Engine changes that the sender has just read from the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineUpdate {
    /// The revision that the changes build on.
    pub since: Revision,
    /// The changes, in order.
    pub changes: Vec<EngineChange>,
}

/// The requests that the sender has admitted for customers with a limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The accounts that have changed recently, or all accounts.
    pub accounts: Vec<Account<CustomerKey>>,
    /// Whether all accounts are included.
    pub is_complete: bool,
    /// The peak number of live boxes, as known to the sender and the boxes that it received from; 0
    /// if not reported.
    pub peak_boxes: u32,
}

/// An engine's rejection of a request for lack of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The engine.
    pub engine: EngineKey,
    /// The tokens that the request would have occupied in its memory.
    pub held_tokens: u32,
}

/// The demand of clients for one service with stages, at one box or in total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Prompt tokens per second.
    pub prefill_tokens_per_s: u32,
    /// The mean number of tokens that the requests occupy in memory at the same time.
    pub held_tokens: u32,
    /// The number of recent requests, which tells how reliable the other figures are.
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

/// The address and data centre of a box, as listed by other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// The address on which it receives datagrams.
    pub address: SocketAddr,
    /// The key of its data centre.
    pub data_centre: DataCentreKey,
}

/// A stage change of an engine, which gets no new requests until it is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageSwitch {
    /// The engine.
    pub engine: EngineKey,
    /// The stage that it changes to.
    pub stage: Stage,
    /// The time in milliseconds for which it gets no new requests, unless the change is observed
    /// before; 0 if the engine keeps its stage.
    pub duration_ms: u32,
}

/// The format of datagrams and handovers that a box supports.
///
/// The fields of [`Message`] up to `peers` belong to the first format and don't change. Those of
/// [`Extension`] are numbered and optional in their encoding. A box that doesn't support them is
/// sent the other fields only.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Format {
    /// Only the fields of the first format.
    #[default]
    First,
    /// Also limits of engines, and permits.
    Permits,
    /// Also handovers with numbered fields.
    Handovers,
    /// Also eras of the store.
    Eras,
    /// Also notices of streams' versions.
    Origins,
    /// Also parts of prompts that crash engines.
    Parts,
    /// Also notices of streams that the receiver is to keep in the store.
    Records,
}

/// One datagram. Loads are absolute, so that the next datagram makes up for a lost one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// A random number that identifies this run of the sender's process.
    pub incarnation: u64,
    /// The sequence number of the datagram within the incarnation.
    pub sequence: u64,
    /// The address on which the sender receives datagrams.
    pub sender: SocketAddr,
    /// The address on which the sender serves clients.
    pub front: SocketAddr,
    /// The key of the sender's data centre.
    pub data_centre: DataCentreKey,
    /// Whether the receiver forwards the datagram to the other boxes of its data centre.
    pub is_relayed: bool,
    /// Whether the sender accepts requests.
    pub readiness: Readiness,
    /// The changed work, or all work if `is_whole`.
    pub loads: Vec<(EngineKey, Load)>,
    /// Whether the sender has no work at engines that are not in `loads`.
    pub is_whole: bool,
    /// The intervals between whole datagrams; present in each of them.
    pub cadence: Option<Cadence>,
    /// The sender's view of the store.
    pub store_view: StoreView,
    /// The evacuated data centres known to the sender.
    pub evacuation: Evacuation,
    /// The demand of clients for each service with stages, by a hash of the service's name.
    pub demand: Vec<(u64, Demand)>,
    /// The requests that the sender has admitted for customers with a limit.
    pub usage: Usage,
    /// Stage changes that the sender has ordered or plans to order.
    pub stage_switches: Vec<StageSwitch>,
    /// Engines whose address the sender has just found to belong to another incarnation.
    pub replaced: Vec<EngineKey>,
    /// Engines that the sender has just failed to reach, or that timed out.
    pub unreachable: Vec<EngineKey>,
    /// Requests that have crashed engines.
    pub crashes: Vec<Announcement<MAX_CRASHES>>,
    /// Engines that had no free capacity for a request of the sender's.
    pub rejections: Vec<Rejection>,
    /// Engine changes that the sender has just read from the store.
    pub engine_update: Option<Box<EngineUpdate>>,
    /// Prompts from which engines have started to decode for the sender.
    pub cached_prompts: Vec<CachedPrompt>,
    /// Some boxes that the sender has recently received from.
    pub peers: Vec<PeerAddress>,
    /// The newest era of the store known to the sender; 0 if not reported.
    #[serde(skip)]
    pub era: u64,
    /// The format that the sender supports, if it reports one.
    #[serde(skip)]
    pub format: Option<Format>,
    /// The fields that boxes of the first format can't read.
    #[serde(skip)]
    pub extension: Option<Box<Extension>>,
}

/// The fields added to datagrams since the first format.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Extension {
    /// The limits of rate-limited engines.
    pub limits: Vec<rate_limit::Announcement>,
    /// Requests for permits that the receiver issues.
    pub asks: Vec<Ask>,
    /// Answers to the receiver's requests for permits.
    pub replies: Vec<Reply>,
    /// Engines that are shutting down.
    pub departures: Vec<departure::Announcement>,
    /// The load of traffic classes at the sender, in whole datagrams.
    pub classes: Vec<class::Announcement>,
    /// The load that the sender has told to return.
    pub appointments: Vec<appointment::Announcement>,
    /// The paces of engines that the sender has measured.
    pub paces: Vec<pace::Announcement>,
    /// Whether and for which services the sender accepts requests of other boxes, in whole datagrams.
    pub proxy: proxy::Announcement,
    /// Engines that the sender announced as unreachable, and from which something has come since.
    pub reached: Vec<EngineKey>,
    /// The incarnations of the engines in [`Message::replaced`].
    pub replaced: Vec<Incarnation>,
    /// The time left in which engines may register again whose entries have expired, in
    /// milliseconds, if the store has just been away for the sender.
    pub registration_ms: Option<u32>,
    /// Parts of prompts that have crashed engines.
    pub parts: Vec<NamedAnnouncement>,
}

impl Message {
    /// Returns whether there are fields that a box of the first format can't read.
    pub fn is_extended(&self) -> bool {
        let has_versions = |it: &EngineChange| match it {
            EngineChange::Put(engine, _) => engine.version.is_some(),
            EngineChange::Left(..) => false,
        };
        let update = self.engine_update.as_ref();
        let names_versions = update.is_some_and(|it| it.changes.iter().any(has_versions));
        let is_extended = self.extension.is_some() || self.era > 0;
        is_extended || names_versions || self.announces_notices()
    }

    /// Returns whether the datagram announces that its sender reads notices of streams' versions.
    pub fn announces_notices(&self) -> bool {
        self.is_whole && self.format >= Some(Format::Origins)
    }

    /// Returns whether the datagram announces that its sender supports cases of prompts' parts.
    pub fn announces_parts(&self) -> bool {
        self.is_whole && self.format >= Some(Format::Parts)
    }

    /// Returns whether the datagram announces that its sender keeps streams in the store.
    pub fn announces_records(&self) -> bool {
        self.is_whole && self.format >= Some(Format::Records)
    }

    /// Returns the eras of the revisions in the datagram.
    pub fn eras(&self) -> Eras {
        let update = self.engine_update.as_ref();
        Eras {
            store: self.era,
            engines: self.store_view.revision.era,
            since: update.map_or(0, |it| it.since.era),
            changes: update.and_then(|it| it.changes.last()).map_or(0, |it| it.revision().era),
            evacuation: self.evacuation.revision.era,
        }
    }

    /// Sets the eras of the revisions in the datagram.
    pub fn set_eras(&mut self, eras: Eras) {
        self.era = eras.store;
        self.store_view.revision.era = eras.engines;
        self.evacuation.revision.era = eras.evacuation;
        if let Some(update) = &mut self.engine_update {
            update.since.era = eras.since;
            let changes = std::mem::take(&mut update.changes).into_iter();
            update.changes = changes.map(|it| it.in_era(eras.changes)).collect();
        }
    }
}

/// The eras of the revisions in a datagram, whose first format has only the revisions' numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Eras {
    /// The newest era known to the sender.
    pub store: u64,
    /// The era of the newest engine change.
    pub engines: u64,
    /// The era of the revision that the engine update builds on.
    pub since: u64,
    /// The era of all changes in the engine update.
    pub changes: u64,
    /// The era of the evacuations.
    pub evacuation: u64,
}

impl Extension {
    /// Returns the extension, or none if it is empty.
    pub fn non_empty(self) -> Option<Box<Extension>> {
        (self != Extension::default()).then(|| Box::new(self))
    }
}

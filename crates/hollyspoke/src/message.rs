//! Messages between boxes.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Versioned;
use crate::handover::Handover;
use crate::key::{Incarnation, Ticket};
use crate::layout::ShardId;
use crate::member::{Entry, Heartbeat};
use crate::outcome::Refusal;
use crate::site::{TenantId, UpstreamId};

/// A message from one box to another. Messages may be lost, duplicated and reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's view of which boxes are alive, and its configuration version.
    Gossip {
        /// Heartbeats of some members.
        beats: Vec<Heartbeat>,
        /// The version of the configuration in force at the sender.
        site_version: u64,
    },
    /// Requests the entries of members that the sender does not know.
    EntriesWanted(Vec<Incarnation>),
    /// Entries of members.
    Entries(Vec<Entry>),
    /// A configuration, sent to a box that has an older one.
    Site(Arc<Versioned>),
    /// Requests the configuration in force at the receiver.
    SiteWanted,
    /// A front asks a shard's owner for engines.
    Ask(Ask),
    /// The owner grants engines.
    Granted(Grant),
    /// The owner refuses to grant engines.
    Refused {
        /// The refused attempt.
        ticket: Ticket,
        /// The reason.
        refusal: Refusal,
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
    /// A front reports that it is alive and how many grants it holds in a shard.
    Renew {
        /// The shard.
        shard: ShardId,
        /// How many grants the front holds there.
        held: u32,
    },
    /// The owner requests the list of all grants that a front holds in a shard.
    DeclareWanted(ShardId),
    /// A front lists all grants that it holds in a shard.
    Declare {
        /// The shard.
        shard: ShardId,
        /// The grants.
        held: Vec<Grant>,
    },
    /// A front reports the stage that an attempt has reached.
    Progress {
        /// The shard.
        shard: ShardId,
        /// The attempt.
        ticket: Ticket,
        /// The stage reached.
        stage: Stage,
    },
    /// A front releases an attempt, granted or not.
    Release {
        /// The shard.
        shard: ShardId,
        /// The attempt.
        ticket: Ticket,
        /// The outcome.
        end: End,
    },
    /// The owner has revoked an attempt's grant; the front must stop the attempt.
    Fenced(Ticket),
    /// A box that is shutting down hands its keys over to its successor.
    Handover(Box<Handover>),
    /// The successor confirms that it has the keys.
    HandoverTaken,
}

/// A front's request for engines to a shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The shard.
    pub shard: ShardId,
    /// The attempt.
    pub ticket: Ticket,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Digests of the prompt's first 1, 2, 4, 8, … blocks.
    pub prefix: Vec<u32>,
    /// The priority, lowest number first: 0 for a partly delivered answer, else the request's class
    /// plus one.
    pub class: u8,
    /// The tenant.
    pub tenant: TenantId,
    /// The time left until the first token is due.
    pub due_in: Duration,
    /// The engine on which this request has just failed.
    pub avoid: Option<UpstreamId>,
}

/// Engines granted to one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The shard.
    pub shard: ShardId,
    /// The attempt.
    pub ticket: Ticket,
    /// The engine that runs the prefill.
    pub prefill: UpstreamId,
    /// The engine that runs the decode.
    pub decode: UpstreamId,
    /// The decode memory reserved, in tokens.
    pub tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The stage that the attempt has reached.
    pub stage: Stage,
}

/// The stage of a granted attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The prefill is running.
    Prefill,
    /// The prefill result is being transferred to the decode engine.
    Transfer,
    /// Tokens are being generated.
    Decode,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The answer is complete.
    Done {
        /// The number of tokens generated.
        tokens: u32,
    },
    /// The caller disconnected, or the front no longer needs the attempt.
    Cancelled,
    /// An engine failed.
    Failed(UpstreamId),
    /// An engine was full although the ledger showed free memory.
    Full(UpstreamId),
}

//! What boxes say to each other.

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

/// One message from box to box. Messages may be lost, repeated and reordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's view of who is alive, and the configuration version it holds.
    Gossip {
        /// A heartbeat for some members.
        beats: Vec<Heartbeat>,
        /// The version of the configuration in force at the sender.
        site_version: u64,
    },
    /// Asks for the entries of members that the sender doesn't know.
    EntriesWanted(Vec<Incarnation>),
    /// Entries of members.
    Entries(Vec<Entry>),
    /// A configuration, sent to a box that holds an older one.
    Site(Arc<Versioned>),
    /// Asks for the configuration in force at the receiver.
    SiteWanted,
    /// A front asks a shard's owner for engines.
    Ask(Ask),
    /// The owner grants engines.
    Granted(Grant),
    /// The owner refuses.
    Refused {
        /// The attempt refused.
        ticket: Ticket,
        /// Why.
        refusal: Refusal,
        /// When to come back.
        retry_after: Duration,
    },
    /// A front says that it is alive and how many grants it holds in a shard.
    Renew {
        /// The shard.
        shard: ShardId,
        /// How many grants the front holds there.
        held: u32,
    },
    /// The owner asks a front for all the grants it holds in a shard.
    DeclareWanted(ShardId),
    /// A front names all the grants it holds in a shard.
    Declare {
        /// The shard.
        shard: ShardId,
        /// The grants.
        held: Vec<Grant>,
    },
    /// A front tells how far an attempt has come.
    Progress {
        /// The shard.
        shard: ShardId,
        /// The attempt.
        ticket: Ticket,
        /// How far it has come.
        stage: Stage,
    },
    /// A front gives an attempt back, granted or not.
    Release {
        /// The shard.
        shard: ShardId,
        /// The attempt.
        ticket: Ticket,
        /// How it ended.
        end: End,
    },
    /// The owner no longer holds an attempt's grant; the front must stop it.
    Fenced(Ticket),
    /// A leaving box hands its keys to its successor.
    Handover(Box<Handover>),
    /// The successor has taken the keys.
    HandoverTaken,
}

/// A front's question to a shard's owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The shard asked.
    pub shard: ShardId,
    /// The attempt.
    pub ticket: Ticket,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub max_tokens: u32,
    /// Digests of the prompt's first 1, 2, 4, 8, … blocks.
    pub prefix: Vec<u32>,
    /// The order of service, the lowest number first: 0 for an answer that has begun, else one
    /// more than the request's class.
    pub class: u8,
    /// The tenant.
    pub tenant: TenantId,
    /// The time left until the first token is due.
    pub due_in: Duration,
    /// An engine that has just failed this request.
    pub avoid: Option<UpstreamId>,
}

/// Engines granted to one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The shard.
    pub shard: ShardId,
    /// The attempt.
    pub ticket: Ticket,
    /// The engine that computes the prompt.
    pub prefill: UpstreamId,
    /// The engine that generates.
    pub decode: UpstreamId,
    /// The decode memory reserved, in tokens.
    pub tokens: u32,
    /// The tokens that may be generated.
    pub max_tokens: u32,
    /// How far the attempt has come.
    pub stage: Stage,
}

/// How far a granted attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The prompt is being computed.
    Prefill,
    /// The prefill result is crossing to the decode engine.
    Transfer,
    /// Tokens are being generated.
    Decode,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The answer is whole.
    Done {
        /// The tokens generated.
        tokens: u32,
    },
    /// The caller is gone, or the front has no more use for it.
    Cancelled,
    /// An engine failed.
    Failed(UpstreamId),
    /// An engine had no room although the ledger said so.
    Full(UpstreamId),
}

//! Callers' own idempotency keys: each is bound to one key of the router by a conditional write.
//!
//! Claims are grouped into [`OBJECT_COUNT`] objects. Each object has one operation in progress at a
//! time, and all claims that wait for it are combined into the next write. A lost answer is
//! resolved by reading the object: a claim found with this box's key belongs to this box; a claim
//! not found is written again on the version just read, after which the lost write can no longer
//! take effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::context::Context;
use crate::key::Key;
use crate::request;
use crate::store::{Answer, Operation};
use crate::time::Time;

/// The number of objects over which claims are spread.
pub const OBJECT_COUNT: u64 = 8;

/// The maximum number of claims kept in one object; the oldest ones above it are dropped.
pub const MAX_CLAIMS_PER_OBJECT: usize = 12_000;

/// The maximum rate of claim writes by all boxes of a site together, per second. Each box spaces
/// its writes by its part of that rate; claims that wait in the meantime are combined into one
/// write.
pub const MAX_WRITES_PER_S: u32 = 60;

/// How long a request waits for its claim before it is refused as not run.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// How long to wait before an operation without an answer is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The kind of the objects in the store.
const KIND: &str = "claims";

/// A caller's own key, digested together with its tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Claim(u64);

impl Claim {
    /// Creates the claim for a tenant's own key.
    pub fn of(tenant: &str, own_key: &str) -> Claim {
        let mut bytes = Vec::with_capacity(tenant.len() + own_key.len() + 1);
        bytes.extend_from_slice(tenant.as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(own_key.as_bytes());
        Claim(xxh3_64(&bytes))
    }

    /// Returns the number of the object that holds the claim.
    fn shard(self) -> u64 {
        self.0 % OBJECT_COUNT
    }
}

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// The claim is bound to this key.
    Bound(Key),
    /// The store is unreachable, and nothing was sent for the request.
    StoreUnreachable,
}

/// A request that waits for its claim.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// The request.
    request: request::Id,
    /// The caller's claim.
    claim: Claim,
    /// The key to bind it to.
    key: Key,
    /// Since when the request waits.
    since: Time,
    /// Whether a binding to a dead home may be replaced.
    may_replace: bool,
}

/// The claims in one object.
#[derive(Debug, Clone, Default)]
struct Bound {
    /// The bindings, the oldest first.
    claims: Vec<(Claim, Key)>,
}

impl Bound {
    /// Parses an object's value, which has one line `<claim> <key>` per claim. Malformed lines are
    /// skipped.
    fn parse(value: &str) -> Bound {
        let line = |text: &str| {
            let (claim, key) = text.split_once(' ')?;
            Some((Claim(u64::from_str_radix(claim, 16).ok()?), key.parse().ok()?))
        };
        Bound { claims: value.lines().filter_map(line).collect() }
    }

    /// Formats the value of an object.
    fn to_text(&self) -> String {
        self.claims.iter().map(|(claim, key)| format!("{:x} {key}\n", claim.0)).collect()
    }

    /// Returns the key to which a claim is bound.
    fn find(&self, claim: Claim) -> Option<Key> {
        self.claims.iter().find(|it| it.0 == claim).map(|it| it.1)
    }

    /// Binds a claim and replaces an older binding.
    fn bind(&mut self, claim: Claim, key: Key) {
        self.claims.retain(|it| it.0 != claim);
        self.claims.push((claim, key));
        let surplus = self.claims.len().saturating_sub(MAX_CLAIMS_PER_OBJECT);
        self.claims.drain(..surplus);
    }
}

/// The operation in progress for one object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    /// A read, with the operation's number.
    Get(u64),
    /// A write, with the operation's number.
    Put(u64),
    /// Nothing before this time.
    Idle(Time),
}

/// The waiting claims of one object.
#[derive(Debug, Clone, Default)]
struct Shard {
    /// The requests that wait for their claims.
    waiting: Vec<Waiting>,
    /// The operation in progress.
    pending: Option<Pending>,
    /// Whether it has waited for its turn to write already.
    has_turn: bool,
}

/// All claims that wait at this box.
#[derive(Debug, Clone, Default)]
pub struct Claims {
    /// The objects that have been used.
    shards: BTreeMap<u64, Shard>,
    /// The next time at which this box may write.
    next_turn: Time,
}

impl Claims {
    /// Submits a claim: it is bound to a key, or found to be bound to another one already.
    pub fn submit(
        &mut self,
        cx: &mut Context<'_>,
        request: request::Id,
        claim: Claim,
        key: Key,
        may_replace: bool,
    ) {
        let shard = self.shards.entry(claim.shard()).or_default();
        shard.waiting.push(Waiting { request, claim, key, since: cx.now, may_replace });
        if shard.pending.is_none() {
            self.get(cx, claim.shard());
        }
    }

    /// Removes a request that no longer waits.
    pub fn forget(&mut self, request: request::Id) {
        for shard in self.shards.values_mut() {
            shard.waiting.retain(|it| it.request != request);
        }
    }

    /// Extends the timeouts of waiting requests by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for waiting in self.shards.values_mut().flat_map(|it| &mut it.waiting) {
            waiting.since = waiting.since + pause;
        }
    }

    /// Handles an answer of the store; returns the requests whose claims are settled.
    pub fn answer(
        &mut self,
        cx: &mut Context<'_>,
        number: u64,
        answer: &Answer,
    ) -> Vec<(request::Id, Settled)> {
        let found = self.shards.iter().find(|(_, shard)| match shard.pending {
            Some(Pending::Get(it) | Pending::Put(it)) => it == number,
            Some(Pending::Idle(_)) | None => false,
        });
        let Some((&name, shard)) = found else { return Vec::new() };
        let was_read = matches!(shard.pending, Some(Pending::Get(_)));
        match answer {
            Answer::Found { version, value } if was_read => {
                self.merge(cx, name, *version, Bound::parse(value))
            }
            Answer::Absent if was_read => self.merge(cx, name, 0, Bound::default()),
            Answer::Away => {
                self.pause(cx.now, name);
                Vec::new()
            }
            // After a write, successful or not, the object is read back: only a read shows whose
            // claims are bound.
            Answer::Found { .. } | Answer::Absent | Answer::Written { .. } | Answer::Conflict => {
                self.get(cx, name);
                Vec::new()
            }
        }
    }

    /// Retries operations that are due, and settles requests that have waited too long.
    pub fn tick(&mut self, cx: &mut Context<'_>) -> Vec<(request::Id, Settled)> {
        let now = cx.now;
        let mut settled = Vec::new();
        let mut due = Vec::new();
        for (&name, shard) in &mut self.shards {
            shard.waiting.retain(|it| {
                let waits = now.since(it.since) < CLAIM_TIMEOUT;
                if !waits {
                    settled.push((it.request, Settled::StoreUnreachable));
                }
                waits
            });
            if matches!(shard.pending, Some(Pending::Idle(until)) if until <= now) {
                due.push(name);
            }
        }
        for name in due {
            self.get(cx, name);
        }
        settled
    }

    /// Settles the claims that a read shows as bound, and writes the others.
    fn merge(
        &mut self,
        cx: &mut Context<'_>,
        name: u64,
        version: u64,
        mut bound: Bound,
    ) -> Vec<(request::Id, Settled)> {
        let Some(shard) = self.shards.get_mut(&name) else { return Vec::new() };
        let mut settled = Vec::new();
        let read = bound.clone();
        let mut added = BTreeSet::new();
        shard.waiting.retain(|it| {
            match read.find(it.claim) {
                Some(key) if !(it.may_replace && cx.members.is_dead(key.home)) => {
                    settled.push((it.request, Settled::Bound(key)));
                    return false;
                }
                Some(_) | None => {}
            }
            // A second request with the same claim waits for the read that follows the first one's
            // write.
            if added.insert(it.claim) {
                bound.bind(it.claim, it.key);
            }
            true
        });
        if added.is_empty() {
            shard.pending = None;
            return settled;
        }
        if !shard.has_turn {
            let turn = self.next_turn.max(cx.now);
            let boxes = cx.members.live().count().max(1) as u32;
            self.next_turn = turn + Duration::from_secs(1) * boxes / MAX_WRITES_PER_S;
            if turn > cx.now {
                // Claims that arrive before then are combined into the same write.
                shard.has_turn = true;
                shard.pending = Some(Pending::Idle(turn));
                return settled;
            }
        }
        shard.has_turn = false;
        let operation = Operation::Put {
            kind: KIND.to_owned(),
            name: format!("{name:02x}"),
            expected: version,
            value: bound.to_text(),
        };
        shard.pending = Some(Pending::Put(cx.store(operation)));
        settled
    }

    /// Begins a read, if any request waits for the object.
    fn get(&mut self, cx: &mut Context<'_>, name: u64) {
        let Some(shard) = self.shards.get_mut(&name) else { return };
        if shard.waiting.is_empty() {
            shard.pending = None;
            return;
        }
        let operation = Operation::Get { kind: KIND.to_owned(), name: format!("{name:02x}") };
        shard.pending = Some(Pending::Get(cx.store(operation)));
    }

    /// Delays the next operation for an object.
    fn pause(&mut self, now: Time, name: u64) {
        if let Some(shard) = self.shards.get_mut(&name) {
            shard.pending = Some(Pending::Idle(now + RETRY_DELAY));
        }
    }
}

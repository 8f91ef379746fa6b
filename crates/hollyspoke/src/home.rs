//! The table of keys whose home is this box; each key is run at most once.
//!
//! Only the home incarnation runs a key. While a key's epoch is kept, the home joins a repeated
//! request to the one in progress or replays its answer. Once the epoch is dropped, every key of it
//! is answered as unknown, so that the table stays bounded and nothing runs twice.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::handover::{Ended, Handover};
use crate::key::{Incarnation, Key};
use crate::member::{State, Table};
use crate::request;
use crate::time::Time;

/// The duration of an epoch.
pub const EPOCH_DURATION: Duration = Duration::from_secs(30);

/// How many epochs are kept besides the current one.
pub const KEPT_EPOCHS: u32 = 10;

/// The maximum size of all kept answers, in bytes; above it the contents of the oldest are dropped.
pub const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// The maximum size of an answer that is handed over to a successor, in bytes.
pub const MAX_HANDOVER_ANSWER_BYTES: usize = 4 * 1024;

/// The maximum size of all answers that are handed over, in bytes.
pub const MAX_HANDOVER_BYTES: usize = 1024 * 1024;

/// The state of one key.
#[derive(Debug, Clone)]
enum KeyState {
    /// The request is in progress.
    Running(request::Id),
    /// The request has ended.
    Ended(Ended),
}

/// An entry of the table.
#[derive(Debug, Clone)]
struct Row {
    /// A digest of the request, so that a key can't be used for two requests.
    digest: u64,
    /// The state of the key.
    state: KeyState,
}

/// The decision on a request that names a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Run it: this box is its home, and it was never run.
    Run,
    /// Join it to the request in progress.
    Join(request::Id),
    /// It has ended: replay the answer.
    Replay(Ended),
    /// Relay it to its home, or to the box that took over the home's keys.
    Relay(Incarnation),
    /// It is unknown whether it ran.
    Unknown,
    /// The key was used for another request, or was never minted.
    Invalid(&'static str),
}

/// The table of keys.
#[derive(Debug, Clone)]
pub struct Home {
    /// The incarnation of this box.
    me: Incarnation,
    /// The current epoch.
    epoch: u32,
    /// When the current epoch began.
    epoch_since: Time,
    /// The oldest epoch that is kept.
    oldest_epoch: u32,
    /// The keys of this home and of those taken over.
    rows: BTreeMap<Key, Row>,
    /// The homes whose keys were taken over, and when.
    inherited: BTreeMap<Incarnation, Time>,
    /// The next nonce for a key minted here.
    next_nonce: u64,
    /// The size of all kept answers, in bytes.
    bytes: usize,
}

impl Home {
    /// Creates an empty table. Nonces minted here have the top bit set; callers' own nonces need
    /// not.
    pub fn new(now: Time, me: Incarnation) -> Home {
        Home {
            me,
            epoch: 1,
            epoch_since: now,
            oldest_epoch: 1,
            rows: BTreeMap::new(),
            inherited: BTreeMap::new(),
            next_nonce: 1 << 63,
            bytes: 0,
        }
    }

    /// Returns the current epoch.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Creates a new key of this home.
    pub fn mint(&mut self) -> Key {
        self.next_nonce += 1;
        Key { home: self.me, epoch: self.epoch, nonce: self.next_nonce }
    }

    /// Decides on a request that names a key.
    pub fn verdict(&self, key: Key, digest: u64, relayed: bool, members: &Table) -> Verdict {
        if let Some(row) = self.rows.get(&key) {
            if row.digest != digest {
                return Verdict::Invalid("the key was used for another request");
            }
            return match &row.state {
                KeyState::Running(id) => Verdict::Join(*id),
                KeyState::Ended(Ended::Dropped) => Verdict::Unknown,
                KeyState::Ended(ended) => Verdict::Replay(ended.clone()),
            };
        }
        if key.home == self.me {
            return self.own_verdict(key);
        }
        if relayed || self.inherited.contains_key(&key.home) {
            return Verdict::Unknown;
        }
        match home_of(key.home, members) {
            Some(home) if home != self.me => Verdict::Relay(home),
            Some(_) | None => Verdict::Unknown,
        }
    }

    /// Decides on a key of this home that is not in the table.
    fn own_verdict(&self, key: Key) -> Verdict {
        if key.epoch > self.epoch {
            return Verdict::Invalid("the key names an epoch that has not begun");
        }
        if key.epoch < self.oldest_epoch {
            return Verdict::Unknown;
        }
        Verdict::Run
    }

    /// Records that a request runs under a key.
    pub fn run(&mut self, key: Key, digest: u64, id: request::Id) {
        self.rows.insert(key, Row { digest, state: KeyState::Running(id) });
    }

    /// Records the result of a key, if this request ran it.
    pub fn end(&mut self, key: Key, id: request::Id, ended: Ended) {
        let Some(row) = self.rows.get_mut(&key) else { return };
        if !matches!(row.state, KeyState::Running(runs) if runs == id) {
            return;
        }
        self.bytes += ended.bytes();
        row.state = KeyState::Ended(ended);
        self.evict_answers();
    }

    /// Removes a key that was not run, so that the caller's retry may run it.
    ///
    /// The key of a request that is still waiting for its claim may already be run by another
    /// request, relayed by a box that read the claim first. That request's entry stays.
    pub fn forget(&mut self, key: Key, id: request::Id) {
        let is_running = matches!(self.rows.get(&key), Some(Row { state: KeyState::Running(runs), .. }) if *runs == id);
        if is_running {
            self.rows.remove(&key);
        }
    }

    /// Advances the epoch when it is due and drops the keys of epochs that are too old.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.epoch_since) < EPOCH_DURATION {
            return;
        }
        self.epoch_since = now;
        self.epoch += 1;
        self.oldest_epoch = self.epoch.saturating_sub(KEPT_EPOCHS).max(1);
        let oldest_epoch = self.oldest_epoch;
        let me = self.me;
        let bytes = &mut self.bytes;
        self.rows.retain(|key, row| {
            let KeyState::Ended(ended) = &row.state else { return true };
            let keep = key.home != me || key.epoch >= oldest_epoch;
            if !keep {
                *bytes = bytes.saturating_sub(ended.bytes());
            }
            keep
        });
        self.drop_inherited(now);
    }

    /// Returns the keys to hand over to a successor.
    pub fn handover(&self) -> Handover {
        let mut homes: Vec<Incarnation> = self.inherited.keys().copied().collect();
        homes.push(self.me);
        let mut budget = MAX_HANDOVER_BYTES;
        let mut rows = Vec::new();
        for (&key, row) in self.rows.iter().rev() {
            let ended = match &row.state {
                KeyState::Running(_) => Ended::Dropped,
                KeyState::Ended(ended) => ended.clone(),
            };
            let bytes = ended.bytes();
            if bytes > MAX_HANDOVER_ANSWER_BYTES || bytes > budget {
                rows.push((key, row.digest, Ended::Dropped));
                continue;
            }
            budget -= bytes;
            rows.push((key, row.digest, ended));
        }
        Handover { rows, homes }
    }

    /// Adds the keys of a box that is shutting down.
    pub fn accept_handover(&mut self, now: Time, handover: Handover) {
        for home in handover.homes.into_iter().filter(|it| *it != self.me) {
            self.inherited.insert(home, now);
        }
        for (key, digest, ended) in handover.rows.into_iter().filter(|it| it.0.home != self.me) {
            self.bytes += ended.bytes();
            self.rows.insert(key, Row { digest, state: KeyState::Ended(ended) });
        }
        self.evict_answers();
    }

    /// Drops the keys that were taken over longer ago than epochs are kept.
    fn drop_inherited(&mut self, now: Time) {
        let kept_for = EPOCH_DURATION * KEPT_EPOCHS;
        let old: Vec<Incarnation> = self
            .inherited
            .iter()
            .filter(|(_, since)| now.since(**since) > kept_for)
            .map(|(&it, _)| it)
            .collect();
        for home in old {
            self.inherited.remove(&home);
            let bytes = &mut self.bytes;
            self.rows.retain(|key, row| {
                if key.home != home {
                    return true;
                }
                if let KeyState::Ended(ended) = &row.state {
                    *bytes = bytes.saturating_sub(ended.bytes());
                }
                false
            });
        }
    }

    /// Drops the contents of the oldest answers when the total exceeds [`MAX_KEPT_BYTES`], until it
    /// is half of that.
    fn evict_answers(&mut self) {
        if self.bytes <= MAX_KEPT_BYTES {
            return;
        }
        for row in self.rows.values_mut() {
            let KeyState::Ended(ended) = &mut row.state else { continue };
            self.bytes = self.bytes.saturating_sub(ended.bytes());
            *ended = Ended::Dropped;
            if self.bytes <= MAX_KEPT_BYTES / 2 {
                return;
            }
        }
    }
}

/// The maximum number of successors that are followed from one home.
const MAX_SUCCESSOR_HOPS: usize = 8;

/// Returns the box that now holds a home's keys, if it is alive in this box's view.
fn home_of(home: Incarnation, members: &Table) -> Option<Incarnation> {
    let mut holder = home;
    for _ in 0..MAX_SUCCESSOR_HOPS {
        if members.is_alive(holder) {
            return Some(holder);
        }
        let State::Left { successor } = members.entry(holder)?.beat.state else { return None };
        holder = successor?;
    }
    None
}

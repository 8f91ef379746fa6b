//! Whether this box is in step with the store and the other boxes. One that has been cut off, or has
//! stood still, doesn't notice it for seconds, and engines of a new version may have joined meanwhile.
//!
//! A follower reads a small object of the store, so that the answer shows that changes reach it too.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;

use super::Gateway;
use super::versions::{KIND, NAME};
use crate::effect::LogEvent;
use crate::event::Kind;
use crate::member::address_hash;
use crate::origin::StreamKey;
use crate::request::RequestKey;

/// The time since a read was sent for which its answer shows that a follower is in step. An engine
/// that joins needs longer to be listed and to begin a stream that is broken and resumed.
const CONFIRMATION_TTL: Duration = Duration::from_millis(160);

/// The minimum interval between two reads, at which other boxes ask again.
const READ_INTERVAL: Duration = Duration::from_millis(80);

/// The number of followers that are asked. One that is in step is enough.
const ASKED_FOLLOWERS: usize = 3;

/// The longest wait for the list of engines to be read again after a pause. A client gives up an
/// attempt that has not been read after a second.
const STALE_TIMEOUT: Duration = Duration::from_millis(800);

/// A list of engines that may lack restarts, since this process was paused.
#[derive(Debug, Clone)]
struct StaleList {
    /// When the pause was noticed.
    since: Time,
    /// The requests that take up streams, and wait.
    waiting: Vec<RequestKey>,
}

/// What this box's last reads have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Freshness {
    /// The stale list of engines, until it has been read again.
    stale_list: Option<StaleList>,
    /// The number of the read under way, and when it was sent.
    under_way: Option<(u64, Time)>,
    /// When the newest read was sent that the store has answered.
    confirmed_at: Option<Time>,
    /// When the next read may be sent.
    next_read_at: Time,
}

impl Freshness {
    /// Returns until when requests wait for the list of engines to be read again.
    pub(super) fn stale_until(&self) -> Option<Time> {
        self.stale_list.as_ref().map(|it| it.since + STALE_TIMEOUT)
    }
}

impl Gateway {
    /// Records that this process was paused for long enough that engines can have restarted.
    pub(super) fn mark_list_stale(&mut self) {
        let waiting = self.freshness.stale_list.take().map_or(Vec::new(), |it| it.waiting);
        self.freshness.stale_list = Some(StaleList { since: self.now, waiting });
    }

    /// Lets a request that takes up a stream wait while the list of engines is stale. Returns whether
    /// it waits: the version of an engine's software is known as of the list.
    pub(super) fn awaits_list(&mut self, key: RequestKey) -> bool {
        let Some(stale) = &mut self.freshness.stale_list else { return false };
        if !stale.waiting.contains(&key) {
            stale.waiting.push(key);
        }
        true
    }

    /// Records that the changes of a kind up to a time are known.
    pub(super) fn record_refresh(&mut self, kind: Kind, asked_at: Time) {
        let is_fresh = |it: &mut StaleList| asked_at >= it.since;
        if kind == Kind::Engines
            && let Some(stale) = self.freshness.stale_list.take_if(is_fresh)
        {
            self.end_stale_waits(stale);
        }
    }

    /// Ends the wait for a list that the store doesn't give in time.
    pub(super) fn advance_stale_waits(&mut self) {
        let is_over = self.freshness.stale_until().is_some_and(|it| it <= self.now);
        if is_over && let Some(stale) = self.freshness.stale_list.take() {
            self.log(LogEvent::ListStale { waiting: stale.waiting.len() });
            self.end_stale_waits(stale);
        }
    }

    /// Goes on with the requests that wait.
    fn end_stale_waits(&mut self, stale: StaleList) {
        for key in stale.waiting {
            self.proceed(key);
        }
    }

    /// Returns whether this box follows the store, has just had an answer, and knows of no change that
    /// it lacks.
    pub(super) fn has_just_confirmed(&self) -> bool {
        let is_recent = |it: Time| self.now.since(it) <= CONFIRMATION_TTL;
        self.follows_store()
            && self.freshness.confirmed_at.is_some_and(is_recent)
            && self.members.newest_store_view().revision <= self.directory.complete()
    }

    /// Returns whether no version can have joined unnoticed, when the boxes in `asked` were asked and
    /// those in `heard` have answered.
    pub(super) fn is_in_step(
        &self,
        asked: &BTreeSet<SocketAddr>,
        heard: impl Fn(&SocketAddr) -> bool,
    ) -> bool {
        // Boxes that read no notices can't be asked.
        let is_alone = asked.is_empty() && !self.members.has_notice_reader();
        let hears_all = || asked.iter().all(heard) && self.members.are_all_on_time(self.now);
        is_alone || self.has_just_confirmed() || hears_all()
    }

    /// Returns the followers that are asked whether a version is the only one. Streams are spread over
    /// all of them.
    pub(super) fn asked_followers(&self, stream: StreamKey) -> Vec<SocketAddr> {
        let mut followers = self.members.followers(self.follower_count());
        rank::order(stream.0, &mut followers, address_hash);
        followers.truncate(ASKED_FOLLOWERS);
        followers
    }

    /// Reads from the store, if this box follows it, to learn whether it is in step.
    pub(super) fn read_confirmation(&mut self) {
        let may_read =
            self.freshness.under_way.is_none() && self.now >= self.freshness.next_read_at;
        if !may_read || !self.follows_store() {
            return;
        }
        let operation = Operation::Get { kind: KIND.to_owned(), name: NAME.to_owned() };
        let number = self.start_operation(operation);
        self.freshness.under_way = Some((number, self.now));
        self.freshness.next_read_at = self.now + READ_INTERVAL;
    }

    /// Handles the store's answer to a read. Returns whether the operation was one.
    pub(super) fn apply_confirmation(&mut self, number: u64, answer: &Answer) -> bool {
        let Some((_, sent_at)) = self.freshness.under_way.take_if(|it| it.0 == number) else {
            return false;
        };
        if *answer != Answer::Away {
            self.freshness.confirmed_at = Some(sent_at);
            self.advance_all_inquiries();
        }
        true
    }
}

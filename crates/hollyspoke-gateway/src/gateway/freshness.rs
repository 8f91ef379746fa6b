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
use crate::member::address_hash;
use crate::origin::StreamKey;

/// The time since a read was sent for which its answer shows that a follower is in step. An engine
/// that joins needs longer to be listed and to begin a stream that is broken and resumed.
const CONFIRMATION_TTL: Duration = Duration::from_millis(160);

/// The minimum interval between two reads, at which other boxes ask again.
const READ_INTERVAL: Duration = Duration::from_millis(80);

/// The number of followers that are asked. One that is in step is enough.
const ASKED_FOLLOWERS: usize = 3;

/// What this box's last reads have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Freshness {
    /// The number of the read under way, and when it was sent.
    under_way: Option<(u64, Time)>,
    /// When the newest read was sent that the store has answered.
    confirmed_at: Option<Time>,
    /// When the next read may be sent.
    next_read_at: Time,
}

impl Gateway {
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

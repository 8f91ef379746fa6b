//! Planned shutdown: announce it, drain, hand the keys over to a successor, exit.

use std::time::Duration;

use crate::effect::Effect;
use crate::key::Incarnation;
use crate::member::State;
use crate::message::Message;
use crate::node::Node;
use crate::rank;
use crate::time::Time;

/// The minimum duration of a shutdown, so that the other boxes receive the announcement.
pub(super) const MIN_SHUTDOWN_TIME: Duration = Duration::from_secs(1);

/// How often the handover is sent again until the successor confirms it.
pub(super) const HANDOVER_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How long a box waits for its successor's confirmation before it exits without one.
pub(super) const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// The progress of a planned shutdown.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shutdown {
    /// When the shutdown began.
    since: Time,
    /// The box that takes over the keys.
    successor: Option<Incarnation>,
    /// When the handover was last and first sent.
    offered: Option<(Time, Time)>,
    /// Whether [`Effect::Exit`] was issued.
    exited: bool,
}

impl Node {
    /// Begins the planned shutdown.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let successor = self.choose_successor();
        let shutdown = Shutdown { since: self.now, successor, offered: None, exited: false };
        self.shutdown = Some(shutdown);
        self.announce_state();
        self.update_owners();
    }

    /// Continues the planned shutdown: drain, hand over, exit.
    pub(super) fn continue_shutdown(&mut self) {
        let Some(mut shutdown) = self.shutdown else { return };
        let now = self.now;
        let drained =
            self.front.in_progress() == 0 && now.since(shutdown.since) >= MIN_SHUTDOWN_TIME;
        if shutdown.exited || !drained {
            return;
        }
        let gone = shutdown.successor.is_some_and(|it| self.members.is_dead(it));
        if gone {
            shutdown.successor = self.choose_successor();
            shutdown.offered = None;
            self.shutdown = Some(shutdown);
            self.announce_state();
        }
        let Some(successor) = shutdown.successor else {
            self.exit(None);
            return;
        };
        let first = shutdown.offered.map_or(now, |(_, first)| first);
        if now.since(first) > HANDOVER_TIMEOUT {
            self.exit(None);
            return;
        }
        if shutdown.offered.is_none_or(|(last, _)| now.since(last) >= HANDOVER_RETRY_INTERVAL) {
            self.shutdown = Some(Shutdown { offered: Some((now, first)), ..shutdown });
            let handover = Box::new(self.front.home.handover());
            self.send(successor, Message::Handover(handover));
        }
    }

    /// Handles the successor's confirmation that it has the keys.
    pub(super) fn handover_taken(&mut self, from: Incarnation) {
        let Some(shutdown) = self.shutdown else { return };
        if shutdown.successor == Some(from) && shutdown.offered.is_some() {
            self.exit(Some(from));
        }
    }

    /// Ends the planned shutdown.
    pub(super) fn exit(&mut self, successor: Option<Incarnation>) {
        let Some(shutdown) = &mut self.shutdown else { return };
        if shutdown.exited {
            return;
        }
        shutdown.exited = true;
        shutdown.successor = successor;
        self.announce_state();
        self.out.effects.push(Effect::Exit);
    }

    /// Announces this box's state to every other box at once.
    pub(super) fn announce_state(&mut self) {
        self.members.advance_heartbeat(self.now, self.front.home.epoch(), self.my_state());
        let message = self.my_gossip();
        for to in self.others() {
            self.send(to, message.clone());
        }
    }

    /// Chooses the box that takes over this box's keys.
    pub(super) fn choose_successor(&self) -> Option<Incarnation> {
        let others = self.members.live().map(|it| it.incarnation.0).filter(|it| *it != self.me.0);
        rank::first(self.me.0, others).map(Incarnation)
    }

    /// Returns the state that this box announces about itself.
    pub(super) fn my_state(&self) -> State {
        match self.shutdown {
            None => State::Live,
            Some(Shutdown { exited: true, successor, .. }) => State::Left { successor },
            Some(Shutdown { successor, .. }) => State::Leaving { successor },
        }
    }
}

//! The planned stop: say so, drain, hand the keys over, exit.

use std::time::Duration;

use crate::effect::Effect;
use crate::key::Incarnation;
use crate::member::State;
use crate::message::Message;
use crate::node::Node;
use crate::rank;
use crate::time::Time;

/// How long a leaving box stays at least, so that the others hear of it.
pub(super) const LINGER: Duration = Duration::from_secs(1);

/// How often a leaving box offers its keys again.
pub(super) const OFFER_AGAIN: Duration = Duration::from_millis(300);

/// How long a leaving box waits for its successor at most.
pub(super) const OFFER_LIMIT: Duration = Duration::from_secs(3);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct Leaving {
    /// When it began.
    since: Time,
    /// The box that takes the keys.
    successor: Option<Incarnation>,
    /// When the keys were last offered, and first.
    offered: Option<(Time, Time)>,
    /// Whether the driver was told to exit.
    exited: bool,
}

impl Node {
    /// Begins the planned stop.
    pub(super) fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        let successor = self.choose_successor();
        let leaving = Leaving { since: self.now, successor, offered: None, exited: false };
        self.leaving = Some(leaving);
        self.tell_all();
        self.update_owners();
    }

    /// Goes on with the planned stop: drain, hand over, exit.
    pub(super) fn leave_further(&mut self) {
        let Some(mut leaving) = self.leaving else { return };
        let now = self.now;
        let drained = self.front.in_progress() == 0 && now.since(leaving.since) >= LINGER;
        if leaving.exited || !drained {
            return;
        }
        let gone = leaving.successor.is_some_and(|it| self.members.is_dead(it));
        if gone {
            leaving.successor = self.choose_successor();
            leaving.offered = None;
            self.leaving = Some(leaving);
            self.tell_all();
        }
        let Some(successor) = leaving.successor else {
            self.exit(None);
            return;
        };
        let first = leaving.offered.map_or(now, |(_, first)| first);
        if now.since(first) > OFFER_LIMIT {
            self.exit(None);
            return;
        }
        if leaving.offered.is_none_or(|(last, _)| now.since(last) >= OFFER_AGAIN) {
            self.leaving = Some(Leaving { offered: Some((now, first)), ..leaving });
            let handover = Box::new(self.front.home.handover());
            self.send(successor, Message::Handover(handover));
        }
    }

    /// Takes the successor's word that it has the keys.
    pub(super) fn handover_taken(&mut self, from: Incarnation) {
        let Some(leaving) = self.leaving else { return };
        if leaving.successor == Some(from) && leaving.offered.is_some() {
            self.exit(Some(from));
        }
    }

    /// Ends the planned stop.
    pub(super) fn exit(&mut self, successor: Option<Incarnation>) {
        let Some(leaving) = &mut self.leaving else { return };
        if leaving.exited {
            return;
        }
        leaving.exited = true;
        leaving.successor = successor;
        self.tell_all();
        self.out.effects.push(Effect::Exit);
    }

    /// Tells every box this one's state at once.
    pub(super) fn tell_all(&mut self) {
        self.members.beat(self.now, self.front.home.epoch(), self.my_state());
        let message = self.my_gossip();
        for to in self.others() {
            self.send(to, message.clone());
        }
    }

    /// Chooses the box that takes this one's keys.
    pub(super) fn choose_successor(&self) -> Option<Incarnation> {
        let others = self.members.live().map(|it| it.incarnation.0).filter(|it| *it != self.me.0);
        rank::first(self.me.0, others).map(Incarnation)
    }

    /// Gives this box's own state.
    pub(super) fn my_state(&self) -> State {
        match self.leaving {
            None => State::Live,
            Some(Leaving { exited: true, successor, .. }) => State::Left { successor },
            Some(Leaving { successor, .. }) => State::Leaving { successor },
        }
    }
}

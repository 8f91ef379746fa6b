//! What nodes tell each other: that they live, and the work that they have sent to engines.

use std::net::SocketAddr;

use super::Gateway;
use crate::effect::{Effect, Note};
use crate::engine::EngineKey;
use crate::member::{HEARTBEAT_EVERY, Hearing};
use crate::message::{EngineNews, Load, Message};

/// The most nodes that one datagram names.
const MOST_NAMED: usize = 8;

impl Gateway {
    /// Takes in a datagram.
    pub(super) fn hear(&mut self, message: &Message) {
        if message.sender == self.settings.peer {
            return;
        }
        let hearing = self.members.hear(message, self.now);
        if hearing == Hearing::Stale {
            return;
        }
        if hearing == Hearing::New {
            self.ledger.forget(message.sender);
            self.note(Note::Peer { address: message.sender, is_alive: true });
            let answer = self.message(true);
            self.effects.push(Effect::Tell(vec![message.sender], answer));
        }
        self.members.introduce(self.settings.peer, message.peers.iter().copied());
        if let Some(news) = &message.news {
            self.take_news(news);
        }
        self.ledger.hear(message.sender, &message.loads, message.is_whole);
    }

    /// Sends the heartbeat if it is due.
    pub(super) fn beat(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT_EVERY;
        for silent in self.members.sweep(self.now) {
            self.ledger.forget(silent);
            self.note(Note::Peer { address: silent, is_alive: false });
        }
        self.keep_up();
        let audience = self.members.audience(self.now);
        let message = self.message(true);
        self.tell(audience, message);
    }

    /// Has the heartbeat sent with this event.
    pub(super) fn beat_at_once(&mut self) {
        self.next_heartbeat = self.now;
    }

    /// Tells the living nodes what work has changed.
    pub(super) fn tell_changes(&mut self) {
        let changed = self.ledger.take_changed();
        if changed.is_empty() {
            return;
        }
        let mut message = self.message(false);
        message.loads = changed;
        let audience = self.members.alive();
        self.tell(audience, message);
    }

    /// Passes on changes of engines that were read from the store.
    pub(super) fn tell_news(&mut self, news: EngineNews) {
        let mut message = self.message(false);
        message.news = Some(news);
        let audience = self.members.alive();
        self.tell(audience, message);
    }

    /// Adds a datagram to nodes, if there are any.
    fn tell(&mut self, audience: Vec<SocketAddr>, message: Message) {
        if !audience.is_empty() {
            self.effects.push(Effect::Tell(audience, message));
        }
    }

    /// Makes a datagram, with all own work if it is whole.
    fn message(&mut self, is_whole: bool) -> Message {
        self.next_sequence += 1;
        let loads: Vec<(EngineKey, Load)> = if is_whole { self.ledger.own() } else { Vec::new() };
        let peers = if is_whole { self.some_peers() } else { Vec::new() };
        Message {
            incarnation: self.settings.incarnation,
            sequence: self.next_sequence,
            sender: self.settings.peer,
            front: self.settings.front,
            standing: self.standing(),
            loads,
            is_whole,
            knowledge: self.knowledge(),
            news: None,
            peers,
        }
    }

    /// Draws some of the living nodes.
    fn some_peers(&mut self) -> Vec<SocketAddr> {
        let mut alive = self.members.alive();
        if alive.len() > MOST_NAMED {
            let first = (self.draw() % alive.len() as u64) as usize;
            alive.rotate_left(first);
            alive.truncate(MOST_NAMED);
        }
        alive
    }
}

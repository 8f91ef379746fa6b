//! Gossip: which boxes are alive, which are new, and which configuration version is in force.

use std::time::Duration;

use rand::Rng;

use crate::effect::Effect;
use crate::key::Incarnation;
use crate::member::{self, Entry, Heartbeat};
use crate::message::Message;
use crate::node::Node;

/// How often unknown boxes among the seeds and in the platform's list are contacted.
pub(super) const GREETING_INTERVAL: Duration = Duration::from_secs(2);

/// The number of boxes up to which every gossip message is sent in full to all boxes.
pub(super) const SMALL_SITE_BOXES: usize = 8;

/// The number of boxes to which a new configuration is forwarded at once; gossip spreads it to the
/// rest.
pub(super) const CONFIG_FANOUT: usize = 8;

/// The maximum number of heartbeats in one gossip message.
pub(super) const MAX_HEARTBEATS: usize = 64;

impl Node {
    /// Sends gossip and runs the work that shares its interval: expiry of members, the store watch,
    /// fetches and greetings.
    pub(super) fn run_heartbeat(&mut self) {
        let now = self.now;
        self.members.advance_heartbeat(now, self.front.home.epoch(), self.my_state());
        for died in self.members.expire(now) {
            self.out.effects.push(Effect::Note(format!("box {died} is silent")));
        }
        if let Some(watch) = self.config.watch_change(self.me, &self.members) {
            self.out.effects.push(Effect::Watch(watch));
        }
        if self.config.fetch_due(now) {
            self.out.effects.push(Effect::Fetch);
        }
        self.greet();
        self.send_gossip();
    }

    /// Sends this box's own heartbeat to every other box, and the heartbeats of others to some.
    ///
    /// In a large site only one randomly chosen box receives the heartbeats of others. This lets
    /// boxes discover each other; liveness relies on each box's own heartbeat, which is sent to
    /// all. Relaying heartbeats through a few boxes instead of sending them to all makes boxes
    /// declare live ones dead at 75 boxes.
    pub(super) fn send_gossip(&mut self) {
        let others = self.others();
        let Some(last) = others.len().checked_sub(1) else { return };
        let message = self.my_gossip();
        let chosen = self.random.random_range(0..=last);
        let own = match &message {
            Message::Gossip { beats, site_version } => Message::Gossip {
                beats: beats.iter().take(1).copied().collect(),
                site_version: *site_version,
            },
            _ => return,
        };
        let small = others.len() < SMALL_SITE_BOXES;
        for (place, to) in others.into_iter().enumerate() {
            let whole = small || place == chosen;
            self.send(to, if whole { message.clone() } else { own.clone() });
        }
    }

    /// Returns how often this box sends gossip, which depends on the size of the site.
    pub(super) fn gossip_interval(&self) -> Duration {
        let small = self.members.alive().count() <= SMALL_SITE_BOXES;
        if small { member::GOSSIP_INTERVAL } else { member::LARGE_SITE_GOSSIP_INTERVAL }
    }

    /// Returns all other boxes that are alive.
    pub(super) fn others(&self) -> Vec<Incarnation> {
        self.members.alive().map(|it| it.incarnation).filter(|it| *it != self.me).collect()
    }

    /// Creates a gossip message: this box's heartbeat first, then those of others, up to
    /// [`MAX_HEARTBEATS`] in total.
    pub(super) fn my_gossip(&mut self) -> Message {
        let mut beats = self.members.heartbeats();
        let mine = beats.iter().position(|it| it.incarnation == self.me).unwrap_or(0);
        beats.swap(0, mine);
        while beats.len() > MAX_HEARTBEATS {
            let drop = self.random.random_range(1..beats.len());
            beats.swap_remove(drop);
        }
        Message::Gossip { beats, site_version: self.config.current().version }
    }

    /// Applies received heartbeats and exchanges entries and configurations that either side lacks.
    pub(super) fn handle_gossip(
        &mut self,
        from: Incarnation,
        beats: &[Heartbeat],
        site_version: u64,
    ) {
        let now = self.now;
        let mut unknown = Vec::new();
        for &beat in beats {
            if self.members.apply_heartbeat(now, beat) {
                unknown.push(beat.incarnation);
            }
        }
        if !unknown.is_empty() {
            self.send(from, Message::EntriesWanted(unknown));
        }
        self.config.record_peer_version(now, site_version);
        let mine = self.config.current().version;
        if site_version > mine {
            self.send(from, Message::SiteWanted);
        } else if site_version < mine {
            let current = self.config.current().clone();
            self.send(from, Message::Site(current));
        }
        self.update_owners();
    }

    /// Adds received membership entries.
    pub(super) fn add_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let (name, address) = (entry.name.clone(), entry.peer_address.clone());
            let new = entry.incarnation;
            if self.members.add_entry(self.now, entry) {
                // The new box can't send messages to a box that it does not know.
                let mine = vec![self.members.my_entry().clone()];
                self.send(new, Message::Entries(mine));
                self.out.effects.push(Effect::Note(format!("box {name} joined at {address}")));
            }
        }
        self.update_owners();
    }

    /// Contacts the boxes among the seeds and in the platform's list that are not known to be
    /// alive.
    pub(super) fn greet(&mut self) {
        if self.last_greeting.is_some_and(|at| self.now.since(at) < GREETING_INTERVAL) {
            return;
        }
        self.last_greeting = Some(self.now);
        let listed = self.listed.iter().filter(|it| !it.leaving).map(|it| &it.peer_address);
        let mut wanted: Vec<&String> = self.seeds.iter().chain(listed).collect();
        wanted.sort();
        wanted.dedup();
        let known = |address: &String| self.members.alive().any(|it| it.peer_address == *address);
        let greetings: Vec<Effect> =
            wanted.into_iter().filter(|it| !known(it)).cloned().map(Effect::Greet).collect();
        self.out.effects.extend(greetings);
    }
}

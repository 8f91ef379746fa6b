//! What is known of the platform's store, and which nodes follow it.
//!
//! A few nodes follow the store and pass on what they see; the others read it once when they learn
//! that they are behind. A node follows by itself whenever fewer than two of those chosen say that
//! the store answers them.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::effect::{Effect, Note};
use crate::engine::{Engine, EngineChange};
use crate::event::Kind;
use crate::message::{EngineNews, Knowledge};
use crate::route::Configuration;

/// How many nodes follow the store, at least.
const FOLLOWERS: usize = 3;

/// For how many nodes there is one more: where silence is noticed later, more may be lost at once.
const NODES_A_FOLLOWER: usize = 100;

/// How many of them must say that the store answers them.
const LEAST_SEEING: usize = 2;

/// How long an answer of the store counts.
const ANSWER_LIFE: Duration = Duration::from_millis(2500);

/// The least time without an answer after which entries may have lapsed that are not renewed.
const LEAST_OUTAGE: Duration = Duration::from_millis(1500);

/// How long after the store's return the engines that live are back in it.
const BACK_WITHIN: Duration = Duration::from_secs(2);

/// The most changes that are passed on in one datagram; beyond, the others read for themselves.
const MOST_PASSED_ON: usize = 16;

/// What a node has from the store itself, and what it asked for.
#[derive(Debug, Clone)]
pub(super) struct StoreState {
    /// Whether this node follows the store.
    follows: bool,
    /// When the store last answered about the configuration.
    configuration_answered: Option<Time>,
    /// When the store last answered about engines.
    engines_answered: Option<Time>,
    /// Since when the store has not answered about engines.
    engines_away: Option<Time>,
    /// When the store last answered about engines again after an outage.
    engines_back: Option<Time>,
    /// The newest version for which the configuration was read as soon as it was heard of.
    asked_for: u64,
    /// Whether the configuration was behind others' at the last heartbeat.
    configuration_behind: bool,
    /// Whether the engines were behind others' at the last heartbeat.
    engines_behind: bool,
}

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            follows: true,
            configuration_answered: None,
            engines_answered: None,
            engines_away: None,
            engines_back: None,
            asked_for: 0,
            configuration_behind: false,
            engines_behind: false,
        }
    }
}

impl Gateway {
    /// Takes a version of the configuration; an older one than that in force is ignored.
    pub(super) fn configure(&mut self, configuration: Arc<Configuration>) {
        if self.version().is_some_and(|it| it >= configuration.version) {
            return;
        }
        let routes = configuration.route_count();
        self.note(Note::Configured { version: configuration.version, routes });
        self.configuration = Some(configuration);
        self.beat_at_once();
    }

    /// Takes a whole list of engines.
    pub(super) fn list(&mut self, engines: Vec<Engine>, revision: u64) {
        let since = self.directory.next_since();
        let missing_until = self.missing_until();
        if let Some(changes) = self.directory.list(engines, revision, missing_until) {
            self.note(Note::Listed { engines: self.directory.len(), revision });
            if self.is_listed && self.store.follows {
                self.pass_on(since, changes);
            }
        }
        if !self.is_listed {
            self.is_listed = true;
            self.beat_at_once();
        }
    }

    /// Takes changes that this node read from the store, and passes them on.
    pub(super) fn change(&mut self, changes: Vec<EngineChange>) {
        let since = self.directory.next_since();
        let own = self.directory.complete();
        let newer: Vec<_> = changes.into_iter().filter(|it| it.revision() > own).collect();
        self.apply(&newer);
        self.pass_on(since, newer);
    }

    /// Passes changes on, if they are not too many: then the others read for themselves.
    fn pass_on(&mut self, since: u64, changes: Vec<EngineChange>) {
        if !changes.is_empty() && changes.len() <= MOST_PASSED_ON {
            self.tell_news(EngineNews { since, changes });
        }
    }

    /// Takes changes that another node passed on, if none between is missing.
    pub(super) fn take_news(&mut self, news: &EngineNews) {
        let own = self.directory.complete();
        if !self.is_listed || own < news.since {
            return;
        }
        let newer: Vec<_> = news.changes.iter().filter(|it| it.revision() > own).cloned().collect();
        self.apply(&newer);
    }

    /// Applies changes.
    fn apply(&mut self, changes: &[EngineChange]) {
        for change in changes {
            match change {
                EngineChange::Put(engine, revision) => self.put(engine, *revision),
                EngineChange::Left(id, revision) => self.leave(id, *revision),
            }
        }
    }

    /// Takes one engine's change.
    fn put(&mut self, engine: &Engine, revision: u64) {
        let old = self.directory.get(engine.key).map(|it| it.engine.is_draining);
        let is_news = old != Some(engine.is_draining);
        if self.directory.change(engine.clone(), revision) && is_news {
            let (id, address) = (engine.id.clone(), engine.address);
            self.note(Note::Engine { id, address, is_draining: engine.is_draining });
        }
    }

    /// Takes one engine's leaving.
    fn leave(&mut self, id: &Arc<str>, revision: u64) {
        let missing_until = self.missing_until();
        if self.directory.leave(id, revision, missing_until) && missing_until.is_none() {
            self.note(Note::EngineLeft { id: id.clone() });
        }
    }

    /// Notes that the store answered.
    pub(super) fn store_answered(&mut self, kind: Kind) {
        match kind {
            Kind::Configuration => self.store.configuration_answered = Some(self.now),
            Kind::Engines => self.engines_answered(),
        }
    }

    /// Notes that the store answered about engines.
    fn engines_answered(&mut self) {
        self.store.engines_answered = Some(self.now);
        let away = self.store.engines_away.take();
        if away.is_some_and(|it| self.now.since(it) >= LEAST_OUTAGE) {
            self.store.engines_back = Some(self.now);
        }
    }

    /// Notes that the store did not answer.
    pub(super) fn store_failed(&mut self, kind: Kind) {
        if kind == Kind::Engines {
            self.store.engines_away.get_or_insert(self.now);
        }
    }

    /// Gives until when an engine stays whose entry is missing: entries lapse while the store is
    /// away, and engines that live are back soon after its return. None if the store was there.
    fn missing_until(&self) -> Option<Time> {
        let is_away = |it: Time| self.now.since(it) >= LEAST_OUTAGE;
        if self.store.engines_away.is_some_and(is_away) {
            return Some(self.now + BACK_WITHIN);
        }
        let end = self.store.engines_back? + BACK_WITHIN;
        (self.now < end).then_some(end)
    }

    /// Takes the engines as gone that did not come back after an outage of the store.
    pub(super) fn remove_missing(&mut self) {
        for engine in self.directory.remove_missing(self.now) {
            self.note(Note::EngineLeft { id: engine.id.clone() });
        }
    }

    /// Tells what this node knows.
    pub(super) fn knowledge(&self) -> Knowledge {
        let is_fresh = |at: Option<Time>| at.is_some_and(|it| self.now.since(it) < ANSWER_LIFE);
        let answered =
            is_fresh(self.store.configuration_answered) && is_fresh(self.store.engines_answered);
        Knowledge {
            version: self.version().unwrap_or(0),
            revision: self.directory.changed(),
            sees_store: self.store.follows && answered,
        }
    }

    /// Decides whether this node follows the store, and reads what it has been behind with since
    /// the last heartbeat.
    pub(super) fn keep_up(&mut self) {
        let follows = self.should_follow();
        if follows != self.store.follows {
            self.store.follows = follows;
            self.note(Note::Follows(follows));
            self.effects.push(Effect::Follow(follows));
        }
        let newest = self.members.newest();
        let behind = self.version().unwrap_or(0) < newest.version;
        if behind && self.store.configuration_behind {
            self.effects.push(Effect::Read(Kind::Configuration));
        }
        self.store.configuration_behind = behind;
        let behind = self.directory.complete() < newest.revision;
        if behind && self.store.engines_behind {
            self.effects.push(Effect::Read(Kind::Engines));
        }
        self.store.engines_behind = behind;
    }

    /// Has the configuration read as soon as another node knows a newer one. A node that follows
    /// the store gets it from there.
    pub(super) fn read_if_newer(&mut self, version: u64) {
        let is_newer = version > self.version().unwrap_or(0);
        let was_asked = self.store.asked_for >= version;
        if is_newer && !was_asked && !self.store.follows {
            self.store.asked_for = version;
            self.effects.push(Effect::Read(Kind::Configuration));
        }
    }

    /// Tells whether this node is to follow the store.
    fn should_follow(&self) -> bool {
        let count = FOLLOWERS + self.members.most() / NODES_A_FOLLOWER;
        let chosen = self.members.chosen(self.settings.peer, count);
        let is_chosen = chosen.contains(&self.settings.peer);
        is_chosen || self.members.seeing(&chosen) < LEAST_SEEING
    }
}

//! One box's reducer: all its state, and the step that takes one event.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::address;
use crate::config::{Config, Versioned};
use crate::effect::{CallerReply, Effect};
use crate::event::{CallId, Event, Listed};
use crate::front::Front;
use crate::home::Home;
use crate::key::Incarnation;
use crate::layout::Layout;
use crate::member::{self, Beat, Entry, State, Table};
use crate::message::Message;
use crate::orders::Orders;
use crate::pool::{Pool, ShardId};
use crate::rank;
use crate::site::{DataCentreId, Site, UpstreamId};
use crate::status::{BoxStatus, EngineStatus, PoolStatus, Status, UpstreamStatus};
use crate::store;
use crate::time::Time;

/// A gap between two events after which the box takes itself to have been paused.
pub const PAUSE: Duration = Duration::from_secs(2);

/// How long a leaving box stays at least, so that the others hear of it.
pub const LINGER: Duration = Duration::from_secs(1);

/// How often a leaving box offers its keys again.
pub const OFFER_AGAIN: Duration = Duration::from_millis(300);

/// How long a leaving box waits for its successor at most.
pub const OFFER_LIMIT: Duration = Duration::from_secs(3);

/// How often unknown boxes among the seeds and in the platform's list are greeted.
pub const GREET: Duration = Duration::from_secs(2);

/// The boxes up to which every gossip tells all boxes of all others.
pub const SMALL_SITE: usize = 8;

/// The boxes to which a new configuration is passed on at once; gossip brings it to the rest.
pub const PASS_ON_TO: usize = 8;

/// The most heartbeats in one gossip.
pub const MOST_BEATS: usize = 64;

/// What a box is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its incarnation, drawn at random for each start.
    pub incarnation: Incarnation,
    /// Its name.
    pub name: String,
    /// Its address for callers.
    pub caller_address: String,
    /// Its address for other boxes.
    pub peer_address: String,
    /// Its data centre's name.
    pub data_centre: String,
    /// Addresses of other boxes to greet.
    pub seeds: Vec<String>,
    /// The seed of its random choices.
    pub random_seed: u64,
}

/// What a step of one part can see of the rest, and where it puts its effects.
pub struct Context<'a> {
    /// The time of the event.
    pub now: Time,
    /// This box.
    pub me: Incarnation,
    /// The site in force.
    pub site: &'a Site,
    /// What follows from the site.
    layout: &'a Layout,
    /// The members known.
    pub members: &'a Table,
    /// The owner of each shard.
    owners: &'a BTreeMap<ShardId, Incarnation>,
    /// The effects and messages put out.
    out: &'a mut Out,
}

impl Context<'_> {
    /// Asks the driver for something.
    pub fn effect(&mut self, effect: Effect) {
        self.out.effects.push(effect);
    }

    /// Notes something for the operator.
    pub fn note(&mut self, note: String) {
        self.effect(Effect::Note(note));
    }

    /// Answers a caller.
    pub fn reply(&mut self, call: CallId, reply: CallerReply) {
        self.effect(Effect::Reply { call, reply });
    }

    /// Sends a message to a box, this one included.
    pub fn send(&mut self, to: Incarnation, message: Message) {
        if to == self.me {
            self.out.local.push_back(message);
            return;
        }
        let Some(entry) = self.members.entry(to) else { return };
        let address = entry.peer_address.clone();
        self.effect(Effect::Send { to, address, message: Box::new(message) });
    }

    /// Begins an operation on the store; gives its number.
    pub fn store(&mut self, operation: store::Operation) -> u64 {
        self.out.last_operation += 1;
        let number = self.out.last_operation;
        self.effect(Effect::Store { number, operation });
        number
    }

    /// Gives a shard's owner in this box's view.
    pub fn owner(&self, shard: ShardId) -> Option<Incarnation> {
        self.owners.get(&shard).copied()
    }

    /// Gives all shards of the site.
    pub fn shards(&self) -> Vec<ShardId> {
        self.layout.shards.clone()
    }

    /// Gives the number of a service's shards.
    pub fn parts(&self, service: crate::site::ServiceId) -> u16 {
        self.layout.parts.get(&service).copied().unwrap_or(1).max(1)
    }

    /// Gives an engine's address, if the site has the engine.
    pub fn engine_address(&self, engine: UpstreamId) -> Option<String> {
        self.layout.addresses.get(&engine).cloned()
    }
}

/// Effects and messages put out during one step.
#[derive(Debug, Clone, Default)]
struct Out {
    /// Effects for the driver.
    effects: Vec<Effect>,
    /// Messages of this box to itself.
    local: VecDeque<Message>,
    /// The number of the last operation on the store.
    last_operation: u64,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy)]
struct Leaving {
    /// When it began.
    since: Time,
    /// The box that takes the keys.
    successor: Option<Incarnation>,
    /// When the keys were last offered, and first.
    offered: Option<(Time, Time)>,
    /// Whether the driver was told to exit.
    exited: bool,
}

/// One box's reducer.
#[derive(Debug, Clone)]
pub struct Node {
    /// The time of the last event.
    now: Time,
    /// Whether there was an event.
    started: bool,
    /// This box.
    me: Incarnation,
    /// The members known.
    members: Table,
    /// The configuration.
    config: Config,
    /// What follows from the configuration.
    layout: Layout,
    /// The owner of each shard, in this box's view.
    owners: BTreeMap<ShardId, Incarnation>,
    /// The members' revision and the site's version from which the owners follow.
    owners_of: Option<(u64, u64)>,
    /// The front.
    front: Front,
    /// The shards that this box owns.
    pools: BTreeMap<ShardId, Pool>,
    /// Orders to engines.
    orders: Orders,
    /// Addresses of boxes to greet.
    seeds: Vec<String>,
    /// Addresses in the platform's list.
    listed: Vec<Listed>,
    /// When boxes were last greeted.
    greeted: Option<Time>,
    /// When this box last gossiped.
    gossiped: Option<Time>,
    /// The planned stop, once it has begun.
    leaving: Option<Leaving>,
    /// Random choices.
    random: Pcg64Mcg,
    /// Effects and messages put out.
    out: Out,
}

impl Node {
    /// Makes a box that knows nobody and has no configuration.
    pub fn new(now: Time, settings: Settings) -> Node {
        let me = settings.incarnation;
        let beat = Beat { incarnation: me, counter: 0, epoch: 1, state: State::Live };
        let entry = Entry {
            incarnation: me,
            name: settings.name,
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            data_centre: DataCentreId::of(&settings.data_centre),
            beat,
        };
        Node {
            now,
            started: false,
            me,
            members: Table::new(now, entry),
            config: Config::new(now),
            layout: Layout::default(),
            owners: BTreeMap::new(),
            owners_of: None,
            front: Front::new(Home::new(now, me)),
            pools: BTreeMap::new(),
            orders: Orders::new(now, DataCentreId::of(&settings.data_centre)),
            seeds: settings.seeds,
            listed: Vec::new(),
            greeted: None,
            gossiped: None,
            leaving: None,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            out: Out::default(),
        }
    }

    /// Takes one event and gives what is to be done.
    ///
    /// Times must not go back; a time before the last one counts as the last one.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        if self.started && gap > PAUSE {
            self.wake(gap);
        }
        self.started = true;
        self.take(event);
        while let Some(message) = self.out.local.pop_front() {
            self.message(self.me, message);
        }
        std::mem::take(&mut self.out.effects)
    }

    /// Gives this box's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// Gives this box's entry, for greetings.
    pub fn entry(&self) -> &Entry {
        self.members.my_entry()
    }

    /// Gives the configuration in force.
    pub fn site(&self) -> &Arc<Versioned> {
        self.config.current()
    }

    /// Tells whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.closed().is_none() && self.config.current().version > 0
    }

    /// Gives the number of requests in progress here.
    pub fn in_progress(&self) -> usize {
        self.front.in_progress()
    }

    /// Ranks the boxes for a caller.
    pub fn addresses(&self, caller: &str, data_centre: Option<&str>) -> address::Answer {
        address::answer(&self.members, caller, data_centre.map(DataCentreId::of))
    }

    /// Gives the box's state for operators.
    pub fn status(&self) -> Status {
        let current = self.config.current();
        let entry = self.members.my_entry();
        Status {
            name: entry.name.clone(),
            incarnation: self.me.to_string(),
            epoch: self.front.home.epoch(),
            leaving: self.leaving.is_some(),
            closed: self.closed().map(str::to_owned),
            site: current.site.name.clone(),
            site_version: current.version,
            store_reachable: self.config.store_reachable(),
            boxes: self.members.alive().map(box_status).collect(),
            pools: self.pools.iter().map(|(id, pool)| self.pool_status(*id, pool)).collect(),
            upstreams: current.site.upstreams.iter().map(|it| self.upstream_status(it)).collect(),
            requests: self.front.in_progress(),
            keys: self.front.home.len(),
        }
    }

    /// Takes an event.
    fn take(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Arrive { call, arrival } => {
                let closed = self.closed();
                self.front(|front, cx| front.arrive(cx, call, *arrival, closed));
            }
            Event::Gone(call) => self.front(|front, cx| front.gone(cx, call)),
            Event::Upstream { ticket, reply } => {
                self.front(|front, cx| front.upstream(cx, ticket, reply));
            }
            Event::Polled { engine, report } => {
                if let Some(report) = &report {
                    self.orders(|orders, cx| orders.report(cx, engine, report));
                }
                self.each_pool(|pool, cx| pool.report(cx, engine, report.clone()));
            }
            Event::Peer { from, message } => {
                self.config.hear_peer(self.now);
                self.message(from, *message);
            }
            Event::Unreachable(incarnation) => {
                if self.members.suspect(incarnation) {
                    let note = format!("box {incarnation} can't be reached");
                    self.out.effects.push(Effect::Note(note));
                    self.update_owners();
                }
            }
            Event::Seen(entry) => {
                self.config.hear_peer(self.now);
                let (new, is_new) = (entry.incarnation, self.members.is_dead(entry.incarnation));
                self.learn(vec![entry]);
                if is_new {
                    // A box that has just started learns of all others at once.
                    let known = self.members.alive().cloned().collect();
                    self.send(new, Message::Entries(known));
                }
            }
            Event::Listed(listed) => self.listed = listed,
            Event::Site(offered) => {
                self.config.hear_store(self.now, true);
                self.offer(&offered);
            }
            Event::Store { number, answer } => {
                let reachable = answer != store::Answer::Away;
                self.config.hear_store(self.now, reachable);
                self.front(|front, cx| front.store(cx, number, &answer));
                self.orders(|orders, cx| orders.answer(cx, number, &answer));
            }
            Event::StoreReachable(reachable) => self.config.hear_store(self.now, reachable),
            Event::Leave => self.leave(),
        }
    }

    /// Takes a message.
    fn message(&mut self, from: Incarnation, message: Message) {
        match message {
            Message::Gossip { beats, site_version } => self.gossip(from, &beats, site_version),
            Message::EntriesWanted(wanted) => {
                let known = wanted.iter().filter_map(|&it| self.members.entry(it)).cloned();
                let entries = known.collect();
                self.send(from, Message::Entries(entries));
            }
            Message::Entries(entries) => self.learn(entries),
            Message::Site(offered) => self.offer(&offered),
            Message::SiteWanted => {
                let current = self.config.current().clone();
                if current.version > 0 {
                    self.send(from, Message::Site(current));
                }
            }
            Message::Ask(ask) => {
                let (shard, ticket) = (ask.shard, ask.ticket);
                if self.pools.contains_key(&shard) {
                    self.pool(shard, |pool, cx| pool.ask(cx, ask));
                    return;
                }
                let refusal = crate::outcome::Refusal::Leaving;
                let retry_after = Duration::ZERO;
                // This box does not own the shard in its own view. The front asks again when
                // its view has changed too; an answer at once would only make it ask at once.
                if self.leaving.is_some() {
                    self.send(from, Message::Refused { ticket, refusal, retry_after });
                }
            }
            Message::Granted(grant) => self.front(|front, cx| front.granted(cx, from, grant)),
            Message::Refused { ticket, refusal, retry_after } => {
                self.front(|front, cx| front.refused(cx, ticket, refusal, retry_after));
            }
            Message::Renew { shard, held } => {
                self.pool(shard, |pool, cx| pool.renew(cx, from, held));
            }
            Message::DeclareWanted(shard) => {
                self.front(|front, cx| front.declare(cx, from, shard));
            }
            Message::Declare { shard, held } => {
                self.pool(shard, |pool, cx| pool.declare(cx, from, held));
            }
            Message::Progress { shard, ticket, stage } => {
                self.pool(shard, |pool, cx| pool.progress(cx, ticket, stage));
            }
            Message::Release { shard, ticket, end } => {
                self.pool(shard, |pool, cx| pool.release(cx, ticket, end));
            }
            Message::Fenced(ticket) => self.front(|front, cx| front.fenced(cx, ticket)),
            Message::Handover(handover) => {
                self.front.home.take(self.now, *handover);
                self.send(from, Message::HandoverTaken);
            }
            Message::HandoverTaken => self.handover_taken(from),
        }
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = self.now;
        if self.gossiped.is_none_or(|at| now.since(at) >= self.beat_period()) {
            self.gossiped = Some(now);
            self.beat();
        }
        self.update_owners();
        self.each_pool(Pool::tick);
        self.front(Front::tick);
        let first = self.config.is_first(self.me, &self.members) && self.leaving.is_none();
        self.orders(|orders, cx| orders.tick(cx, first));
        self.leave_further();
    }

    /// Gossips, and does what is due as often.
    fn beat(&mut self) {
        let now = self.now;
        self.members.beat(now, self.front.home.epoch(), self.my_state());
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
        self.gossip_out();
    }

    /// Sends this box's heartbeat to every other box, and what it knows of others to some.
    ///
    /// In a large site only one other box, at random, gets what is known of others: that lets
    /// boxes find each other, and it is each box's own heartbeat that keeps it alive. Passing
    /// heartbeats on to a few instead of sending one's own to all was tried with 75 boxes: live
    /// ones were taken for dead.
    fn gossip_out(&mut self) {
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
        let small = others.len() < SMALL_SITE;
        for (place, to) in others.into_iter().enumerate() {
            let whole = small || place == chosen;
            self.send(to, if whole { message.clone() } else { own.clone() });
        }
    }

    /// Gives how often this box gossips.
    fn beat_period(&self) -> Duration {
        let small = self.members.alive().count() <= SMALL_SITE;
        if small { member::BEAT } else { member::LARGE_BEAT }
    }

    /// Gives all other boxes alive.
    fn others(&self) -> Vec<Incarnation> {
        self.members.alive().map(|it| it.incarnation).filter(|it| *it != self.me).collect()
    }

    /// Makes a gossip: this box's heartbeat and those of some others.
    fn my_gossip(&mut self) -> Message {
        let mut beats = self.members.beats();
        let mine = beats.iter().position(|it| it.incarnation == self.me).unwrap_or(0);
        beats.swap(0, mine);
        while beats.len() > MOST_BEATS {
            let drop = self.random.random_range(1..beats.len());
            beats.swap_remove(drop);
        }
        Message::Gossip { beats, site_version: self.config.current().version }
    }

    /// Takes a gossip.
    fn gossip(&mut self, from: Incarnation, beats: &[Beat], site_version: u64) {
        let now = self.now;
        let mut unknown = Vec::new();
        for &beat in beats {
            if self.members.hear(now, beat) {
                unknown.push(beat.incarnation);
            }
        }
        if !unknown.is_empty() {
            self.send(from, Message::EntriesWanted(unknown));
        }
        self.config.hear_version(now, site_version);
        let mine = self.config.current().version;
        if site_version > mine {
            self.send(from, Message::SiteWanted);
        } else if site_version < mine {
            let current = self.config.current().clone();
            self.send(from, Message::Site(current));
        }
        self.update_owners();
    }

    /// Takes entries of boxes.
    fn learn(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let (name, address) = (entry.name.clone(), entry.peer_address.clone());
            let new = entry.incarnation;
            if self.members.learn(self.now, entry) {
                // The new box can't answer one that it does not know.
                let mine = vec![self.members.my_entry().clone()];
                self.send(new, Message::Entries(mine));
                self.out.effects.push(Effect::Note(format!("box {name} joined at {address}")));
            }
        }
        self.update_owners();
    }

    /// Greets the boxes among seeds and in the platform's list that are not known to be alive.
    fn greet(&mut self) {
        if self.greeted.is_some_and(|at| self.now.since(at) < GREET) {
            return;
        }
        self.greeted = Some(self.now);
        let listed = self.listed.iter().filter(|it| !it.leaving).map(|it| &it.peer_address);
        let mut wanted: Vec<&String> = self.seeds.iter().chain(listed).collect();
        wanted.sort();
        wanted.dedup();
        let known = |address: &String| self.members.alive().any(|it| it.peer_address == *address);
        let greetings: Vec<Effect> =
            wanted.into_iter().filter(|it| !known(it)).cloned().map(Effect::Greet).collect();
        self.out.effects.extend(greetings);
    }

    /// Takes a configuration, and passes a new one on to the boxes of this data centre.
    fn offer(&mut self, offered: &Arc<Versioned>) {
        if !self.config.offer(self.now, offered) {
            return;
        }
        self.layout = Layout::new(&offered.site);
        for pool in self.pools.values_mut() {
            pool.configure(&offered.site, &self.layout);
        }
        self.update_owners();
        let note = format!("version {} of site {} is in force", offered.version, offered.site.name);
        self.out.effects.push(Effect::Note(note));
        let near: Vec<Incarnation> = self
            .members
            .alive()
            .filter(|it| it.incarnation != self.me)
            .map(|it| it.incarnation)
            .take(PASS_ON_TO)
            .collect();
        for to in near {
            self.send(to, Message::Site(offered.clone()));
        }
    }

    /// Works out the shards' owners anew when members or site have changed.
    fn update_owners(&mut self) {
        let of = (self.members.revision(), self.config.current().version);
        if self.owners_of == Some(of) {
            return;
        }
        self.owners_of = Some(of);
        let mut candidates: Vec<u64> = self.members.live().map(|it| it.incarnation.0).collect();
        if candidates.is_empty() {
            // All are leaving: one of them must own the shard until the end.
            candidates = self.members.alive().map(|it| it.incarnation.0).collect();
        }
        self.owners = self
            .layout
            .shards
            .iter()
            .filter_map(|&shard| {
                let first = rank::first(shard.number(), candidates.iter().copied())?;
                Some((shard, Incarnation(first)))
            })
            .collect();
        let site = self.config.current().clone();
        let lost: Vec<ShardId> =
            self.pools.keys().filter(|it| self.owners.get(it) != Some(&self.me)).copied().collect();
        for shard in lost {
            self.pool(shard, Pool::hand_over);
            self.pools.remove(&shard);
        }
        for (&shard, &owner) in &self.owners {
            if owner == self.me && !self.pools.contains_key(&shard) {
                self.pools.insert(shard, Pool::new(self.now, shard, &site.site, &self.layout));
            }
        }
    }

    /// Goes on after a pause of this box: what it held may have been taken from it.
    fn wake(&mut self, gap: Duration) {
        let millis = gap.as_millis();
        self.out.effects.push(Effect::Note(format!("this box was paused for {millis} ms")));
        self.members.forgive(self.now);
        // Another box may have owned the shards meanwhile: the ledgers begin anew.
        self.pools.clear();
        self.owners_of = None;
        self.front(Front::fence_all);
    }

    /// Begins the planned stop.
    fn leave(&mut self) {
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
    fn leave_further(&mut self) {
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
    fn handover_taken(&mut self, from: Incarnation) {
        let Some(leaving) = self.leaving else { return };
        if leaving.successor == Some(from) && leaving.offered.is_some() {
            self.exit(Some(from));
        }
    }

    /// Ends the planned stop.
    fn exit(&mut self, successor: Option<Incarnation>) {
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
    fn tell_all(&mut self) {
        self.members.beat(self.now, self.front.home.epoch(), self.my_state());
        let message = self.my_gossip();
        for to in self.others() {
            self.send(to, message.clone());
        }
    }

    /// Chooses the box that takes this one's keys.
    fn choose_successor(&self) -> Option<Incarnation> {
        let others = self.members.live().map(|it| it.incarnation.0).filter(|it| *it != self.me.0);
        rank::first(self.me.0, others).map(Incarnation)
    }

    /// Gives this box's own state.
    fn my_state(&self) -> State {
        match self.leaving {
            None => State::Live,
            Some(Leaving { exited: true, successor, .. }) => State::Left { successor },
            Some(Leaving { successor, .. }) => State::Leaving { successor },
        }
    }

    /// Gives why this box takes nothing new, where that is so.
    fn closed(&self) -> Option<&'static str> {
        if self.leaving.is_some() {
            return Some("the box is leaving");
        }
        let isolated = self.config.isolated(self.now, self.members.had_peers());
        isolated.then_some("the box is cut off from the platform and from every other box")
    }

    /// Sends a message.
    fn send(&mut self, to: Incarnation, message: Message) {
        self.front(|_, cx| cx.send(to, message));
    }

    /// Runs a step of the front.
    fn front(&mut self, step: impl FnOnce(&mut Front, &mut Context<'_>)) {
        let current = self.config.current().clone();
        let mut cx = Context {
            now: self.now,
            me: self.me,
            site: &current.site,
            layout: &self.layout,
            members: &self.members,
            owners: &self.owners,
            out: &mut self.out,
        };
        step(&mut self.front, &mut cx);
    }

    /// Runs a step of the orders to engines.
    fn orders(&mut self, step: impl FnOnce(&mut Orders, &mut Context<'_>)) {
        let now = self.now;
        let data_centre = self.members.my_data_centre();
        let mut orders = std::mem::replace(&mut self.orders, Orders::new(now, data_centre));
        self.front(|_, cx| step(&mut orders, cx));
        self.orders = orders;
    }

    /// Runs a step of one shard's ledger, if this box owns the shard.
    fn pool(&mut self, shard: ShardId, step: impl FnOnce(&mut Pool, &mut Context<'_>)) {
        let Some(mut pool) = self.pools.remove(&shard) else { return };
        self.front(|_, cx| step(&mut pool, cx));
        self.pools.insert(shard, pool);
    }

    /// Runs a step of every ledger that this box owns.
    fn each_pool(&mut self, mut step: impl FnMut(&mut Pool, &mut Context<'_>)) {
        let shards: Vec<ShardId> = self.pools.keys().copied().collect();
        for shard in shards {
            self.pool(shard, &mut step);
        }
    }

    /// Gives a shard's state for operators.
    fn pool_status(&self, id: ShardId, pool: &Pool) -> PoolStatus {
        let site = &self.config.current().site;
        let service = site.service(id.service).map(|it| it.name.clone()).unwrap_or_default();
        let engines = pool.engines().iter().map(|(&id, engine)| EngineStatus {
            name: site.engine(id).map(|it| it.name.clone()).unwrap_or_default(),
            state: match engine {
                it if it.leaving => "leaving",
                it if it.health.is_out(self.now) => "out",
                it if !it.is_usable(self.now) => "silent",
                _ => "live",
            }
            .to_owned(),
            reserved_tokens: engine.reserved,
            reported_tokens: engine.reported,
            memory_tokens: engine.memory_tokens,
            slowness: engine.slowness,
        });
        PoolStatus {
            service,
            part: id.part,
            granted: pool.granted(),
            waiting: pool.waiting(),
            engines: engines.collect(),
        }
    }

    /// Gives a plain upstream's state for operators.
    fn upstream_status(&self, upstream: &crate::site::Upstream) -> UpstreamStatus {
        let id = upstream.id();
        let state = match upstream.leaving {
            true => "leaving",
            false if self.front.plain.is_out(self.now, id) => "out",
            false => "live",
        };
        UpstreamStatus {
            name: upstream.name.clone(),
            state: state.to_owned(),
            outstanding: self.front.plain.outstanding(id),
        }
    }
}

/// Gives a box's state for operators.
fn box_status(entry: &Entry) -> BoxStatus {
    let state = match entry.beat.state {
        State::Live => "live",
        State::Leaving { .. } => "leaving",
        State::Left { .. } => "left",
    };
    BoxStatus {
        name: entry.name.clone(),
        address: entry.caller_address.clone(),
        incarnation: entry.incarnation.to_string(),
        state: state.to_owned(),
    }
}

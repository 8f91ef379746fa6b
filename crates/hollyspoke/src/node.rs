//! The reducer of one box: its whole state and the step function that handles one event.

mod gossip;
mod report;
mod shutdown;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use gossip::CONFIG_FANOUT;
use shutdown::Shutdown;

use crate::address;
use crate::config::{Config, Versioned};
use crate::context::{Context, Out};
use crate::effect::Effect;
use crate::event::{Event, Listed};
use crate::front::Front;
use crate::home::Home;
use crate::key::Incarnation;
use crate::layout::{Layout, ShardId};
use crate::member::{Entry, Heartbeat, State, Table};
use crate::message::Message;
use crate::orders::Orders;
use crate::pool::Pool;
use crate::rank;
use crate::site::DataCentreId;
use crate::store;
use crate::time::Time;

/// The gap between two events above which the box assumes that its process was paused, and that
/// other boxes may have taken over what it owned.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// The gap between two events above which its time does not count against others: several ticks,
/// which a driver that runs does not miss.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(200);

/// The settings with which a box starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The incarnation, drawn at random at each start.
    pub incarnation: Incarnation,
    /// The box's name.
    pub name: String,
    /// The address for callers.
    pub caller_address: String,
    /// The address for other boxes.
    pub peer_address: String,
    /// The name of the box's data centre.
    pub data_centre: String,
    /// Addresses of other boxes to contact at start.
    pub seeds: Vec<String>,
    /// The seed of the random number generator.
    pub random_seed: u64,
}

/// The reducer of one box.
#[derive(Debug, Clone)]
pub struct Node {
    /// The time of the last event.
    now: Time,
    /// Whether any event has been handled.
    started: bool,
    /// The incarnation of this box.
    me: Incarnation,
    /// The membership table.
    members: Table,
    /// The configuration in force and its freshness.
    config: Config,
    /// The shards and addresses derived from the configuration.
    layout: Layout,
    /// The owner of each shard, in this box's view.
    owners: BTreeMap<ShardId, Incarnation>,
    /// The membership revision and site version from which `owners` was computed.
    owners_version: Option<(u64, u64)>,
    /// The part that serves callers.
    front: Front,
    /// The ledgers of the shards that this box owns.
    pools: BTreeMap<ShardId, Pool>,
    /// The part that sends orders to engines.
    orders: Orders,
    /// Addresses of boxes to contact.
    seeds: Vec<String>,
    /// The boxes in the platform's list.
    listed: Vec<Listed>,
    /// When unknown boxes were last contacted.
    last_greeting: Option<Time>,
    /// When this box last sent gossip.
    last_gossip: Option<Time>,
    /// The planned shutdown, once it has begun.
    shutdown: Option<Shutdown>,
    /// The random number generator.
    random: Pcg64Mcg,
    /// Effects and local messages produced by the current step.
    out: Out,
}

impl Node {
    /// Creates a box that knows no other boxes and has no configuration.
    pub fn new(now: Time, settings: Settings) -> Node {
        let me = settings.incarnation;
        let beat = Heartbeat { incarnation: me, counter: 0, epoch: 1, state: State::Live };
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
            owners_version: None,
            front: Front::new(Home::new(now, me)),
            pools: BTreeMap::new(),
            orders: Orders::new(now, DataCentreId::of(&settings.data_centre), me),
            seeds: settings.seeds,
            listed: Vec::new(),
            last_greeting: None,
            last_gossip: None,
            shutdown: None,
            random: Pcg64Mcg::seed_from_u64(settings.random_seed),
            out: Out::default(),
        }
    }

    /// Handles one event and returns the effects to execute.
    ///
    /// Time must not go backwards; a time earlier than the previous one is treated as the previous
    /// one.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        if self.started && gap > STALL_THRESHOLD {
            self.extend_timeouts(gap);
        }
        if self.started && gap > PAUSE_THRESHOLD {
            self.recover_from_pause(gap);
        }
        self.started = true;
        self.handle_event(event);
        while let Some(message) = self.out.local.pop_front() {
            self.handle_message(self.me, message);
        }
        std::mem::take(&mut self.out.effects)
    }

    /// Returns this box's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.me
    }

    /// Returns this box's membership entry, with which it introduces itself to others.
    pub fn entry(&self) -> &Entry {
        self.members.my_entry()
    }

    /// Returns the configuration in force.
    pub fn site(&self) -> &Arc<Versioned> {
        self.config.current()
    }

    /// Returns whether the box accepts requests: it is neither shutting down nor cut off, and has a
    /// configuration.
    pub fn is_ready(&self) -> bool {
        self.closed_reason().is_none() && self.config.current().version > 0
    }

    /// Returns the number of requests in progress here.
    pub fn in_progress(&self) -> usize {
        self.front.in_progress()
    }

    /// Ranks the boxes for a caller, those of its data centre first.
    pub fn addresses(&self, caller: &str, data_centre: Option<&str>) -> address::Answer {
        address::answer(&self.members, caller, data_centre.map(DataCentreId::of))
    }

    /// Dispatches an event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Arrive { call, arrival } => {
                let closed = self.closed_reason();
                self.with_front(|front, cx| front.handle_arrival(cx, call, *arrival, closed));
            }
            Event::Gone(call) => self.with_front(|front, cx| front.handle_disconnect(cx, call)),
            Event::Upstream { ticket, reply } => {
                self.with_front(|front, cx| front.handle_reply(cx, ticket, reply));
            }
            Event::Polled { engine, report } => {
                if let Some(report) = &report {
                    self.with_orders(|orders, cx| orders.report(cx, engine, report));
                }
                self.for_each_pool(|pool, cx| pool.report(cx, engine, report.clone()));
            }
            Event::Peer { from, message } => {
                self.config.record_peer_contact(self.now);
                self.handle_message(from, *message);
            }
            Event::Unreachable(incarnation) => {
                if self.members.mark_unreachable(incarnation) {
                    let note = format!("box {incarnation} can't be reached");
                    self.out.effects.push(Effect::Note(note));
                    self.update_owners();
                }
            }
            Event::Seen(entry) => {
                self.config.record_peer_contact(self.now);
                let (new, is_new) = (entry.incarnation, self.members.is_dead(entry.incarnation));
                self.add_entries(vec![entry]);
                if is_new {
                    // A box that has just started receives the entries of all others at once.
                    let known = self.members.alive().cloned().collect();
                    self.send(new, Message::Entries(known));
                }
            }
            Event::Listed(listed) => self.listed = listed,
            Event::Site(offered) => {
                self.config.record_store_state(self.now, true);
                self.apply_config(&offered);
            }
            Event::Store { number, answer } => {
                let reachable = answer != store::Answer::Away;
                self.config.record_store_state(self.now, reachable);
                self.with_front(|front, cx| front.handle_store_answer(cx, number, &answer));
                self.with_orders(|orders, cx| orders.answer(cx, number, &answer));
            }
            Event::StoreReachable(reachable) => self.config.record_store_state(self.now, reachable),
            Event::Leave => self.begin_shutdown(),
        }
    }

    /// Handles a message from another box or from this one.
    fn handle_message(&mut self, from: Incarnation, message: Message) {
        match message {
            Message::Gossip { beats, site_version } => {
                self.handle_gossip(from, &beats, site_version)
            }
            Message::EntriesWanted(wanted) => {
                let known = wanted.iter().filter_map(|&it| self.members.entry(it)).cloned();
                let entries = known.collect();
                self.send(from, Message::Entries(entries));
            }
            Message::Entries(entries) => self.add_entries(entries),
            Message::Site(offered) => self.apply_config(&offered),
            Message::SiteWanted => {
                let current = self.config.current().clone();
                if current.version > 0 {
                    self.send(from, Message::Site(current));
                }
            }
            Message::Ask(ask) => {
                let (shard, ticket) = (ask.shard, ask.ticket);
                if self.pools.contains_key(&shard) {
                    self.with_pool(shard, |pool, cx| pool.handle_ask(cx, ask));
                    return;
                }
                let refusal = crate::outcome::Refusal::Leaving;
                let retry_after = Duration::ZERO;
                // This box does not own the shard in its own view. The front retries once its view
                // has changed too; an immediate refusal would only cause an immediate retry.
                if self.shutdown.is_some() {
                    self.send(from, Message::Refused { ticket, refusal, retry_after });
                }
            }
            Message::Granted(grant) => self.with_front(|front, cx| front.granted(cx, from, grant)),
            Message::Refused { ticket, refusal, retry_after } => {
                self.with_front(|front, cx| front.refused(cx, ticket, refusal, retry_after));
            }
            Message::Renew { shard, held } => {
                self.with_pool(shard, |pool, cx| pool.renew(cx, from, held));
            }
            Message::DeclareWanted(shard) => {
                self.with_front(|front, cx| front.declare(cx, from, shard));
            }
            Message::Declare { shard, held } => {
                self.with_pool(shard, |pool, cx| pool.declare(cx, from, held));
            }
            Message::Progress { shard, ticket, stage } => {
                self.with_pool(shard, |pool, cx| pool.progress(cx, ticket, stage));
            }
            Message::Release { shard, ticket, end } => {
                self.with_pool(shard, |pool, cx| pool.release(cx, ticket, end));
            }
            Message::Fenced(ticket) => self.with_front(|front, cx| front.fenced(cx, ticket)),
            Message::Handover(handover) => {
                self.front.home.accept_handover(self.now, *handover);
                self.send(from, Message::HandoverTaken);
            }
            Message::HandoverTaken => self.handover_taken(from),
        }
    }

    /// Runs the periodic work: gossip, ownership, ledgers, requests, orders and shutdown.
    fn tick(&mut self) {
        let now = self.now;
        if self.last_gossip.is_none_or(|at| now.since(at) >= self.gossip_interval()) {
            self.last_gossip = Some(now);
            self.run_heartbeat();
        }
        self.update_owners();
        self.for_each_pool(Pool::tick);
        self.with_front(Front::tick);
        let first = self.config.is_first(self.me, &self.members) && self.shutdown.is_none();
        self.with_orders(|orders, cx| orders.tick(cx, first));
        self.continue_shutdown();
    }

    /// Applies a configuration if it is newer than the current one, and forwards it to up to
    /// [`CONFIG_FANOUT`] boxes.
    fn apply_config(&mut self, offered: &Arc<Versioned>) {
        if !self.config.accept_newer(self.now, offered) {
            return;
        }
        let mut layout = Layout::new(&offered.site);
        layout.keep_addresses(&self.layout);
        self.layout = layout;
        for pool in self.pools.values_mut() {
            pool.configure(&offered.site, &self.layout);
        }
        self.front.set_limits(self.now, &offered.site);
        self.update_owners();
        let note = format!("version {} of site {} is in force", offered.version, offered.site.name);
        self.out.effects.push(Effect::Note(note));
        let peers: Vec<Incarnation> = self
            .members
            .alive()
            .filter(|it| it.incarnation != self.me)
            .map(|it| it.incarnation)
            .take(CONFIG_FANOUT)
            .collect();
        for to in peers {
            self.send(to, Message::Site(offered.clone()));
        }
    }

    /// Recomputes the owners of the shards if members or site have changed.
    fn update_owners(&mut self) {
        let of = (self.members.revision(), self.config.current().version);
        if self.owners_version == Some(of) {
            return;
        }
        self.owners_version = Some(of);
        let mut candidates: Vec<u64> = self.members.live().map(|it| it.incarnation.0).collect();
        if candidates.is_empty() {
            // All boxes are shutting down: one of them must own the shard until it exits.
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
            self.with_pool(shard, Pool::return_queue);
            self.pools.remove(&shard);
        }
        for (&shard, &owner) in &self.owners {
            if owner == self.me && !self.pools.contains_key(&shard) {
                self.pools.insert(shard, Pool::new(self.now, shard, &site.site, &self.layout));
            }
        }
    }

    /// Extends the timeouts of boxes, engines and the store by a time in which this box handled no
    /// events: what they sent meanwhile is still to be read.
    fn extend_timeouts(&mut self, gap: Duration) {
        self.members.extend_timeouts(gap);
        self.config.extend_timeouts(gap);
        self.front.extend_timeouts(gap);
        self.pools.values_mut().for_each(|it| it.extend_timeouts(gap));
    }

    /// Recovers after this box was paused: other boxes may have taken over its shards and revoked
    /// its grants.
    fn recover_from_pause(&mut self, gap: Duration) {
        let millis = gap.as_millis();
        self.out.effects.push(Effect::Note(format!("this box was paused for {millis} ms")));
        // Another box may have owned the shards in the meantime, so the ledgers are rebuilt.
        self.pools.clear();
        self.owners_version = None;
        self.with_front(Front::recover_from_pause);
    }

    /// Returns why this box accepts no new requests, or `None` if it accepts them.
    fn closed_reason(&self) -> Option<&'static str> {
        if self.shutdown.is_some() {
            return Some("the box is leaving");
        }
        let isolated = self.config.isolated(self.now, self.members.had_peers());
        isolated.then_some("the box is cut off from the platform and from every other box")
    }

    /// Sends a message to a box.
    fn send(&mut self, to: Incarnation, message: Message) {
        self.with_front(|_, cx| cx.send(to, message));
    }

    /// Runs a step of the front with a [`Context`].
    fn with_front(&mut self, step: impl FnOnce(&mut Front, &mut Context<'_>)) {
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

    /// Runs a step of the part that sends orders to engines.
    fn with_orders(&mut self, step: impl FnOnce(&mut Orders, &mut Context<'_>)) {
        let now = self.now;
        let data_centre = self.members.my_data_centre();
        let mut orders =
            std::mem::replace(&mut self.orders, Orders::new(now, data_centre, self.me));
        self.with_front(|_, cx| step(&mut orders, cx));
        self.orders = orders;
    }

    /// Runs a step of a shard's ledger, if this box owns the shard.
    fn with_pool(&mut self, shard: ShardId, step: impl FnOnce(&mut Pool, &mut Context<'_>)) {
        let Some(mut pool) = self.pools.remove(&shard) else { return };
        self.with_front(|_, cx| step(&mut pool, cx));
        self.pools.insert(shard, pool);
    }

    /// Runs a step of each ledger that this box owns.
    fn for_each_pool(&mut self, mut step: impl FnMut(&mut Pool, &mut Context<'_>)) {
        let shards: Vec<ShardId> = self.pools.keys().copied().collect();
        for shard in shards {
            self.with_pool(shard, &mut step);
        }
    }
}

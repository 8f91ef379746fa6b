//! The other nodes: who lives, and which of them clients may use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::{Demand, Knowledge, Message, Spending, Standing, ZoneKey};

/// How often a node tells the others that it lives, up to [`SMALL`] nodes.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(350);

/// The number of nodes beyond which heartbeats come less often, so that each node's part of them
/// stays the same.
const SMALL: usize = 100;

/// The silence after which a node is taken for dead, in heartbeats.
const DEAD_AFTER_BEATS: f64 = 3.6;

/// How long a silent node is still greeted.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The nodes of a zone from which on one of them passes on what nodes of other zones tell: below,
/// too much is lost with it until its death is noticed.
const LEAST_RELAYED: usize = 6;

/// How often nodes that have not answered are greeted.
const GREET_EVERY: Duration = Duration::from_millis(1000);

/// How often the seeds are greeted while no node was ever heard: all nodes may start at once, in any
/// order, and until this one hears the first it takes every duty for its own.
const SEEK_EVERY: Duration = Duration::from_millis(100);

/// For how long that goes on. On the users' sites all nodes start within 0.3 s of each other.
const SEEK_FOR: Duration = Duration::from_millis(1000);

/// One other node.
#[derive(Debug, Clone)]
struct Peer {
    /// The number of its life.
    incarnation: u64,
    /// The highest sequence heard in this life.
    sequence: u64,
    /// Where it listens for clients.
    front: SocketAddr,
    /// Its zone.
    zone: ZoneKey,
    /// Whether it takes requests.
    standing: Standing,
    /// What it knows of the store.
    knowledge: Knowledge,
    /// What it has spent of each service's budget.
    spending: Vec<(u64, Spending)>,
    /// What clients ask of it, by service.
    demand: Vec<(u64, Demand)>,
    /// When it was last heard.
    heard: Time,
    /// Whether its silence was noted.
    is_silent: bool,
}

/// Whom a datagram goes to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// The nodes that it is sent to and no further.
    pub direct: Vec<SocketAddr>,
    /// The nodes that pass it on to the others of their zones.
    pub relays: Vec<SocketAddr>,
}

/// Gives a node's number in orders that are the same on all nodes.
pub fn number(node: &SocketAddr) -> u64 {
    xxh3_64(node.to_string().as_bytes())
}

/// What a datagram told about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// An older datagram that came late; it is ignored.
    Stale,
    /// A node that was not known or was taken for dead.
    New,
    /// A living node.
    Known,
}

/// All other nodes.
#[derive(Debug, Clone, Default)]
pub struct Members {
    /// The nodes heard, by where they listen.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Nodes named by the settings or by others, and not heard yet.
    greeted: BTreeSet<SocketAddr>,
    /// When greetings were last sent.
    last_greeting: Option<Time>,
    /// When the first greetings were sent.
    first_greeting: Option<Time>,
    /// When a node was last heard that was not known before.
    last_joined: Option<Time>,
    /// The most nodes that lived at once, this one included.
    most: usize,
}

impl Members {
    /// Gives how often this node tells the others that it lives.
    pub fn heartbeat_every(&self) -> Duration {
        let share = self.most.max(SMALL) as f64 / SMALL as f64;
        HEARTBEAT_EVERY.mul_f64(share)
    }

    /// Gives the silence after which a node is taken for dead.
    fn dead_after(&self) -> Duration {
        self.heartbeat_every().mul_f64(DEAD_AFTER_BEATS)
    }

    /// Adds nodes to greet.
    pub fn introduce(&mut self, own: SocketAddr, nodes: impl IntoIterator<Item = SocketAddr>) {
        for node in nodes {
            if node != own && !self.peers.contains_key(&node) {
                self.greeted.insert(node);
            }
        }
    }

    /// Takes in a datagram.
    pub fn hear(&mut self, message: &Message, now: Time) -> Hearing {
        self.greeted.remove(&message.sender);
        let old = self.peers.get(&message.sender);
        let same_life = old.is_some_and(|it| it.incarnation == message.incarnation);
        if same_life && old.is_some_and(|it| it.sequence >= message.sequence) {
            return Hearing::Stale;
        }
        let is_known = old.is_some_and(|it| !it.is_silent);
        let told = message.is_whole.then(|| message.spending.clone());
        let spending = told.or_else(|| old.map(|it| it.spending.clone())).unwrap_or_default();
        let told = message.is_whole.then(|| message.demand.clone());
        let demand = told.or_else(|| old.map(|it| it.demand.clone())).unwrap_or_default();
        let peer = Peer {
            incarnation: message.incarnation,
            sequence: message.sequence,
            front: message.front,
            zone: message.zone,
            standing: message.standing,
            knowledge: message.knowledge,
            spending,
            demand,
            heard: now,
            is_silent: false,
        };
        self.peers.insert(message.sender, peer);
        if is_known {
            return Hearing::Known;
        }
        self.most = self.most.max(self.count(now));
        self.last_joined = Some(now);
        Hearing::New
    }

    /// Gives the nodes that have just been found silent, and forgets those silent for long.
    pub fn sweep(&mut self, now: Time) -> Vec<SocketAddr> {
        self.peers.retain(|_, it| now.since(it.heard) < FORGOTTEN_AFTER);
        let mut silent = Vec::new();
        let dead_after = self.dead_after();
        for (&address, peer) in &mut self.peers {
            if !peer.is_silent && now.since(peer.heard) > dead_after {
                peer.is_silent = true;
                silent.push(address);
            }
        }
        silent
    }

    /// Gives the living nodes.
    pub fn alive(&self) -> Vec<SocketAddr> {
        self.peers.iter().filter(|(_, it)| !it.is_silent).map(|(&address, _)| address).collect()
    }

    /// Gives the living nodes of a zone.
    pub fn alive_in(&self, zone: ZoneKey) -> Vec<SocketAddr> {
        let alive = self.peers.iter().filter(|(_, it)| !it.is_silent && it.zone == zone);
        alive.map(|(&address, _)| address).collect()
    }

    /// Gives whom a datagram to all living nodes goes to: those of the own zone and of small ones,
    /// and one of each larger zone, chosen by a subject.
    pub fn audience(&self, own: ZoneKey, subject: u64) -> Audience {
        let mut zones: BTreeMap<ZoneKey, Vec<SocketAddr>> = BTreeMap::new();
        for (&address, peer) in self.peers.iter().filter(|(_, it)| !it.is_silent) {
            zones.entry(peer.zone).or_default().push(address);
        }
        let mut audience = Audience::default();
        for (zone, mut nodes) in zones {
            if zone == own || nodes.len() < LEAST_RELAYED {
                audience.direct.extend(nodes);
                continue;
            }
            rank::order(subject, &mut nodes, number);
            audience.relays.extend(nodes.first());
        }
        audience
    }

    /// Gives the nodes that are greeted now, now and then: those that are silent, and those that
    /// have not been heard yet.
    pub fn greeting(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut audience = Vec::new();
        let pause = if self.seeks(now) { SEEK_EVERY } else { GREET_EVERY };
        if self.last_greeting.is_none_or(|it| now.since(it) >= pause) {
            self.last_greeting = Some(now);
            self.first_greeting.get_or_insert(now);
            audience.extend(self.peers.iter().filter(|(_, it)| it.is_silent).map(|(&it, _)| it));
            audience.extend(self.greeted.iter().copied());
        }
        audience
    }

    /// Tells whether no node was ever heard, and the seeds are still asked often.
    fn seeks(&self, now: Time) -> bool {
        let is_early = self.first_greeting.is_none_or(|it| now.since(it) < SEEK_FOR);
        is_early && self.peers.is_empty() && !self.greeted.is_empty()
    }

    /// Gives when the seeds are to be greeted again, while no node was ever heard.
    pub fn next_greeting(&self, now: Time) -> Option<Time> {
        let last = self.last_greeting.filter(|_| self.seeks(now))?;
        Some(last + SEEK_EVERY)
    }

    /// Tells whether all nodes that this one knows of were heard, and the last of them some time
    /// ago: others then have the same picture of who lives.
    pub fn is_settled(&self, now: Time, quiet_for: Duration) -> bool {
        let is_quiet = self.last_joined.is_none_or(|it| now.since(it) >= quiet_for);
        self.greeted.is_empty() && is_quiet
    }

    /// Gives where clients may connect besides this node.
    ///
    /// If most nodes fell silent, it is as likely that this node was cut off; all are then named,
    /// since clients pass over addresses that fail.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let serving = |it: &&Peer| it.standing == Standing::Ready;
        let alive: Vec<_> =
            self.peers.values().filter(serving).filter(|it| !it.is_silent).collect();
        let all: Vec<_> = self.peers.values().filter(serving).collect();
        let chosen = if alive.len() * 2 < all.len() { all } else { alive };
        chosen.into_iter().map(|it| it.front).collect()
    }

    /// Tells whether this node is among those that follow the store: the first `count` of the living
    /// nodes in an order that is the same on all nodes. Those that get no answers follow too and
    /// are not counted; `most` bounds all together.
    pub fn is_follower(&self, own: SocketAddr, count: usize, most: usize) -> bool {
        let mut order = self.alive();
        order.push(own);
        rank::order(0, &mut order, number);
        let before: Vec<_> = order.iter().take(most).take_while(|it| **it != own).collect();
        let is_blind = |it: &SocketAddr| self.peers.get(it).is_some_and(|it| it.knowledge.is_blind);
        let answered = before.iter().filter(|it| !is_blind(it)).count();
        before.len() < most && answered < count
    }

    /// Tells whether this node comes first of the living ones that serve and have the store's
    /// answers, in the order in which they follow it: it is the one to give orders.
    pub fn is_first(&self, own: SocketAddr) -> bool {
        let able = |it: &SocketAddr| {
            *it == own
                || self
                    .peers
                    .get(it)
                    .is_some_and(|it| it.standing == Standing::Ready && !it.knowledge.is_blind)
        };
        let mut order = self.alive();
        order.push(own);
        rank::order(0, &mut order, number);
        order.into_iter().find(able) == Some(own)
    }

    /// Gives what clients ask of a service at the living nodes beside this one.
    pub fn demand(&self, service: u64) -> Demand {
        let alive = self.peers.values().filter(|it| !it.is_silent);
        let told = alive.flat_map(|it| &it.demand).filter(|it| it.0 == service);
        told.fold(Demand::default(), |sum, (_, it)| sum.plus(*it))
    }

    /// Gives what all living nodes have spent of a service's budget; none if fewer than half of
    /// those that have lived are heard.
    pub fn spending(&self, service: u64) -> Option<Spending> {
        let alive: Vec<_> = self.peers.values().filter(|it| !it.is_silent).collect();
        if (alive.len() + 1) * 2 < self.most {
            return None;
        }
        let told = alive.iter().flat_map(|it| &it.spending).filter(|it| it.0 == service);
        Some(told.fold(Spending::default(), |sum, (_, it)| Spending {
            requests: sum.requests.saturating_add(it.requests),
            repeats: sum.repeats.saturating_add(it.repeats),
        }))
    }

    /// Gives the newest that any living node knows.
    pub fn newest(&self) -> Knowledge {
        let alive = self.peers.values().filter(|it| !it.is_silent);
        alive.fold(Knowledge::default(), |newest, peer| Knowledge {
            version: newest.version.max(peer.knowledge.version),
            revision: newest.revision.max(peer.knowledge.revision),
            is_blind: newest.is_blind && peer.knowledge.is_blind,
        })
    }

    /// Gives how many nodes live, this one included.
    pub fn count(&self, now: Time) -> usize {
        let dead_after = self.dead_after();
        1 + self.peers.values().filter(|it| now.since(it.heard) <= dead_after).count()
    }

    /// Gives the most nodes that have lived at once, this one included.
    pub fn most(&self) -> usize {
        self.most.max(1)
    }
}

//! The other nodes: who lives, and which of them clients may use.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::cadence::{Cadence, SMALL};
use crate::message::{Demand, Knowledge, Message, Spending, Standing, ZoneKey};

/// How long a silent node is still greeted.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The nodes of a zone from which on one of them passes on what nodes of other zones tell: below,
/// too much is lost with it until its death is noticed.
const LEAST_RELAYED: usize = 6;

/// The nodes of the own data centre that take requests from which on clients are told of these
/// alone, in deployments of more than [`SMALL`] nodes: a few may be dead and not noticed yet.
const LEAST_NEAR_FRONTS: usize = 8;

/// How often nodes that have not answered are greeted.
const GREET_EVERY: Duration = Duration::from_millis(1000);

/// How often the seeds are greeted while no node was ever heard: all nodes may start at once, in any
/// order, and until this one hears the first it takes every duty for its own.
const SEEK_EVERY: Duration = Duration::from_millis(100);

/// For how long that goes on. On the users' sites all nodes start within 0.3 s of each other.
const SEEK_FOR: Duration = Duration::from_millis(1000);

/// The time in which names of nodes gather that were never greeted. Until a node has heard most of
/// the others it takes duties for its own that are theirs: 295 nodes that started at once and knew
/// three others at their second heartbeat all followed the store (`docs/SCALE.md`).
const GREET_NEW_AFTER: Duration = Duration::from_millis(50);

/// One other node.
#[derive(Debug, Clone)]
struct Peer {
    /// The number of its life.
    incarnation: u64,
    /// The highest sequence heard in this life.
    sequence: u64,
    /// Its number in orders that are the same on all nodes.
    number: u64,
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
    /// How often its heartbeats come.
    cadence: Cadence,
    /// When it was last heard.
    heard: Time,
    /// Whether its silence was noted.
    is_silent: bool,
}

impl Peer {
    /// Makes a node that is just heard for the first time.
    fn new(message: &Message, cadence: Cadence) -> Peer {
        Peer {
            incarnation: message.incarnation,
            sequence: 0,
            number: number(&message.sender),
            front: message.front,
            zone: message.zone,
            standing: message.standing,
            knowledge: message.knowledge,
            spending: Vec::new(),
            demand: Vec::new(),
            cadence,
            heard: Time::ZERO,
            is_silent: true,
        }
    }

    /// Takes what it tells of itself.
    fn take(&mut self, message: &Message, now: Time) {
        self.incarnation = message.incarnation;
        self.sequence = message.sequence;
        self.front = message.front;
        self.zone = message.zone;
        self.standing = message.standing;
        self.knowledge = message.knowledge;
        self.cadence = message.cadence.unwrap_or(self.cadence);
        if message.is_whole {
            self.spending.clone_from(&message.spending);
            self.demand.clone_from(&message.demand);
        }
        self.heard = now;
        self.is_silent = false;
    }

    /// Gives the silence after which it is taken for dead by a node of a zone.
    fn dead_after(&self, own: ZoneKey) -> Duration {
        self.cadence.dead_after(self.zone == own)
    }
}

/// How far a datagram goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reach {
    /// To all nodes.
    All,
    /// To the nodes of the own zone and of these.
    Zones(BTreeSet<ZoneKey>),
}

impl Reach {
    /// Tells whether it includes another zone than the own.
    fn includes(&self, zone: ZoneKey) -> bool {
        match self {
            Reach::All => true,
            Reach::Zones(zones) => zones.contains(&zone),
        }
    }
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
#[derive(Debug, Clone)]
pub struct Members {
    /// The zone of this node.
    own: ZoneKey,
    /// The nodes heard, by where they listen.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Nodes named by the settings or by others, and not heard yet, and whether they were greeted.
    greeted: BTreeMap<SocketAddr, bool>,
    /// Since when some of them were not greeted.
    fresh_since: Option<Time>,
    /// When greetings were last sent.
    last_greeting: Option<Time>,
    /// When the first greetings were sent.
    first_greeting: Option<Time>,
    /// When a node was last heard that was not known before.
    last_joined: Option<Time>,
    /// The most nodes that lived at once, this one included.
    most: usize,
    /// The same, of the own zone.
    most_near: usize,
}

impl Members {
    /// Makes the members as a node of a zone knows them that has heard nobody.
    pub fn new(own: ZoneKey) -> Members {
        Members {
            own,
            peers: BTreeMap::new(),
            greeted: BTreeMap::new(),
            fresh_since: None,
            last_greeting: None,
            first_greeting: None,
            last_joined: None,
            most: 1,
            most_near: 1,
        }
    }

    /// Gives how often this node tells the others that it lives. One that is wide has a duty for
    /// all of them.
    pub fn cadence(&self, is_wide: bool) -> Cadence {
        Cadence::of(self.most, self.most_near, is_wide)
    }

    /// Tells whether there are so many nodes that not all are told everything.
    pub fn is_large(&self) -> bool {
        self.most > SMALL
    }

    /// Gives how many nodes at most have heard at once what this node tells of an engine near by.
    pub fn most_told(&self) -> usize {
        if self.is_large() { self.most_near } else { self.most }
    }

    /// Adds nodes to greet.
    pub fn introduce(
        &mut self,
        own: SocketAddr,
        nodes: impl IntoIterator<Item = SocketAddr>,
        now: Time,
    ) {
        for node in nodes {
            let is_known = self.peers.contains_key(&node) || self.greeted.contains_key(&node);
            if node != own && !is_known {
                self.greeted.insert(node, false);
                self.fresh_since.get_or_insert(now);
            }
        }
    }

    /// Tells whether a node was greeted that has not been heard yet.
    pub fn was_greeted(&self, node: SocketAddr) -> bool {
        self.greeted.get(&node).is_some_and(|it| *it)
    }

    /// Takes in a datagram.
    pub fn hear(&mut self, message: &Message, now: Time) -> Hearing {
        self.greeted.remove(&message.sender);
        let cadence = self.cadence(false);
        let peer = self.peers.entry(message.sender).or_insert_with(|| Peer::new(message, cadence));
        let same_life = peer.incarnation == message.incarnation;
        if same_life && peer.sequence >= message.sequence {
            return Hearing::Stale;
        }
        let is_known = !peer.is_silent;
        peer.take(message, now);
        if is_known {
            return Hearing::Known;
        }
        self.most = self.most.max(self.count(now));
        self.most_near = self.most_near.max(1 + self.alive_in(self.own).len());
        self.last_joined = Some(now);
        Hearing::New
    }

    /// Gives the nodes that have just been found silent, and forgets those silent for long.
    pub fn sweep(&mut self, now: Time) -> Vec<SocketAddr> {
        self.peers.retain(|_, it| now.since(it.heard) < FORGOTTEN_AFTER);
        let mut silent = Vec::new();
        for (&address, peer) in &mut self.peers {
            if !peer.is_silent && now.since(peer.heard) > peer.dead_after(self.own) {
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

    /// Gives whom a datagram to living nodes goes to: those of the own zone and of small ones, and
    /// one of each larger zone that it reaches, chosen by a subject.
    pub fn audience(&self, reach: &Reach, subject: u64) -> Audience {
        let mut zones: BTreeMap<ZoneKey, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        for (&address, peer) in self.peers.iter().filter(|(_, it)| !it.is_silent) {
            if peer.zone == self.own || reach.includes(peer.zone) {
                zones.entry(peer.zone).or_default().push((address, peer.number));
            }
        }
        let mut audience = Audience::default();
        for (zone, nodes) in zones {
            if zone == self.own || nodes.len() < LEAST_RELAYED {
                audience.direct.extend(nodes.iter().map(|it| it.0));
                continue;
            }
            let first = rank::first(subject, nodes.iter().map(|it| it.1));
            let relay = nodes.iter().find(|it| Some(it.1) == first);
            audience.relays.extend(relay.map(|it| it.0));
        }
        audience
    }

    /// Gives the nodes that are greeted now: those never greeted, and now and then those that are
    /// silent or have not been heard yet.
    pub fn greeting(&mut self, now: Time) -> Vec<SocketAddr> {
        let mut audience = Vec::new();
        let pause = if self.seeks(now) { SEEK_EVERY } else { GREET_EVERY };
        let is_turn = self.last_greeting.is_none_or(|it| now.since(it) >= pause);
        if is_turn {
            self.last_greeting = Some(now);
            self.first_greeting.get_or_insert(now);
            audience.extend(self.peers.iter().filter(|(_, it)| it.is_silent).map(|(&it, _)| it));
        }
        for (&node, was_greeted) in &mut self.greeted {
            if is_turn || !*was_greeted {
                audience.push(node);
                *was_greeted = true;
            }
        }
        self.fresh_since = None;
        audience
    }

    /// Tells whether no node was ever heard, and the seeds are still asked often.
    fn seeks(&self, now: Time) -> bool {
        let is_early = self.first_greeting.is_none_or(|it| now.since(it) < SEEK_FOR);
        is_early && self.peers.is_empty() && !self.greeted.is_empty()
    }

    /// Gives when nodes are to be greeted before the next heartbeat: the seeds while no node was
    /// ever heard, and those never greeted.
    pub fn next_greeting(&self, now: Time) -> Option<Time> {
        let fresh = self.fresh_since.map(|it| it + GREET_NEW_AFTER);
        let last = self.last_greeting.filter(|_| self.seeks(now));
        [fresh, last.map(|it| it + SEEK_EVERY)].into_iter().flatten().min()
    }

    /// Tells whether all nodes that this one knows of were heard, and the last of them some time
    /// ago: others then have the same picture of who lives.
    pub fn is_settled(&self, now: Time, quiet_for: Duration) -> bool {
        let is_quiet = self.last_joined.is_none_or(|it| now.since(it) >= quiet_for);
        self.greeted.is_empty() && is_quiet
    }

    /// Gives where clients may connect besides this node. Of many nodes those of the own zone are
    /// named, which are the nearest to the clients that ask here and know the engines near by best.
    ///
    /// If most nodes fell silent, it is as likely that this node was cut off; all are then named,
    /// since clients pass over addresses that fail.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let serving = |it: &&Peer| it.standing == Standing::Ready;
        let all: Vec<_> = self.peers.values().filter(serving).collect();
        let alive: Vec<_> = all.iter().copied().filter(|it| !it.is_silent).collect();
        let near: Vec<_> = alive.iter().copied().filter(|it| it.zone == self.own).collect();
        let chosen = if self.is_large() && near.len() >= LEAST_NEAR_FRONTS {
            near
        } else if alive.len() * 2 < all.len() {
            all
        } else {
            alive
        };
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
        let lives = |it: &&Peer| now.since(it.heard) <= it.dead_after(self.own);
        1 + self.peers.values().filter(lives).count()
    }

    /// Gives the most nodes that have lived at once, this one included.
    pub fn most(&self) -> usize {
        self.most
    }
}

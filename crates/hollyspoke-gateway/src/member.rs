//! The other boxes: who lives, and which of them clients may use.

mod duty;
mod greeting;
mod peer;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hollyspoke::rank;
use hollyspoke::time::Time;
use xxhash_rust::xxh3::xxh3_64;

use crate::cadence::{Cadence, SMALL};
use crate::message::{DataCentreKey, Demand, Format, Knowledge, Message, Named, Standing};

use peer::Peer;

/// How long a silent box is still greeted.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The boxes of a data centre from which on one of them passes on what boxes of other data centres
/// tell: below, too much is lost with it until its death is noticed.
const LEAST_RELAYED: usize = 6;

/// The boxes of the own data centre that take requests from which on clients are told of these
/// alone, in deployments of more than [`SMALL`] boxes: a few may be dead and not noticed yet.
const LEAST_NEAR_FRONTS: usize = 8;

/// How far a datagram goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reach {
    /// To all boxes.
    All,
    /// To the boxes of the own data centre and of these.
    DataCentres(BTreeSet<DataCentreKey>),
}

impl Reach {
    /// Tells whether it includes another data centre than the own.
    fn includes(&self, data_centre: DataCentreKey) -> bool {
        match self {
            Reach::All => true,
            Reach::DataCentres(data_centres) => data_centres.contains(&data_centre),
        }
    }
}

/// Whom a datagram goes to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audience {
    /// The boxes that it is sent to and no further.
    pub direct: Vec<SocketAddr>,
    /// The boxes that pass it on to the others of their data centres.
    pub relays: Vec<SocketAddr>,
}

/// Where clients may connect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fronts {
    /// The addresses.
    pub fronts: Vec<SocketAddr>,
    /// Whether all of them lie in the data centres that were asked for.
    pub is_inside: bool,
}

/// Gives a box's number in orders that are the same on all boxes.
pub fn number(node: &SocketAddr) -> u64 {
    xxh3_64(node.to_string().as_bytes())
}

/// What a datagram told about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hearing {
    /// An older datagram that came late; it is ignored.
    Stale,
    /// A box that was not known or was taken for dead.
    New,
    /// A living box.
    Known,
}

/// All other boxes.
#[derive(Debug, Clone)]
pub struct Members {
    /// The data centre of this box.
    own: DataCentreKey,
    /// The boxes heard, by where they listen.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Boxes named by the settings or by others, and not heard yet, and when they were greeted.
    greeted: BTreeMap<SocketAddr, Option<Time>>,
    /// How many boxes of each data centre live.
    living_in: BTreeMap<DataCentreKey, usize>,
    /// Since when some of them were not greeted.
    fresh_since: Option<Time>,
    /// When greetings were last sent.
    last_greeting: Option<Time>,
    /// When the first greetings were sent.
    first_greeting: Option<Time>,
    /// When a box was last heard that was not known before.
    last_joined: Option<Time>,
    /// The most boxes that lived at once, this one included.
    most: usize,
    /// The same, of the own data centre.
    most_near: usize,
    /// The most boxes that others have told of, which may have heard some before this one started.
    most_by_others: usize,
}

impl Members {
    /// Makes the members as a box of a data centre knows them that has heard nobody.
    pub fn new(own: DataCentreKey) -> Members {
        Members {
            own,
            peers: BTreeMap::new(),
            greeted: BTreeMap::new(),
            living_in: BTreeMap::new(),
            fresh_since: None,
            last_greeting: None,
            first_greeting: None,
            last_joined: None,
            most: 1,
            most_near: 1,
            most_by_others: 1,
        }
    }

    /// Gives how often this box tells the others that it lives. One that is wide has a duty for
    /// all of them.
    pub fn cadence(&self, is_wide: bool) -> Cadence {
        Cadence::of(self.most, self.most_near, is_wide)
    }

    /// Tells whether there are so many boxes that not all are told everything.
    pub fn is_large(&self) -> bool {
        self.most > SMALL
    }

    /// Gives how many boxes at most have heard at once what this box tells of an engine near by.
    pub fn most_told(&self) -> usize {
        if self.is_large() { self.most_near } else { self.most }
    }

    /// Takes in a datagram.
    pub fn hear(&mut self, message: &Message, now: Time) -> Hearing {
        self.greeted.remove(&message.sender);
        let cadence = self.cadence(false);
        let peer = self
            .peers
            .entry(message.sender)
            .or_insert_with(|| Peer::new(message, cadence, self.own));
        let same_life = peer.incarnation == message.incarnation;
        if same_life && peer.sequence >= message.sequence {
            return Hearing::Stale;
        }
        let is_known = !peer.is_silent;
        peer.take(message, self.own, now);
        self.most_by_others = self.most_by_others.max(message.usage.boxes as usize);
        if is_known {
            return Hearing::Known;
        }
        self.most = self.most.max(self.count(now));
        self.most_near = self.most_near.max(1 + self.alive_in(self.own).len());
        self.last_joined = Some(now);
        *self.living_in.entry(message.data_centre).or_default() += 1;
        Hearing::New
    }

    /// Gives the boxes that have just been found silent, and forgets those silent for long.
    pub fn sweep(&mut self, now: Time) -> Vec<SocketAddr> {
        self.forget(now);
        let (near, far) = self.least_silence();
        let mut silent = Vec::new();
        for (&address, peer) in &mut self.peers {
            let least = if peer.data_centre == self.own { near } else { far };
            if !peer.is_silent && now.since(peer.heard) > peer.dead_after.max(least) {
                peer.is_silent = true;
                silent.push(address);
            }
        }
        self.count_living();
        silent
    }

    /// Counts the living boxes of each data centre.
    fn count_living(&mut self) {
        self.living_in.clear();
        for peer in self.peers.values().filter(|it| !it.is_silent) {
            *self.living_in.entry(peer.data_centre).or_default() += 1;
        }
    }

    /// Forgets boxes that are silent for long. Those that were stopped are not counted any more.
    fn forget(&mut self, now: Time) {
        let is_old = |it: &Peer| now.since(it.heard) >= FORGOTTEN_AFTER;
        let stopped = self.peers.values().filter(|it| is_old(it) && it.has_stopped()).count();
        self.peers.retain(|_, it| !is_old(it));
        self.most = self.most.saturating_sub(stopped).max(1);
        self.most_by_others = self.most_by_others.saturating_sub(stopped).max(1);
    }

    /// Gives the living boxes.
    pub fn alive(&self) -> Vec<SocketAddr> {
        self.peers.iter().filter(|(_, it)| !it.is_silent).map(|(&address, _)| address).collect()
    }

    /// Gives the living boxes as others are told of them.
    pub fn named(&self) -> Vec<Named> {
        let alive = self.peers.iter().filter(|(_, it)| !it.is_silent);
        alive.map(|(&address, peer)| Named { address, data_centre: peer.data_centre }).collect()
    }

    /// Gives the living boxes of a data centre.
    pub fn alive_in(&self, data_centre: DataCentreKey) -> Vec<SocketAddr> {
        let alive =
            self.peers.iter().filter(|(_, it)| !it.is_silent && it.data_centre == data_centre);
        alive.map(|(&address, _)| address).collect()
    }

    /// Gives whom a datagram to living boxes goes to: those of the own data centre and of small
    /// ones, and one of each larger data centre that it reaches, chosen by a subject.
    pub fn audience(&self, reach: &Reach, subject: u64) -> Audience {
        let mut data_centres: BTreeMap<DataCentreKey, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        for (&address, peer) in self.peers.iter().filter(|(_, it)| !it.is_silent) {
            if peer.data_centre == self.own || reach.includes(peer.data_centre) {
                data_centres.entry(peer.data_centre).or_default().push((address, peer.number));
            }
        }
        let mut audience = Audience::default();
        for (data_centre, nodes) in data_centres {
            if data_centre == self.own || nodes.len() < LEAST_RELAYED {
                audience.direct.extend(nodes.iter().map(|it| it.0));
                continue;
            }
            let first = rank::first(subject, nodes.iter().map(|it| it.1));
            let relay = nodes.iter().find(|it| Some(it.1) == first);
            audience.relays.extend(relay.map(|it| it.0));
        }
        audience
    }

    /// Tells whether all boxes that this one knows of were heard, and the last of them some time
    /// ago: others then have the same picture of who lives.
    pub fn is_settled(&self, now: Time, quiet_for: Duration) -> bool {
        let is_quiet = self.last_joined.is_none_or(|it| now.since(it) >= quiet_for);
        self.greeted.is_empty() && is_quiet
    }

    /// Gives where clients may connect besides this box. Of many boxes those of the own data centre
    /// are named, which are the nearest to the clients that ask here and know the engines near by
    /// best.
    ///
    /// If most boxes fell silent, it is as likely that this box was cut off; all are then named,
    /// since clients pass over addresses that fail.
    ///
    /// Boxes outside some data centres are named only if none inside takes requests; no data centre
    /// stands for all.
    pub fn fronts(&self, inside: &BTreeSet<DataCentreKey>) -> Fronts {
        let serving = |it: &&Peer| it.standing == Standing::Ready;
        let mut all: Vec<_> = self.peers.values().filter(serving).collect();
        let is_inside = |it: &&Peer| inside.contains(&it.data_centre);
        let has_inside = all.iter().any(|it| is_inside(it) && !it.is_silent);
        if has_inside || inside.contains(&self.own) {
            all.retain(is_inside);
        }
        let alive: Vec<_> = all.iter().copied().filter(|it| !it.is_silent).collect();
        let near: Vec<_> = alive.iter().copied().filter(|it| it.data_centre == self.own).collect();
        let chosen = if self.is_large() && near.len() >= LEAST_NEAR_FRONTS {
            near
        } else if alive.len() * 2 < all.len() {
            all
        } else {
            alive
        };
        let fronts = chosen.into_iter().map(|it| it.front).collect();
        Fronts { fronts, is_inside: has_inside }
    }

    /// Gives what clients ask of a service at the living boxes beside this one.
    pub fn demand(&self, service: u64) -> Demand {
        let alive = self.peers.values().filter(|it| !it.is_silent);
        let told = alive.flat_map(|it| &it.demand).filter(|it| it.0 == service);
        told.fold(Demand::default(), |sum, (_, it)| sum.plus(*it))
    }

    /// Gives how many boxes were heard when their heartbeats were due, or a little later: sooner
    /// than a box is taken for dead, since what it does unheard counts.
    pub fn punctual(&self, now: Time) -> usize {
        let is_punctual = |it: &&Peer| now.since(it.heard) <= it.due_after(self.own);
        self.peers.values().filter(is_punctual).count()
    }

    /// Gives the most boxes that lived at once, as this one and the others have heard, without those
    /// that were stopped in order and have not come back; none if nobody was ever heard although
    /// some are named. Others that are silent may have been cut off and go on serving.
    pub fn most_serving(&self) -> Option<usize> {
        let stopped = self.peers.values().filter(|it| it.has_stopped()).count();
        let most = self.most.max(self.most_by_others);
        (!self.is_seeking()).then_some(most.saturating_sub(stopped).max(1))
    }

    /// Tells whether a box has been heard from an IP address.
    pub fn knows_ip(&self, ip: IpAddr) -> bool {
        self.peers.keys().any(|it| it.ip() == ip)
    }

    /// Tells whether no box was ever heard although some are named.
    fn is_seeking(&self) -> bool {
        self.peers.is_empty() && !self.greeted.is_empty()
    }

    /// Gives the newest that any living box knows.
    pub fn newest(&self) -> Knowledge {
        let alive = self.peers.values().filter(|it| !it.is_silent);
        alive.fold(Knowledge::default(), |newest, peer| Knowledge {
            version: newest.version.max(peer.knowledge.version),
            revision: newest.revision.max(peer.knowledge.revision),
            is_blind: newest.is_blind && peer.knowledge.is_blind,
        })
    }

    /// Gives the silence of boxes near by and elsewhere after which none is taken for dead sooner,
    /// whatever cadence it has told: one that has just learnt that there are many boxes beats more
    /// seldom from then on, and its next heartbeat is the first to tell so.
    fn least_silence(&self) -> (Duration, Duration) {
        let cadence = self.cadence(false);
        match self.is_large() {
            true => (cadence.dead_after(true), cadence.dead_after(false)),
            false => (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Gives what a box can read of datagrams.
    pub fn format(&self, node: SocketAddr) -> Format {
        self.peers.get(&node).map_or(Format::First, |it| it.format)
    }

    /// Gives how many boxes live, this one included.
    pub fn count(&self, now: Time) -> usize {
        let (near, far) = self.least_silence();
        let lives = |it: &&Peer| {
            let least = if it.data_centre == self.own { near } else { far };
            now.since(it.heard) <= it.dead_after.max(least)
        };
        1 + self.peers.values().filter(lives).count()
    }

    /// Gives the most boxes that have lived at once, this one included.
    pub fn most(&self) -> usize {
        self.most
    }
}

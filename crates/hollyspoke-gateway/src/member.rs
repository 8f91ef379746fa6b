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

use crate::cadence::{ALL_TO_ALL_MAX_BOXES, Cadence};
use crate::message::{DataCentreKey, Demand, Format, Message, PeerAddress, Readiness, StoreView};

use peer::Peer;

/// How long a silent box is still greeted.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The boxes of a data centre from which on one of them passes on what boxes of other data centres
/// tell: below, too much is lost with it until its death is noticed.
const MIN_RELAYED_BOXES: usize = 6;

/// The boxes of the own data centre that take requests from which on clients are told of these
/// alone, in deployments of more than [`ALL_TO_ALL_MAX_BOXES`] boxes: a few may be dead and not noticed yet.
const MIN_LOCAL_FRONTS: usize = 8;

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
pub struct Recipients {
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
pub fn address_hash(node: &SocketAddr) -> u64 {
    xxh3_64(node.to_string().as_bytes())
}

/// What a datagram told about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
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
    unheard: BTreeMap<SocketAddr, Option<Time>>,
    /// How many boxes of each data centre live.
    alive_counts: BTreeMap<DataCentreKey, usize>,
    /// Since when some of them were not greeted.
    ungreeted_since: Option<Time>,
    /// When greetings were last sent.
    last_greeting: Option<Time>,
    /// When the first greetings were sent.
    first_greeting: Option<Time>,
    /// When a box was last heard that was not known before.
    last_joined: Option<Time>,
    /// The most boxes that lived at once, this one included.
    peak_count: usize,
    /// The same, of the own data centre.
    local_peak_count: usize,
    /// The most boxes that others have told of, which may have heard some before this one started.
    reported_peak_count: usize,
}

impl Members {
    /// Makes the members as a box of a data centre knows them that has heard nobody.
    pub fn new(own: DataCentreKey) -> Members {
        Members {
            own,
            peers: BTreeMap::new(),
            unheard: BTreeMap::new(),
            alive_counts: BTreeMap::new(),
            ungreeted_since: None,
            last_greeting: None,
            first_greeting: None,
            last_joined: None,
            peak_count: 1,
            local_peak_count: 1,
            reported_peak_count: 1,
        }
    }

    /// Gives how often this box tells the others that it lives. One that is wide has a duty for
    /// all of them.
    pub fn cadence(&self, has_global_duty: bool) -> Cadence {
        Cadence::of(self.peak_count, self.local_peak_count, has_global_duty)
    }

    /// Tells whether there are so many boxes that not all are told everything.
    pub fn is_large(&self) -> bool {
        self.peak_count > ALL_TO_ALL_MAX_BOXES
    }

    /// Gives how many boxes at most have heard at once what this box tells of an engine near by.
    pub fn max_receivers(&self) -> usize {
        if self.is_large() { self.local_peak_count } else { self.peak_count }
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, message: &Message, now: Time) -> Receipt {
        self.unheard.remove(&message.sender);
        let cadence = self.cadence(false);
        let peer = self
            .peers
            .entry(message.sender)
            .or_insert_with(|| Peer::new(message, cadence, self.own));
        let is_same_incarnation = peer.incarnation == message.incarnation;
        if is_same_incarnation && peer.sequence >= message.sequence {
            return Receipt::Stale;
        }
        let is_known = !peer.is_silent;
        peer.update(message, self.own, now);
        self.reported_peak_count = self.reported_peak_count.max(message.usage.peak_boxes as usize);
        if is_known {
            return Receipt::Known;
        }
        self.peak_count = self.peak_count.max(self.count(now));
        self.local_peak_count = self.local_peak_count.max(1 + self.alive_in(self.own).len());
        self.last_joined = Some(now);
        *self.alive_counts.entry(message.data_centre).or_default() += 1;
        Receipt::New
    }

    /// Gives the boxes that have just been found silent, and forgets those silent for long.
    pub fn sweep(&mut self, now: Time) -> Vec<SocketAddr> {
        self.forget(now);
        let (local, remote) = self.min_dead_after();
        let mut silent = Vec::new();
        for (&address, peer) in &mut self.peers {
            let minimum = if peer.data_centre == self.own { local } else { remote };
            if !peer.is_silent && now.since(peer.last_received) > peer.dead_after.max(minimum) {
                peer.is_silent = true;
                silent.push(address);
            }
        }
        self.count_alive();
        silent
    }

    /// Counts the living boxes of each data centre.
    fn count_alive(&mut self) {
        self.alive_counts.clear();
        for peer in self.peers.values().filter(|it| !it.is_silent) {
            *self.alive_counts.entry(peer.data_centre).or_default() += 1;
        }
    }

    /// Forgets boxes that are silent for long. Those that were stopped are not counted any more.
    fn forget(&mut self, now: Time) {
        let is_old = |it: &Peer| now.since(it.last_received) >= FORGET_AFTER;
        let stopped = self.peers.values().filter(|it| is_old(it) && it.has_stopped()).count();
        self.peers.retain(|_, it| !is_old(it));
        self.peak_count = self.peak_count.saturating_sub(stopped).max(1);
        self.reported_peak_count = self.reported_peak_count.saturating_sub(stopped).max(1);
    }

    /// Gives the living boxes.
    pub fn alive(&self) -> Vec<SocketAddr> {
        self.peers.iter().filter(|(_, it)| !it.is_silent).map(|(&address, _)| address).collect()
    }

    /// Gives the living boxes as others are told of them.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        let alive = self.peers.iter().filter(|(_, it)| !it.is_silent);
        alive
            .map(|(&address, peer)| PeerAddress { address, data_centre: peer.data_centre })
            .collect()
    }

    /// Gives the living boxes of a data centre.
    pub fn alive_in(&self, data_centre: DataCentreKey) -> Vec<SocketAddr> {
        let alive =
            self.peers.iter().filter(|(_, it)| !it.is_silent && it.data_centre == data_centre);
        alive.map(|(&address, _)| address).collect()
    }

    /// Gives whom a datagram to living boxes goes to: those of the own data centre and of small
    /// ones, and one of each larger data centre that it reaches, chosen by a subject.
    pub fn recipients(&self, reach: &Reach, subject: u64) -> Recipients {
        let mut data_centres: BTreeMap<DataCentreKey, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        for (&address, peer) in self.peers.iter().filter(|(_, it)| !it.is_silent) {
            if peer.data_centre == self.own || reach.includes(peer.data_centre) {
                data_centres
                    .entry(peer.data_centre)
                    .or_default()
                    .push((address, peer.address_hash));
            }
        }
        let mut audience = Recipients::default();
        for (data_centre, nodes) in data_centres {
            if data_centre == self.own || nodes.len() < MIN_RELAYED_BOXES {
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
        self.unheard.is_empty() && is_quiet
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
        let serving = |it: &&Peer| it.readiness == Readiness::Ready;
        let mut all: Vec<_> = self.peers.values().filter(serving).collect();
        let is_inside = |it: &&Peer| inside.contains(&it.data_centre);
        let has_inside = all.iter().any(|it| is_inside(it) && !it.is_silent);
        if has_inside || inside.contains(&self.own) {
            all.retain(is_inside);
        }
        let alive: Vec<_> = all.iter().copied().filter(|it| !it.is_silent).collect();
        let local: Vec<_> = alive.iter().copied().filter(|it| it.data_centre == self.own).collect();
        let chosen = if self.is_large() && local.len() >= MIN_LOCAL_FRONTS {
            local
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
    pub fn on_time_count(&self, now: Time) -> usize {
        let is_punctual = |it: &&Peer| now.since(it.last_received) <= it.overdue_after(self.own);
        self.peers.values().filter(is_punctual).count()
    }

    /// Gives the most boxes that lived at once, as this one and the others have heard, without those
    /// that were stopped in order and have not come back; none if nobody was ever heard although
    /// some are named. Others that are silent may have been cut off and go on serving.
    pub fn peak_serving(&self) -> Option<usize> {
        let stopped = self.peers.values().filter(|it| it.has_stopped()).count();
        let most = self.peak_count.max(self.reported_peak_count);
        (!self.has_heard_nobody()).then_some(most.saturating_sub(stopped).max(1))
    }

    /// Tells whether a box has been heard from an IP address.
    pub fn knows_ip(&self, ip: IpAddr) -> bool {
        self.peers.keys().any(|it| it.ip() == ip)
    }

    /// Tells whether no box was ever heard although some are named.
    fn has_heard_nobody(&self) -> bool {
        self.peers.is_empty() && !self.unheard.is_empty()
    }

    /// Gives the newest that any living box knows.
    pub fn newest_store_view(&self) -> StoreView {
        let alive = self.peers.values().filter(|it| !it.is_silent);
        alive.fold(StoreView::default(), |newest, peer| StoreView {
            version: newest.version.max(peer.store_view.version),
            revision: newest.revision.max(peer.store_view.revision),
            has_lost_store: newest.has_lost_store && peer.store_view.has_lost_store,
        })
    }

    /// Gives the silence of boxes near by and elsewhere after which none is taken for dead sooner,
    /// whatever cadence it has told: one that has just learnt that there are many boxes beats more
    /// seldom from then on, and its next heartbeat is the first to tell so.
    fn min_dead_after(&self) -> (Duration, Duration) {
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
        let (local, remote) = self.min_dead_after();
        let lives = |it: &&Peer| {
            let minimum = if it.data_centre == self.own { local } else { remote };
            now.since(it.last_received) <= it.dead_after.max(minimum)
        };
        1 + self.peers.values().filter(lives).count()
    }

    /// Gives the most boxes that have lived at once, this one included.
    pub fn peak_count(&self) -> usize {
        self.peak_count
    }
}

//! The other boxes: which of them are alive, and which of them clients may use.

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
use crate::origin::StreamKey;

use peer::Peer;

/// The time for which a box that has timed out is still greeted.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The minimum number of boxes in a data centre for one of them to relay the datagrams of other
/// data centres. In smaller ones, too much is lost when it fails, until its failure is detected.
const MIN_RELAYED_BOXES: usize = 6;

/// The minimum number of ready boxes in the local data centre for clients to be sent the addresses
/// of these only, in deployments of more than [`ALL_TO_ALL_MAX_BOXES`] boxes. A few of them may be
/// dead without having been detected.
const MIN_LOCAL_FRONTS: usize = 8;

/// The set of boxes that a datagram is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reach {
    /// All boxes.
    All,
    /// The boxes of the local data centre and of these.
    DataCentres(BTreeSet<DataCentreKey>),
}

impl Reach {
    /// Returns whether it includes a remote data centre.
    fn includes(&self, data_centre: DataCentreKey) -> bool {
        match self {
            Reach::All => true,
            Reach::DataCentres(data_centres) => data_centres.contains(&data_centre),
        }
    }
}

/// The addresses that a datagram is sent to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recipients {
    /// The boxes that don't forward it.
    pub direct: Vec<SocketAddr>,
    /// The boxes that forward it to the others of their data centres.
    pub relays: Vec<SocketAddr>,
}

/// The addresses at which clients may connect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fronts {
    /// The addresses on which boxes serve clients.
    pub fronts: Vec<SocketAddr>,
    /// Whether all of them are in the requested data centres.
    pub is_inside: bool,
}

/// Returns a hash of a box's address, by which all boxes rank boxes in the same order.
pub fn address_hash(node: &SocketAddr) -> u64 {
    xxh3_64(node.to_string().as_bytes())
}

/// What a datagram shows about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// The datagram is older than one that was received before; it is ignored.
    Stale,
    /// The sender was unknown or counted as dead.
    New,
    /// The sender was known to be alive.
    Known,
}

/// The membership: all other boxes that this box knows of.
#[derive(Debug, Clone)]
pub struct Members {
    /// The data centre of this box.
    own: DataCentreKey,
    /// The boxes received from, by the address on which they receive datagrams.
    peers: BTreeMap<SocketAddr, Peer>,
    /// The boxes listed by the settings or by peers and not received from yet, with the time of
    /// their last greeting.
    pending_peers: BTreeMap<SocketAddr, Option<Time>>,
    /// The number of live boxes in each data centre.
    alive_counts: BTreeMap<DataCentreKey, usize>,
    /// The time since which some boxes have not been greeted at all.
    ungreeted_since: Option<Time>,
    /// The time of the last greetings.
    last_greeting: Option<Time>,
    /// The time of the first greetings.
    first_greeting: Option<Time>,
    /// The time when a new box was last received from.
    last_joined: Option<Time>,
    /// The peak number of live boxes, including this one.
    peak_count: usize,
    /// The peak number of live boxes in the local data centre.
    local_peak_count: usize,
    /// The highest peak that other boxes have reported. They may have received from some boxes
    /// before this one started.
    reported_peak_count: usize,
}

impl Members {
    /// Creates the membership of a box that has received from nobody.
    pub fn new(own: DataCentreKey) -> Members {
        Members {
            own,
            peers: BTreeMap::new(),
            pending_peers: BTreeMap::new(),
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

    /// Returns the intervals between this box's heartbeats. A box with a duty for all boxes sends
    /// to all more often.
    pub fn cadence(&self, has_global_duty: bool) -> Cadence {
        Cadence::of(self.peak_count, self.local_peak_count, has_global_duty)
    }

    /// Returns whether there are so many boxes that not everything is sent to all.
    pub fn is_large(&self) -> bool {
        self.peak_count > ALL_TO_ALL_MAX_BOXES
    }

    /// Returns whether there are so many boxes by the count of any box. A box that has just started
    /// learns the count of others before it has received from as many itself.
    pub fn expects_many(&self) -> bool {
        self.peak_count.max(self.reported_peak_count) > ALL_TO_ALL_MAX_BOXES
    }

    /// Returns whether another live box is ready.
    pub fn has_ready(&self) -> bool {
        let is_ready = |it: &Peer| !it.has_timed_out && it.readiness == Readiness::Ready;
        self.peers.values().any(is_ready)
    }

    /// Returns the maximum number of boxes that receive what this box announces about a local
    /// engine.
    pub fn max_receivers(&self) -> usize {
        if self.is_large() { self.local_peak_count } else { self.peak_count }
    }

    /// Records a datagram.
    pub fn receive(&mut self, message: &Message, now: Time) -> Receipt {
        self.pending_peers.remove(&message.sender);
        let cadence = self.cadence(false);
        let peer = self
            .peers
            .entry(message.sender)
            .or_insert_with(|| Peer::new(message, cadence, self.own));
        let is_same_incarnation = peer.incarnation == message.incarnation;
        if is_same_incarnation && peer.sequence >= message.sequence {
            return Receipt::Stale;
        }
        let is_known = !peer.has_timed_out;
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

    /// Extends the timeout of every live box by a time in which this box itself was paused.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for peer in self.peers.values_mut().filter(|it| !it.has_timed_out) {
            peer.last_received = peer.last_received + pause;
        }
    }

    /// Marks boxes that have timed out and returns them. Forgets those that timed out long ago.
    pub fn sweep(&mut self, now: Time) -> Vec<SocketAddr> {
        self.forget(now);
        let (local, remote) = self.min_dead_after();
        let mut timed_out = Vec::new();
        for (&address, peer) in &mut self.peers {
            let minimum = if peer.data_centre == self.own { local } else { remote };
            if !peer.has_timed_out && now.since(peer.last_received) > peer.dead_after.max(minimum) {
                peer.has_timed_out = true;
                timed_out.push(address);
            }
        }
        self.count_alive();
        timed_out
    }

    /// Counts the live boxes of each data centre.
    fn count_alive(&mut self) {
        self.alive_counts.clear();
        for peer in self.peers.values().filter(|it| !it.has_timed_out) {
            *self.alive_counts.entry(peer.data_centre).or_default() += 1;
        }
    }

    /// Forgets boxes that timed out long ago. Those that were shut down no longer count.
    fn forget(&mut self, now: Time) {
        let is_old = |it: &Peer| now.since(it.last_received) >= FORGET_AFTER;
        let stopped = self.peers.values().filter(|it| is_old(it) && it.has_stopped()).count();
        self.peers.retain(|_, it| !is_old(it));
        self.peak_count = self.peak_count.saturating_sub(stopped).max(1);
        self.reported_peak_count = self.reported_peak_count.saturating_sub(stopped).max(1);
    }

    /// Returns the live boxes.
    pub fn alive(&self) -> Vec<SocketAddr> {
        self.peers.iter().filter(|(_, it)| !it.has_timed_out).map(|(&address, _)| address).collect()
    }

    /// Returns the live boxes with their data centres, as listed in datagrams.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        let alive = self.peers.iter().filter(|(_, it)| !it.has_timed_out);
        alive
            .map(|(&address, peer)| PeerAddress { address, data_centre: peer.data_centre })
            .collect()
    }

    /// Returns the hashes of the addresses of the live boxes, or of those of the local data centre.
    pub fn alive_hashes(&self, is_local: bool) -> Vec<u64> {
        let is_included =
            |it: &&Peer| !it.has_timed_out && (!is_local || it.data_centre == self.own);
        self.peers.values().filter(is_included).map(|it| it.address_hash).collect()
    }

    /// Returns the live boxes of a data centre.
    pub fn alive_in(&self, data_centre: DataCentreKey) -> Vec<SocketAddr> {
        let alive =
            self.peers.iter().filter(|(_, it)| !it.has_timed_out && it.data_centre == data_centre);
        alive.map(|(&address, _)| address).collect()
    }

    /// Returns the recipients of a datagram to live boxes: all boxes of the local data centre and
    /// of small ones, and one box of each larger data centre in its reach. The subject determines
    /// which one.
    pub fn recipients(&self, reach: &Reach, subject: u64) -> Recipients {
        let mut data_centres: BTreeMap<DataCentreKey, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        for (&address, peer) in self.peers.iter().filter(|(_, it)| !it.has_timed_out) {
            if peer.data_centre == self.own || reach.includes(peer.data_centre) {
                data_centres
                    .entry(peer.data_centre)
                    .or_default()
                    .push((address, peer.address_hash));
            }
        }
        let mut recipients = Recipients::default();
        for (data_centre, nodes) in data_centres {
            if data_centre == self.own || nodes.len() < MIN_RELAYED_BOXES {
                recipients.direct.extend(nodes.iter().map(|it| it.0));
                continue;
            }
            let first = rank::first(subject, nodes.iter().map(|it| it.1));
            let relay = nodes.iter().find(|it| Some(it.1) == first);
            recipients.relays.extend(relay.map(|it| it.0));
        }
        recipients
    }

    /// Returns whether all boxes that this one knows of were received from, the last of them at
    /// least `quiet_for` ago. Other boxes then see the same membership.
    pub fn is_settled(&self, now: Time, quiet_for: Duration) -> bool {
        let is_quiet = self.last_joined.is_none_or(|it| now.since(it) >= quiet_for);
        self.pending_peers.is_empty() && is_quiet
    }

    /// Returns where clients may connect besides this box. In a large deployment, these are the
    /// boxes of the local data centre, which are nearest to the clients that ask here and know its
    /// engines best.
    ///
    /// If most boxes have timed out, it is as likely that this box was cut off. All are returned in
    /// that case, since clients skip addresses that fail.
    ///
    /// Boxes outside of the given data centres are returned only if no box inside accepts requests.
    /// An empty set stands for all data centres.
    pub fn fronts(&self, inside: &BTreeSet<DataCentreKey>) -> Fronts {
        let serving = |it: &&Peer| it.readiness == Readiness::Ready && !it.proxy.is_cut_off;
        let mut all: Vec<_> = self.peers.values().filter(serving).collect();
        let is_inside = |it: &&Peer| inside.contains(&it.data_centre);
        let has_inside = all.iter().any(|it| is_inside(it) && !it.has_timed_out);
        if has_inside || inside.contains(&self.own) {
            all.retain(is_inside);
        }
        let alive: Vec<_> = all.iter().copied().filter(|it| !it.has_timed_out).collect();
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

    /// Returns the addresses of the boxes that accept requests of other boxes for a service, inside
    /// of the given data centres; an empty set stands for all.
    ///
    /// These are the boxes of the local data centre, which are nearest, as long as they are at least
    /// as many as those that can't serve there. Otherwise the load is spread over all.
    pub fn proxies(&self, inside: &BTreeSet<DataCentreKey>, service: u64) -> Vec<SocketAddr> {
        let is_inside = |it: &&Peer| inside.is_empty() || inside.contains(&it.data_centre);
        let peers = || self.peers.values().filter(is_inside);
        let local = || peers().filter(|it| it.data_centre == self.own && !it.has_timed_out);
        let near: Vec<_> = local().filter_map(|it| it.proxy(service)).collect();
        // This box is one of those that can't serve.
        let unable = local().count() + 1 - near.len();
        if near.len() >= unable {
            near
        } else {
            peers().filter_map(|it| it.proxy(service)).collect()
        }
    }

    /// Returns the first `count` live boxes that hold a stream's version. They are chosen in turn
    /// from the stream's first `spread` data centres, so that boxes that differ in one box differ
    /// only in its data centre. Only boxes inside of the given data centres are chosen, where there
    /// are enough; an empty set stands for all.
    pub fn holders(
        &self,
        stream: StreamKey,
        inside: &BTreeSet<DataCentreKey>,
        spread: usize,
        count: usize,
    ) -> Vec<SocketAddr> {
        let is_able = |it: &Peer| !it.has_timed_out && it.format >= Format::Origins;
        let able: Vec<_> = self.peers.iter().filter(|it| is_able(it.1)).collect();
        let is_inside = |it: &Peer| inside.is_empty() || inside.contains(&it.data_centre);
        let has_enough = able.iter().filter(|it| is_inside(it.1)).count() >= spread;
        let mut data_centres: BTreeMap<DataCentreKey, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        for (address, peer) in able.into_iter().filter(|it| !has_enough || is_inside(it.1)) {
            data_centres.entry(peer.data_centre).or_default().push((*address, peer.address_hash));
        }
        let mut data_centres: Vec<_> = data_centres.into_iter().collect();
        rank::order(stream.0, &mut data_centres, |it| u64::from(it.0.0));
        data_centres.truncate(spread);
        for (_, boxes) in &mut data_centres {
            rank::order(stream.0, boxes, |it| it.1);
        }
        let largest = data_centres.iter().map(|it| it.1.len()).max().unwrap_or(0);
        let turns = (0..largest).flat_map(|turn| data_centres.iter().map(move |it| (turn, it)));
        turns.filter_map(|(turn, (_, boxes))| Some(boxes.get(turn)?.0)).take(count).collect()
    }

    /// Returns the demand for a service at the live boxes other than this one.
    pub fn demand(&self, service: u64) -> Demand {
        let alive = self.peers.values().filter(|it| !it.has_timed_out);
        let reported = alive.flat_map(|it| &it.demand).filter(|it| it.0 == service);
        reported.fold(Demand::default(), |sum, (_, it)| sum.plus(*it))
    }

    /// Returns the number of boxes whose heartbeat is not overdue. This is a stricter test than
    /// whether a box counts as dead, since what a box admits unseen counts.
    pub fn on_time_count(&self, now: Time) -> usize {
        let is_on_time = |it: &&Peer| now.since(it.last_received) <= it.overdue_after(self.own);
        self.peers.values().filter(is_on_time).count()
    }

    /// Returns the peak number of live boxes that this box and the others know of, without those
    /// that were shut down and have not come back. None if no box was ever received from although
    /// some are listed. Boxes that have timed out otherwise may be cut off and still serve.
    pub fn peak_serving(&self) -> Option<usize> {
        let stopped = self.peers.values().filter(|it| it.has_stopped()).count();
        let peak = self.peak_count.max(self.reported_peak_count);
        (!self.has_received_nothing()).then_some(peak.saturating_sub(stopped).max(1))
    }

    /// Returns whether a box with an IP address was received from.
    pub fn knows_ip(&self, ip: IpAddr) -> bool {
        self.peers.keys().any(|it| it.ip() == ip)
    }

    /// Returns whether the box that accepts requests of boxes at an address is alive.
    pub fn is_alive_at(&self, proxy: SocketAddr) -> bool {
        let address = |it: &Peer| Some(SocketAddr::new(it.front.ip(), it.proxy.port?));
        self.peers.values().any(|it| !it.has_timed_out && address(it) == Some(proxy))
    }

    /// Returns whether no box was ever received from although some are listed.
    fn has_received_nothing(&self) -> bool {
        self.peers.is_empty() && !self.pending_peers.is_empty()
    }

    /// Returns the newest state of the store that any live box knows.
    pub fn newest_store_view(&self) -> StoreView {
        let alive = self.peers.values().filter(|it| !it.has_timed_out);
        alive.fold(StoreView::default(), |newest, peer| StoreView {
            version: newest.version.max(peer.store_view.version),
            revision: newest.revision.max(peer.store_view.revision),
            has_lost_store: newest.has_lost_store && peer.store_view.has_lost_store,
        })
    }

    /// Returns the minimum times without a heartbeat after which local and remote boxes count as
    /// dead, whatever cadence they report. A box that has just learnt that the deployment is large
    /// sends heartbeats less often from then on, and its next one is the first to say so.
    fn min_dead_after(&self) -> (Duration, Duration) {
        let cadence = self.cadence(false);
        match self.is_large() {
            true => (cadence.dead_after(true), cadence.dead_after(false)),
            false => (Duration::ZERO, Duration::ZERO),
        }
    }

    /// Returns the format that a box supports.
    pub fn format(&self, node: SocketAddr) -> Format {
        self.peers.get(&node).map_or(Format::First, |it| it.format)
    }

    /// Returns the number of live boxes, including this one.
    pub fn count(&self, now: Time) -> usize {
        let (local, remote) = self.min_dead_after();
        let is_alive = |it: &&Peer| {
            let minimum = if it.data_centre == self.own { local } else { remote };
            now.since(it.last_received) <= it.dead_after.max(minimum)
        };
        1 + self.peers.values().filter(is_alive).count()
    }

    /// Returns the peak number of live boxes, including this one.
    pub fn peak_count(&self) -> usize {
        self.peak_count
    }
}

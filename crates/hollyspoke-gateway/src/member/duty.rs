//! The assignment of duties to boxes. Each box decides for itself, by an order that is equal on
//! all.

use std::net::SocketAddr;

use hollyspoke::rank;
use hollyspoke::store::Revision;
use hollyspoke::time::Time;

use super::peer::Peer;
use super::{Members, address_hash};
use crate::engine::EngineKey;
use crate::message::{DataCentreKey, Format, Readiness};
use crate::origin::archive::Shard;

impl Members {
    /// Returns whether this box follows the store: whether it is among the first `count` live boxes
    /// in an order that is equal on all boxes. Boxes without answers from the store follow too and
    /// are not counted; `max_count` limits the number of all together. If `has_eras`, boxes of an older
    /// version, which don't report eras, aren't counted either.
    pub fn is_follower(
        &self,
        own: SocketAddr,
        count: usize,
        max_count: usize,
        has_eras: bool,
    ) -> bool {
        let counts = |it: &Peer| !has_eras || it.format >= Format::Eras;
        let before: Vec<_> = self.alive_before(own).filter(|it| counts(it)).collect();
        let answered = before.iter().filter(|it| !it.store_view.has_lost_store).count();
        before.len() < max_count && answered < count
    }

    /// Returns whether another one of the first `count` live boxes, in the order of the followers, gets
    /// answers from the store. Those after them follow it, if they do, since these get none, and
    /// haven't noticed yet if they get none either.
    pub fn has_informed_follower(&self, own: SocketAddr, count: usize) -> bool {
        let others = self.peers.values().filter(|it| !it.has_timed_out);
        let others = others.map(|it| (it.address_hash, !it.store_view.has_lost_store));
        let mut all: Vec<_> = others.chain([(address_hash(&own), false)]).collect();
        rank::order(0, &mut all, |it| it.0);
        all.iter().take(count).any(|it| it.1)
    }

    /// Returns the live boxes other than this one that follow the store with answers, of `count`
    /// followers, and read notices.
    pub fn followers(&self, count: usize) -> Vec<SocketAddr> {
        let able = |it: &Peer| {
            !it.has_timed_out && !it.store_view.has_lost_store && it.format >= Format::Origins
        };
        let mut all: Vec<_> = self.peers.iter().filter(|it| able(it.1)).collect();
        rank::order(0, &mut all, |it| it.1.address_hash);
        all.into_iter().map(|it| *it.0).take(count).collect()
    }

    /// Returns the box that keeps a shard of the streams in the store: the first one in the shard's
    /// order that is alive and gets answers from the store. This box takes part.
    pub fn keeper(&self, own: SocketAddr, shard: Shard) -> SocketAddr {
        let is_able = |it: &Peer| {
            !it.has_timed_out && !it.store_view.has_lost_store && it.format >= Format::Records
        };
        let others = self.peers.iter().filter(|it| is_able(it.1));
        let others = others.map(|(&node, it)| (node, it.address_hash));
        let all = others.chain([(own, address_hash(&own))]);
        all.min_by_key(|it| rank::sort_key(shard.number(), it.1)).map_or(own, |it| it.0)
    }

    /// Returns whether another box, alive or not, reads notices of streams' versions.
    pub fn has_notice_reader(&self) -> bool {
        self.peers.values().any(|it| it.format >= Format::Origins)
    }

    /// Returns whether no heartbeat of a box that this one has known is overdue. Where heartbeats are
    /// rare, this shows too little.
    pub fn are_all_on_time(&self, now: Time) -> bool {
        !self.is_large() && 1 + self.on_time_count(now) >= self.peak_count()
    }

    /// Returns whether all boxes that this one has known are alive.
    pub fn are_all_alive(&self) -> bool {
        let alive = self.peers.values().filter(|it| !it.has_timed_out).count();
        1 + alive >= self.peak_count
    }

    /// Returns whether this box is the first of the live ones that are ready, reach engines and get
    /// answers from the store, in the order of the followers. The first one sends orders.
    pub fn is_first(&self, own: SocketAddr) -> bool {
        let is_able = |it: &Peer| {
            let is_cut_off = it.store_view.has_lost_store || it.proxy.is_cut_off;
            it.readiness == Readiness::Ready && !is_cut_off
        };
        !self.alive_before(own).any(is_able)
    }

    /// Returns whether all live boxes support eras of the store.
    pub fn all_support_eras(&self) -> bool {
        self.peers.values().all(|it| it.has_timed_out || it.format >= Format::Eras)
    }

    /// Returns whether a live box that accepts requests doesn't support cases of prompts' parts. One that
    /// has just been heard of is assumed to.
    pub fn has_box_without_parts(&self) -> bool {
        let accepts = |it: &Peer| !it.has_timed_out && it.readiness != Readiness::Stopping;
        self.peers.values().any(|it| accepts(it) && it.supports_parts == Some(false))
    }

    /// Returns the live boxes before this one in the order that is equal on all boxes.
    fn alive_before(&self, own: SocketAddr) -> impl Iterator<Item = &Peer> {
        let place = |number: u64| rank::sort_key(0, number);
        let own = place(address_hash(&own));
        self.peers.values().filter(move |it| !it.has_timed_out && place(it.address_hash) < own)
    }

    /// Chooses a live, ready box with the newest version of the configuration, which is at least
    /// `version`. Boxes with engine changes newer than `revision` take precedence, then those of
    /// the local data centre, since traffic between data centres is expensive. If there is no
    /// `revision`, all boxes know more. `draw` is a random number from all of `u64`.
    ///
    /// The chosen box isn't always the one that knows most. If hundreds of boxes are behind, all
    /// would ask the few that follow the store, which then have no time for the store itself.
    pub fn choose_provider(
        &self,
        version: u64,
        revision: Option<Revision>,
        draw: u64,
    ) -> Option<SocketAddr> {
        let newest = self.newest_store_view().version.max(version);
        let is_able =
            |it: &Peer| it.readiness == Readiness::Ready && it.store_view.version >= newest;
        let able: Vec<_> =
            self.peers.iter().filter(|(_, it)| !it.has_timed_out && is_able(it)).collect();
        let is_local = |it: &Peer| it.data_centre == self.own;
        let is_ahead = |it: &Peer| revision.is_none_or(|known| it.store_view.revision > known);
        let place = |it: &Peer| (!is_ahead(it), !is_local(it));
        let best = able.iter().map(|it| place(it.1)).min()?;
        let best: Vec<_> = able.into_iter().filter(|it| place(it.1) == best).collect();
        let chosen = draw.checked_rem(best.len() as u64)?;
        best.get(chosen as usize).map(|it| *it.0)
    }

    /// Returns the box that issues an engine's permits: the first in the engine's order among the
    /// live, ready boxes that support permits, in the engine's data centre if there is one there.
    /// This box takes part if it serves.
    pub fn issuer(
        &self,
        own: SocketAddr,
        serves: bool,
        engine: EngineKey,
        data_centre: DataCentreKey,
    ) -> SocketAddr {
        let is_able = |it: &Peer| {
            !it.has_timed_out && it.readiness == Readiness::Ready && it.format >= Format::Permits
        };
        let others = self.peers.iter().filter(|(_, it)| is_able(it));
        let others = others.map(|(&node, it)| (node, it.address_hash, it.data_centre));
        let own_entry = (own, address_hash(&own), self.own);
        let all = others.chain(serves.then_some(own_entry));
        let place = |it: &(SocketAddr, u64, DataCentreKey)| {
            (it.2 != data_centre, rank::sort_key(engine.0, it.1))
        };
        all.min_by_key(place).map_or(own, |it| it.0)
    }

    /// Returns how many of the `first` boxes in an engine's order are alive, including this one.
    /// The order is over all known boxes; 0 if fewer than `boxes` are known.
    pub fn alive_among_first(
        &self,
        own: SocketAddr,
        engine: EngineKey,
        first: usize,
        boxes: usize,
    ) -> usize {
        let others = self.peers.values().filter(|it| !it.has_stopped());
        let others = others.map(|it| (it.address_hash, !it.has_timed_out));
        let mut all: Vec<_> = others.chain([(address_hash(&own), true)]).collect();
        if all.len() < boxes {
            return 0;
        }
        rank::order(engine.0, &mut all, |it| it.0);
        all.iter().take(first).filter(|it| it.1).count()
    }
}

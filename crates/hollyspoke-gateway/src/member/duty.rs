//! Which box has which duty for all: decided by each for itself, in orders that are the same on all.

use std::net::SocketAddr;

use hollyspoke::rank;
use hollyspoke::store::Revision;

use super::peer::Peer;
use super::{Members, address_hash};
use crate::engine::EngineKey;
use crate::message::{DataCentreKey, Format, Readiness};

impl Members {
    /// Tells whether this box is among those that follow the store: the first `count` of the living
    /// boxes in an order that is the same on all boxes. Those that get no answers follow too and
    /// are not counted; `most` bounds all together. If eras are told, boxes of an older version that
    /// tell none do not count either.
    pub fn is_follower(&self, own: SocketAddr, count: usize, most: usize, has_eras: bool) -> bool {
        let tells = |it: &Peer| !has_eras || it.format >= Format::Eras;
        let before: Vec<_> = self.alive_before(own).filter(|it| tells(it)).collect();
        let answered = before.iter().filter(|it| !it.store_view.has_lost_store).count();
        before.len() < most && answered < count
    }

    /// Tells whether this box comes first of the living ones that serve and have the store's
    /// answers, in the order in which they follow it: it is the one to give orders.
    pub fn is_first(&self, own: SocketAddr) -> bool {
        let is_able = |it: &Peer| it.readiness == Readiness::Ready && !it.store_view.has_lost_store;
        !self.alive_before(own).any(is_able)
    }

    /// Tells whether all living boxes know eras of the store.
    pub fn all_support_eras(&self) -> bool {
        self.peers.values().all(|it| it.is_silent || it.format >= Format::Eras)
    }

    /// Goes over the living boxes that come before this one in the order that is the same on all.
    fn alive_before(&self, own: SocketAddr) -> impl Iterator<Item = &Peer> {
        let place = |number: u64| rank::sort_key(0, number);
        let own = place(address_hash(&own));
        self.peers.values().filter(move |it| !it.is_silent && place(it.address_hash) < own)
    }

    /// Chooses a living box that serves and knows the newest version of the configuration, at least
    /// one that is given, by a number drawn from all of `u64`. One that knows of newer changes of
    /// engines than a revision goes first, then one of the own data centre, since bytes between data
    /// centres are dear.
    ///
    /// It need not be the one that knows most: if hundreds are behind, all would ask the few that
    /// follow the store, which then have no time for the store itself.
    pub fn choose_provider(
        &self,
        version: u64,
        revision: Revision,
        draw: u64,
    ) -> Option<SocketAddr> {
        let newest = self.newest_store_view().version.max(version);
        let is_able =
            |it: &Peer| it.readiness == Readiness::Ready && it.store_view.version >= newest;
        let able: Vec<_> =
            self.peers.iter().filter(|(_, it)| !it.is_silent && is_able(it)).collect();
        let is_local = |it: &Peer| it.data_centre == self.own;
        let is_ahead = |it: &Peer| it.store_view.revision > revision;
        let place = |it: &Peer| (!is_ahead(it), !is_local(it));
        let best = able.iter().map(|it| place(it.1)).min()?;
        let best: Vec<_> = able.into_iter().filter(|it| place(it.1) == best).collect();
        let chosen = draw.checked_rem(best.len() as u64)?;
        best.get(chosen as usize).map(|it| *it.0)
    }

    /// Gives the box that issues an engine's permits: the first for it of those that live, serve and
    /// can, in the engine's data centre if there is one; this one too, if it serves.
    pub fn issuer(
        &self,
        own: SocketAddr,
        serves: bool,
        engine: EngineKey,
        data_centre: DataCentreKey,
    ) -> SocketAddr {
        let is_able = |it: &Peer| {
            !it.is_silent && it.readiness == Readiness::Ready && it.format >= Format::Permits
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

    /// Gives how many of the first boxes for an engine are heard, this one included, of all that are
    /// known; none if fewer are known than there are.
    pub fn alive_among_first(
        &self,
        own: SocketAddr,
        engine: EngineKey,
        first: usize,
        boxes: usize,
    ) -> usize {
        let others = self.peers.values().filter(|it| !it.has_stopped());
        let others = others.map(|it| (it.address_hash, !it.is_silent));
        let mut all: Vec<_> = others.chain([(address_hash(&own), true)]).collect();
        if all.len() < boxes {
            return 0;
        }
        rank::order(engine.0, &mut all, |it| it.0);
        all.iter().take(first).filter(|it| it.1).count()
    }
}

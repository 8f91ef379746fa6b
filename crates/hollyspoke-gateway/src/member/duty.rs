//! Which box has which duty for all: decided by each for itself, in orders that are the same on all.

use std::net::SocketAddr;

use hollyspoke::rank;
use hollyspoke::store::Revision;

use super::peer::Peer;
use super::{Members, number};
use crate::engine::EngineKey;
use crate::message::{DataCentreKey, Format, Standing};

impl Members {
    /// Tells whether this box is among those that follow the store: the first `count` of the living
    /// boxes in an order that is the same on all boxes. Those that get no answers follow too and
    /// are not counted; `most` bounds all together. If eras are told, boxes of an older version that
    /// tell none do not count either.
    pub fn is_follower(&self, own: SocketAddr, count: usize, most: usize, has_eras: bool) -> bool {
        let tells = |it: &Peer| !has_eras || it.format >= Format::Eras;
        let before: Vec<_> = self.before(own).filter(|it| tells(it)).collect();
        let answered = before.iter().filter(|it| !it.knowledge.is_blind).count();
        before.len() < most && answered < count
    }

    /// Tells whether this box comes first of the living ones that serve and have the store's
    /// answers, in the order in which they follow it: it is the one to give orders.
    pub fn is_first(&self, own: SocketAddr) -> bool {
        let is_able = |it: &Peer| it.standing == Standing::Ready && !it.knowledge.is_blind;
        !self.before(own).any(is_able)
    }

    /// Tells whether all living boxes know eras of the store.
    pub fn know_eras(&self) -> bool {
        self.peers.values().all(|it| it.is_silent || it.format >= Format::Eras)
    }

    /// Goes over the living boxes that come before this one in the order that is the same on all.
    fn before(&self, own: SocketAddr) -> impl Iterator<Item = &Peer> {
        let place = |number: u64| rank::sort_key(0, number);
        let own = place(number(&own));
        self.peers.values().filter(move |it| !it.is_silent && place(it.number) < own)
    }

    /// Chooses a living box that serves and knows the newest version of the configuration, at least
    /// one that is given, by a number drawn from all of `u64`. One that knows of newer changes of
    /// engines than a revision goes first, then one of the own data centre, since bytes between data
    /// centres are dear.
    ///
    /// It need not be the one that knows most: if hundreds are behind, all would ask the few that
    /// follow the store, which then have no time for the store itself.
    pub fn provider(&self, version: u64, revision: Revision, draw: u64) -> Option<SocketAddr> {
        let newest = self.newest().version.max(version);
        let is_able = |it: &Peer| it.standing == Standing::Ready && it.knowledge.version >= newest;
        let able: Vec<_> =
            self.peers.iter().filter(|(_, it)| !it.is_silent && is_able(it)).collect();
        let is_near = |it: &Peer| it.data_centre == self.own;
        let is_ahead = |it: &Peer| it.knowledge.revision > revision;
        let place = |it: &Peer| (!is_ahead(it), !is_near(it));
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
            !it.is_silent && it.standing == Standing::Ready && it.format >= Format::Permits
        };
        let others = self.peers.iter().filter(|(_, it)| is_able(it));
        let others = others.map(|(&node, it)| (node, it.number, it.data_centre));
        let own_entry = (own, number(&own), self.own);
        let all = others.chain(serves.then_some(own_entry));
        let place = |it: &(SocketAddr, u64, DataCentreKey)| {
            (it.2 != data_centre, rank::sort_key(engine.0, it.1))
        };
        all.min_by_key(place).map_or(own, |it| it.0)
    }

    /// Gives how many of the first boxes for an engine are heard, this one included, of all that are
    /// known; none if fewer are known than there are.
    pub fn first_heard(
        &self,
        own: SocketAddr,
        engine: EngineKey,
        first: usize,
        boxes: usize,
    ) -> usize {
        let others = self.peers.values().filter(|it| !it.has_stopped());
        let others = others.map(|it| (it.number, !it.is_silent));
        let mut all: Vec<_> = others.chain([(number(&own), true)]).collect();
        if all.len() < boxes {
            return 0;
        }
        rank::order(engine.0, &mut all, |it| it.0);
        all.iter().take(first).filter(|it| it.1).count()
    }
}

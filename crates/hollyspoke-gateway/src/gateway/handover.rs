//! The transfer of the configuration and the list of engines between boxes. A box that the store
//! rejects, or that is cut off from it, gets them from a box that it still receives from. Otherwise
//! it would go on with keys and routes that are withdrawn, or never serve at all.

use std::net::SocketAddr;

use hollyspoke::store::Revision;

use super::Gateway;
use crate::effect::Effect;
use crate::snapshot::{ConfigurationParts, Listing, Snapshot, SnapshotRequest};

impl Gateway {
    /// Returns a request for what this box lacks.
    pub fn snapshot_request(&self) -> SnapshotRequest {
        SnapshotRequest { version: self.version().unwrap_or(0), revision: self.listed_revision() }
    }

    /// Returns what the requesting box lacks to serve.
    pub fn snapshot(&self, request: SnapshotRequest) -> Snapshot {
        let configuration = self.configuration.as_ref();
        let newer = configuration.filter(|it| it.version > request.version);
        let configuration = newer.map(|it| ConfigurationParts::of(it));
        let listing =
            self.are_engines_listed.then(|| self.engine_listing(request.revision)).flatten();
        let departures = self.all_departures();
        Snapshot {
            configuration,
            listing,
            evacuation: self.evacuations.newest().clone(),
            departures,
        }
    }

    /// Returns the engines, as changes if the history reaches back to what the requesting box
    /// knows; none if it knows as much. A complete list of 10,000 engines takes a megabyte, and a
    /// box asks whenever it has missed a single datagram.
    fn engine_listing(&self, known: Option<Revision>) -> Option<Listing> {
        let revision = self.directory.complete();
        if known.is_some_and(|it| it >= revision) {
            return None;
        }
        let changes = known.and_then(|it| self.directory.changes_since(it));
        Some(match changes {
            Some(changes) => Listing::Changes { changes, revision },
            None => {
                let engines = self.directory.present().map(|it| it.engine.as_ref().clone());
                Listing::Whole { engines: engines.collect(), revision }
            }
        })
    }

    /// Applies the parts of a snapshot that are newer than this box's state.
    pub(super) fn apply_snapshot(&mut self, provider: SocketAddr, snapshot: Snapshot) {
        self.receive_departures(provider, &snapshot.departures);
        let listed = snapshot.listing.as_ref().map_or(0, |it| it.revision().era);
        self.receive_era(listed.max(snapshot.evacuation.revision.era), provider);
        self.apply_evacuation(snapshot.evacuation);
        if let Some(version) = snapshot.configuration {
            self.configure(version.into_configuration());
        }
        match snapshot.listing {
            Some(Listing::Whole { engines, revision })
                if !self.are_engines_listed || revision > self.directory.complete() =>
            {
                self.apply_engine_list(engines, revision);
            }
            Some(Listing::Changes { changes, revision }) if self.are_engines_listed => {
                self.catch_up(&changes, revision);
            }
            Some(_) | None => {}
        }
        self.ask_another();
    }

    /// Requests a snapshot from one of the boxes with the newest version and engines. Returns whether
    /// there is one.
    pub(super) fn request_snapshot(&mut self) -> bool {
        let draw = self.draw();
        let wanted = self.version().unwrap_or(0);
        let known = self.listed_revision();
        let provider = self.members.choose_provider(wanted, known, draw);
        self.effects.extend(provider.map(Effect::Fetch));
        provider.is_some()
    }
}

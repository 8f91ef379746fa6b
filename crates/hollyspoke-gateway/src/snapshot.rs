//! The state that a box sends as a whole to another that can't read it from the platform's store:
//! the configuration in force, and the list of engines. Of customers' keys it contains only the
//! digests.

use std::sync::Arc;

use hollyspoke::store::Revision;
use serde::{Deserialize, Serialize};

use crate::customer::{Customer, Customers};
use crate::departure;
use crate::engine::{Engine, EngineChange};
use crate::evacuation::Evacuation;
use crate::route::{Configuration, Limits, Route, Service};

/// A version of the configuration, in a form that can be serialized.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationParts {
    /// The version; higher is newer.
    pub version: u64,
    /// The limits of what clients may send.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers, if requests need a key.
    pub customers: Option<Vec<Customer>>,
}

impl ConfigurationParts {
    /// Converts a configuration into its parts.
    pub fn of(configuration: &Configuration) -> ConfigurationParts {
        let customers = configuration.customers.as_ref();
        ConfigurationParts {
            version: configuration.version,
            limits: configuration.limits,
            routes: configuration.routes().map(|it| Route::clone(it)).collect(),
            services: configuration.services().cloned().collect(),
            customers: customers.map(|it| it.iter().map(|it| Customer::clone(it)).collect()),
        }
    }

    /// Converts the parts back into a configuration.
    pub fn into_configuration(self) -> Arc<Configuration> {
        let ConfigurationParts { version, limits, routes, services, customers } = self;
        let configuration = Configuration::new(version, limits, routes, services);
        Arc::new(match customers {
            Some(customers) => configuration.with_customers(Customers::new(customers)),
            None => configuration,
        })
    }
}

/// The list of engines at a revision of the store, or the changes that lead to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// A complete list.
    Whole {
        /// All engines at the revision.
        engines: Vec<Engine>,
        /// The revision up to which the list is complete.
        revision: Revision,
    },
    /// The changes since the revision that the requesting box knows.
    Changes {
        /// The changes, in order.
        changes: Vec<EngineChange>,
        /// The revision up to which the list is complete with the changes.
        revision: Revision,
    },
}

impl Listing {
    /// Returns the revision up to which the list is complete with it.
    pub fn revision(&self) -> Revision {
        match self {
            Listing::Whole { revision, .. } | Listing::Changes { revision, .. } => *revision,
        }
    }

    /// Returns the listing with its revisions in an era.
    #[must_use]
    pub fn in_era(self, era: u64) -> Listing {
        match self {
            Listing::Whole { engines, revision } => {
                Listing::Whole { engines, revision: revision.in_era(era) }
            }
            Listing::Changes { changes, revision } => Listing::Changes {
                changes: changes.into_iter().map(|it| it.in_era(era)).collect(),
                revision: revision.in_era(era),
            },
        }
    }
}

/// A request for a snapshot, with what the requesting box knows already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// The revision up to which its list of engines is complete; none without a list.
    pub revision: Option<Revision>,
}

/// A snapshot, without what the requesting box knows already.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if it is newer.
    pub configuration: Option<ConfigurationParts>,
    /// The engines, if the answering box has a newer list.
    pub listing: Option<Listing>,
    /// The evacuated data centres.
    pub evacuation: Evacuation,
    /// The engines that are shutting down; omitted for a box that supports only the first format.
    #[serde(skip)]
    pub departures: Vec<departure::Announcement>,
}

//! What a box hands over whole to another that can't read it from the platform's store: the
//! configuration in force, and the list of engines. Of customers' keys it holds the digests alone.

use std::sync::Arc;

use hollyspoke::store::Revision;
use serde::{Deserialize, Serialize};

use crate::customer::{Customer, Customers};
use crate::departure;
use crate::engine::{Engine, EngineChange};
use crate::evacuation::Evacuation;
use crate::route::{Configuration, Limits, Route, Service};

/// The parts of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationParts {
    /// The version.
    pub version: u64,
    /// What clients may send.
    pub limits: Limits,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers, if requests need their keys.
    pub customers: Option<Vec<Customer>>,
}

impl ConfigurationParts {
    /// Takes a configuration apart.
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

    /// Puts the configuration together again.
    pub fn into_configuration(self) -> Arc<Configuration> {
        let ConfigurationParts { version, limits, routes, services, customers } = self;
        let configuration = Configuration::new(version, limits, routes, services);
        Arc::new(match customers {
            Some(customers) => configuration.with_customers(Customers::new(customers)),
            None => configuration,
        })
    }
}

/// The list of engines at a revision of the store, or what leads to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// All engines.
    Whole {
        /// The engines.
        engines: Vec<Engine>,
        /// The revision up to which nothing is missing.
        revision: Revision,
    },
    /// What has changed since the revision that the asking box knows.
    Changes {
        /// The changes, in order.
        changes: Vec<EngineChange>,
        /// The revision up to which nothing is missing with them.
        revision: Revision,
    },
}

impl Listing {
    /// Gives the revision up to which nothing is missing with it.
    pub fn revision(&self) -> Revision {
        match self {
            Listing::Whole { revision, .. } | Listing::Changes { revision, .. } => *revision,
        }
    }

    /// Gives the same in an era.
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

/// What a box that asks knows already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// The revision up to which no engine is missing at it; none if it has no list.
    pub revision: Option<Revision>,
}

/// What a box hands over.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration, if the box knows a newer one.
    pub configuration: Option<ConfigurationParts>,
    /// The engines, if the box has listed them and knows more.
    pub listing: Option<Listing>,
    /// The evacuated data centres.
    pub evacuation: Evacuation,
    /// The engines that are about to leave; a box that reads the first format alone is not told.
    #[serde(skip)]
    pub departures: Vec<departure::Announcement>,
}

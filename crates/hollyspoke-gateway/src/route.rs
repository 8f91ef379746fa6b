//! The routes, services and limits of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::customer::Customers;
use crate::region::Homes;

/// What may be done again with the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Safe,
    /// Requests that may run at most once.
    Unsafe,
    /// Requests answered by a series of events.
    Stream,
}

/// One part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service that takes the part.
    pub service: Arc<str>,
    /// The part's weight among all parts of the route.
    pub weight: u32,
}

/// One route: which requests it covers, and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that the route belongs to.
    pub host: Arc<str>,
    /// The start of the paths that the route covers; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be done again.
    pub kind: RouteKind,
    /// The longest time a request may be held.
    pub timeout: Duration,
    /// The time within which an answer earns its full credit.
    pub target_latency: Duration,
    /// The rank; 0 is the highest.
    pub priority: u8,
    /// The services and their weights; never empty.
    pub splits: Vec<Split>,
    /// Whether requests need no key.
    pub is_auth_exempt: bool,
    /// The most engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another engine.
    pub resumable: bool,
    /// The longest pause between events with which a stream is in time.
    pub max_gap: Option<Duration>,
    /// Where requests of the route may be served.
    pub homes: Homes,
}

impl Route {
    /// Tells whether a request of the route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Chooses the service of a request by a number drawn from all of `u64`.
    pub fn service(&self, draw: u64) -> &Arc<str> {
        let whole: u64 = self.splits.iter().map(|it| u64::from(it.weight)).sum();
        let mut rest = draw.checked_rem(whole).unwrap_or(0);
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if rest < weight {
                return &split.service;
            }
            rest -= weight;
        }
        &self.splits[0].service
    }
}

/// The engines of a service that reads prompts and generates answers in separate stages.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Staged {
    /// The tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// The bytes of memory a token.
    pub token_bytes: u64,
    /// The rate of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// How long an engine keeps a prompt that it has read for another engine.
    pub handle_ttl: Duration,
    /// How long an engine takes to change its stage once nothing runs there; none if it can't.
    pub switch_duration: Option<Duration>,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Set for services with separate stages.
    pub staged: Option<Staged>,
    /// The requests a second that an engine bears while it is cold; none if as many as ever.
    pub cold_rate: Option<f64>,
}

/// What clients may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The most bytes of a head.
    pub head_bytes: usize,
    /// The most bytes of a body.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
    /// How long a connection may rest.
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole and never changed.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The version; later ones are higher.
    pub version: u64,
    /// What clients may send.
    pub limits: Limits,
    /// The customers, if requests need their keys.
    pub customers: Option<Customers>,
    /// The services by name.
    services: HashMap<Arc<str>, Service>,
    /// The routes by host and prefix.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl Configuration {
    /// Makes a version from its parts. Routes without a service are left out.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Configuration {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes.into_iter().filter(|it| !it.splits.is_empty()) {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Configuration { version, limits, customers: None, services, routes: by_host }
    }

    /// Adds the customers whose keys requests need.
    #[must_use]
    pub fn with_customers(self, customers: Customers) -> Configuration {
        Configuration { customers: Some(customers), ..self }
    }

    /// Finds the route with the longest prefix that begins the path.
    ///
    /// Prefixes end with a slash, so that only the path's own slashes are looked up.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self.routes.get(host)?;
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
                return Some(route);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Goes over the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Goes over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Gives the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

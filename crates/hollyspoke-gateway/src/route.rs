//! The routes, services and limits of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::customer::Customers;
use crate::region::AllowedRegions;
use crate::request::Request;

/// How requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Safe,
    /// Requests that may run at most once.
    Unsafe,
    /// Requests that are answered with a stream of events.
    Stream,
}

/// A share of a route's traffic that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// The service that receives the share.
    pub service: Arc<str>,
    /// The share's weight relative to all others of the route.
    pub weight: u32,
}

/// One route: which requests it covers, and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host that the route belongs to.
    pub host: Arc<str>,
    /// The path prefix that the route covers. It begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How requests may be repeated.
    pub kind: RouteKind,
    /// The maximum time that a request may take.
    pub timeout: Duration,
    /// The time within which an answer counts in full.
    pub target_latency: Duration,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services and their weights; never empty.
    pub splits: Vec<Split>,
    /// Whether requests need no key.
    pub is_auth_exempt: bool,
    /// The maximum number of engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be continued at another engine.
    pub resumable: bool,
    /// The longest pause between events for which a stream counts as on time; `None` if there is no
    /// limit.
    pub max_gap: Option<Duration>,
    /// The regions in which requests of the route may be served.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Returns whether a request of the route may run more than once.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Returns the number by which the service of a request is drawn, from a random one. A stream that a
    /// client resumes is drawn as the attempt that began it: another service can't continue it.
    pub fn service_draw(&self, request: &Request, random: u64) -> u64 {
        if self.kind != RouteKind::Stream || !self.resumable {
            return random;
        }
        let resumed_id = request.resumed_id.as_ref().filter(|_| request.last_event.is_some());
        xxh3_64(resumed_id.unwrap_or(&request.id).as_bytes())
    }

    /// Selects the service of a request by a random number from the whole range of `u64`.
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

/// The engines of a service that prefills prompts and decodes answers in separate stages.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Staged {
    /// The tokens that one engine's memory holds.
    pub memory_tokens: u64,
    /// The KV cache size per token, in bytes.
    pub token_bytes: u64,
    /// The bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// How long an engine caches a prompt that it prefilled for another engine.
    pub handle_ttl: Duration,
    /// How long an idle engine takes to change its stage; `None` if it can't.
    pub switch_duration: Option<Duration>,
    /// The optional operations that the engines support.
    #[serde(skip)]
    pub operations: Operations,
}

/// The optional operations that the engines of a service support.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Operations {
    /// The longest time for which an engine reserves memory; `None` if it doesn't.
    pub max_reservation: Option<Duration>,
    /// Whether running streams can be moved to another engine.
    pub can_migrate: bool,
    /// Whether running streams can be backed up at another engine.
    pub can_back_up: bool,
}

/// A group of engines that serve the same requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: Arc<str>,
    /// The parameters of services with separate stages; `None` for plain services.
    pub staged: Option<Staged>,
    /// The rate that an engine can handle while it is cold, in requests per second; `None` if there
    /// is no limit.
    pub cold_rate: Option<f64>,
}

/// Limits on what clients may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request head.
    pub head_bytes: usize,
    /// The maximum size of a request body.
    pub body_bytes: usize,
    /// The maximum time for receiving a head.
    pub head_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One immutable version of the configuration.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The version; newer configurations have higher ones.
    pub version: u64,
    /// The limits on what clients send.
    pub limits: Limits,
    /// The customers; `None` if requests need no keys.
    pub customers: Option<Customers>,
    /// The services by name.
    services: HashMap<Arc<str>, Service>,
    /// The routes by host and prefix.
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl Configuration {
    /// Creates a version from its parts. Routes without a service are omitted.
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

    /// Returns the route with the longest prefix of the path.
    ///
    /// Prefixes end with a slash, so only prefixes that end at a slash of the path are looked up.
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

    /// Returns the service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Iterates over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

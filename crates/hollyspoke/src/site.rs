//! A site as described by its file: the configuration that boxes apply.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Declares a small `Copy` key for a name in the site file.
macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the key of a name, which is the same in every process.
            pub fn of(name: &str) -> $name {
                $name(xxh3_64(name.as_bytes()))
            }
        }
    };
}

name_key!(
    /// The key of an engine or of a plain service's upstream.
    UpstreamId
);
name_key!(
    /// The key of a service.
    ServiceId
);
name_key!(
    /// The key of a data centre.
    DataCentreId
);
name_key!(
    /// The key of a tenant.
    TenantId
);

/// A site: everything that its boxes route to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// The name of the site.
    pub name: String,
    /// The names of the site's data centres.
    pub data_centres: Vec<String>,
    /// The models that the engines serve.
    pub models: Vec<Model>,
    /// The services that callers name.
    pub services: Vec<Service>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The upstreams of plain services.
    pub upstreams: Vec<Upstream>,
    /// The shared links between data centres.
    pub links: Vec<Link>,
    /// The tenants that have a limit or a share of their own.
    pub tenants: Vec<Tenant>,
}

impl Site {
    /// Returns the service with a key.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id() == id)
    }

    /// Returns the engine with a key.
    pub fn engine(&self, id: UpstreamId) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.id() == id)
    }

    /// Returns the plain service's upstream with a key.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.id() == id)
    }

    /// Returns the model of a service that has engines.
    pub fn model(&self, service: &Service) -> Option<&Model> {
        let Kind::Engines { model, .. } = &service.kind else { return None };
        self.models.iter().find(|candidate| candidate.name == *model)
    }

    /// Returns the service that serves a model or an adapter; `name` may also be that of the
    /// service.
    pub fn service_of_model(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| match &service.kind {
            Kind::Engines { model, adapters, .. } => {
                service.name == name || model == name || adapters.iter().any(|it| it == name)
            }
            Kind::Plain { .. } => false,
        })
    }

    /// Returns the plain service with the longest prefix that matches a path.
    pub fn service_of_path(&self, path: &str) -> Option<&Service> {
        let prefix_length = |service: &Service| match &service.kind {
            Kind::Plain { prefix, .. } if is_under_prefix(path, prefix) => Some(prefix.len()),
            Kind::Plain { .. } | Kind::Engines { .. } => None,
        };
        self.services
            .iter()
            .filter(|it| prefix_length(it).is_some())
            .max_by_key(|it| prefix_length(it))
    }
}

/// Returns whether a path is equal to a prefix or below it.
fn is_under_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

/// The properties of a model that matter for routing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: String,
    /// The size of the KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
}

/// A service that callers name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// How the service is provided.
    pub kind: Kind,
}

impl Service {
    /// Returns the service's key.
    pub fn id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

/// How a service is provided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// By model engines in prefill and decode roles.
    Engines {
        /// The model served.
        model: String,
        /// The adapters that callers may name instead of the model.
        adapters: Vec<String>,
        /// The target for the time to the first token.
        first_token: Duration,
        /// The target for the time between tokens.
        between_tokens: Duration,
    },
    /// By plain upstreams, with one request and one answer per call.
    Plain {
        /// The path prefix under which callers reach the service.
        prefix: String,
        /// Whether calls may be sent again after a failure.
        repeatable: bool,
        /// How long one call may take.
        timeout: Duration,
    },
}

/// The role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The engine runs prefills.
    Prefill,
    /// The engine runs decodes.
    Decode,
    /// The engine runs both.
    Both,
}

impl Role {
    /// Returns whether an engine of this role runs prefills.
    pub fn prefills(self) -> bool {
        matches!(self, Role::Prefill | Role::Both)
    }

    /// Returns whether an engine of this role runs decodes.
    pub fn decodes(self) -> bool {
        matches!(self, Role::Decode | Role::Both)
    }
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The engine's name.
    pub name: String,
    /// The service to which it belongs.
    pub service: String,
    /// The data centre in which it is located.
    pub data_centre: String,
    /// Its address, `host:port`, with the host as an IP address.
    pub address: String,
    /// Its role.
    pub role: Role,
    /// The capacity of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// Its prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// The time in which it generates one token of every stream.
    pub token_time: Duration,
    /// Whether it checks the fencing token of an order.
    pub checks_orders: bool,
    /// Whether it is shutting down and gets no new work.
    pub leaving: bool,
}

impl Engine {
    /// Returns the engine's key.
    pub fn id(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// One upstream of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's name.
    pub name: String,
    /// The service to which it belongs.
    pub service: String,
    /// The data centre in which it is located.
    pub data_centre: String,
    /// Its address, `host:port`, with the host as an IP address.
    pub address: String,
    /// Whether it is shutting down and gets no new work.
    pub leaving: bool,
}

impl Upstream {
    /// Returns the upstream's key.
    pub fn id(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// A shared link between two data centres, or within one if both ends are the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// One end.
    pub from: String,
    /// The other end.
    pub to: String,
    /// Its rate, in bytes per second.
    pub bytes_per_second: u64,
}

/// A tenant with a limit or a share of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name, as callers send it.
    pub name: String,
    /// The requests per second that it may send to all boxes together, if it is limited.
    pub requests_per_second: Option<f64>,
    /// Its weight against other tenants in a busy pool.
    pub share: f64,
}

//! A site as its file describes it: the configuration in force.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Declares a small `Copy` key that stands for a name of the site file.
macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Makes the key of a name; equal names give equal keys in every process.
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

/// One site: everything its boxes route to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// The names of its data centres.
    pub data_centres: Vec<String>,
    /// The models that its engines serve.
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
    /// Finds a service by its key.
    pub fn service(&self, id: ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id() == id)
    }

    /// Finds an engine by its key.
    pub fn engine(&self, id: UpstreamId) -> Option<&Engine> {
        self.engines.iter().find(|engine| engine.id() == id)
    }

    /// Finds a plain service's upstream by its key.
    pub fn upstream(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstreams.iter().find(|upstream| upstream.id() == id)
    }

    /// Finds the model of a service that has engines.
    pub fn model(&self, service: &Service) -> Option<&Model> {
        let Kind::Engines { model, .. } = &service.kind else { return None };
        self.models.iter().find(|candidate| candidate.name == *model)
    }

    /// Finds the service that serves a model or an adapter, named by either or by the service.
    pub fn service_of_model(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| match &service.kind {
            Kind::Engines { model, adapters, .. } => {
                service.name == name || model == name || adapters.iter().any(|it| it == name)
            }
            Kind::Plain { .. } => false,
        })
    }

    /// Finds the plain service with the longest prefix of a path.
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

/// Tells whether a path is a prefix itself or lies below it.
fn is_under_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

/// A model, as far as routing needs to know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// The model's name.
    pub name: String,
    /// The KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
}

/// A service that callers name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// What stands behind it.
    pub kind: Kind,
}

impl Service {
    /// Gives the service's key.
    pub fn id(&self) -> ServiceId {
        ServiceId::of(&self.name)
    }
}

/// What stands behind a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Model engines in prefill and decode roles.
    Engines {
        /// The model served.
        model: String,
        /// The adapters that callers may name instead of the model.
        adapters: Vec<String>,
        /// The target for the first token.
        first_token: Duration,
        /// The target for the time between tokens.
        between_tokens: Duration,
    },
    /// Plain upstreams that answer one call at a time.
    Plain {
        /// The path prefix under which callers reach the service.
        prefix: String,
        /// Whether calls may be sent again when the first sending failed.
        repeatable: bool,
        /// How long one call may take.
        timeout: Duration,
    },
}

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It computes prompts.
    Prefill,
    /// It generates tokens.
    Decode,
    /// It does both.
    Both,
}

impl Role {
    /// Tells whether an engine of this role computes prompts.
    pub fn prefills(self) -> bool {
        matches!(self, Role::Prefill | Role::Both)
    }

    /// Tells whether an engine of this role generates tokens.
    pub fn decodes(self) -> bool {
        matches!(self, Role::Decode | Role::Both)
    }
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The engine's name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its address, `host:port` by IP number.
    pub address: String,
    /// Its role.
    pub role: Role,
    /// The KV cache it can hold, in tokens.
    pub memory_tokens: u64,
    /// How fast it computes prompts, in tokens a second.
    pub prefill_rate: u64,
    /// How long it takes for one token of every stream it generates.
    pub token_time: Duration,
    /// Whether it compares the fencing token of an order.
    pub checks_orders: bool,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

impl Engine {
    /// Gives the engine's key.
    pub fn id(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// One upstream of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its address, `host:port` by IP number.
    pub address: String,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

impl Upstream {
    /// Gives the upstream's key.
    pub fn id(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// A shared link between two data centres, or inside one where both ends are the same.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// One end.
    pub from: String,
    /// The other end.
    pub to: String,
    /// Its rate, in bytes a second.
    pub bytes_per_second: u64,
}

/// A tenant with a limit or a share of its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name, as callers send it.
    pub name: String,
    /// The requests a second it may send over all boxes, where limited.
    pub requests_per_second: Option<f64>,
    /// Its share of a busy pool against other tenants.
    pub share: f64,
}

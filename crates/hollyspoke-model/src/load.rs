//! Sites and loads for the model.

use std::time::Duration;

use hollyspoke::site::{Engine, Kind, Link, Model, Role, Service, Site, Tenant, Upstream};

/// What a modelled site is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The data centres' names.
    pub data_centres: Vec<String>,
    /// Engines that prefill.
    pub prefills: usize,
    /// Engines that decode.
    pub decodes: usize,
    /// Upstreams of the plain service.
    pub services: usize,
    /// A decode engine's memory, in tokens.
    pub memory_tokens: u64,
    /// A prefill engine's rate, in tokens a second.
    pub prefill_rate: u64,
    /// How long a token takes.
    pub token_time: Duration,
    /// A link's rate between data centres, in bytes a second.
    pub link: u64,
    /// The KV cache of one token, in bytes.
    pub kv_bytes_per_token: u64,
    /// The tenants, with their shares.
    pub tenants: Vec<(String, f64)>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            data_centres: ["north", "south", "east"].map(str::to_owned).into(),
            prefills: 2,
            decodes: 2,
            services: 2,
            memory_tokens: 4000,
            prefill_rate: 8000,
            token_time: Duration::from_millis(10),
            link: 2_500_000_000,
            kv_bytes_per_token: 131_072,
            tenants: Vec::new(),
        }
    }
}

impl Plan {
    /// Makes the site: a model `m`, a service `llm` of engines, and a plain service at `/holds`.
    pub fn site(&self) -> Site {
        let mut site = Site {
            name: "model".to_owned(),
            data_centres: self.data_centres.clone(),
            models: vec![Model {
                name: "m".to_owned(),
                kv_bytes_per_token: self.kv_bytes_per_token,
            }],
            services: vec![Service {
                name: "llm".to_owned(),
                kind: Kind::Engines {
                    model: "m".to_owned(),
                    adapters: Vec::new(),
                    first_token: Duration::from_millis(1200),
                    between_tokens: Duration::from_millis(35),
                },
            }],
            ..Site::default()
        };
        for number in 0..self.prefills {
            site.engines.push(self.engine("prefill", number, Role::Prefill));
        }
        for number in 0..self.decodes {
            site.engines.push(self.engine("decode", number, Role::Decode));
        }
        if self.services > 0 {
            let prefix = "/holds".to_owned();
            let timeout = Duration::from_secs(2);
            let kind = Kind::Plain { prefix, repeatable: false, timeout };
            site.services.push(Service { name: "holds".to_owned(), kind });
        }
        for number in 0..self.services {
            site.upstreams.push(Upstream {
                name: format!("holds-{number}"),
                service: "holds".to_owned(),
                data_centre: self.data_centre(number),
                address: format!("upstream:{number}"),
                leaving: false,
            });
        }
        for (place, from) in self.data_centres.iter().enumerate() {
            for to in &self.data_centres[place + 1..] {
                let (from, to) = (from.clone(), to.clone());
                site.links.push(Link { from, to, bytes_per_second: self.link });
            }
        }
        site.tenants = self
            .tenants
            .iter()
            .map(|(name, share)| Tenant {
                name: name.clone(),
                requests_per_second: None,
                share: *share,
            })
            .collect();
        site
    }

    /// Makes one engine.
    fn engine(&self, sort: &str, number: usize, role: Role) -> Engine {
        Engine {
            name: format!("{sort}-{number}"),
            service: "llm".to_owned(),
            data_centre: self.data_centre(number),
            address: format!("{sort}:{number}"),
            role,
            memory_tokens: self.memory_tokens,
            prefill_rate: self.prefill_rate,
            token_time: self.token_time,
            checks_orders: true,
            leaving: false,
        }
    }

    /// Deals the data centres out in turn.
    fn data_centre(&self, number: usize) -> String {
        self.data_centres[number % self.data_centres.len()].clone()
    }
}

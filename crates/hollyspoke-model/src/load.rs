//! Sites and loads for the model.

use std::time::Duration;

use hollyspoke::key::Incarnation;
use hollyspoke::node::Settings;
use hollyspoke::pool::admission::BLOCK_TOKENS;
use hollyspoke::site::{Engine, Kind, Link, Model, Role, Service, Site, Tenant, Upstream};
use hollyspoke::time::{Time, seconds};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

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
    /// Makes the plan of a number of engines, half in each role, that are never full: for
    /// measuring the reducer and not the engines.
    pub fn unbounded(engines: usize) -> Plan {
        Plan {
            prefills: engines / 2,
            decodes: engines / 2,
            services: 0,
            memory_tokens: 1 << 40,
            prefill_rate: 1 << 40,
            kv_bytes_per_token: 1,
            ..Plan::default()
        }
    }

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
        for (index, from) in self.data_centres.iter().enumerate() {
            for to in &self.data_centres[index + 1..] {
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
    fn engine(&self, role_name: &str, number: usize, role: Role) -> Engine {
        Engine {
            name: format!("{role_name}-{number}"),
            service: "llm".to_owned(),
            data_centre: self.data_centre(number),
            address: format!("{role_name}:{number}"),
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

/// Gives the settings of a box in the first data centre, known by its number alone.
pub fn settings(number: usize) -> Settings {
    Settings {
        incarnation: Incarnation(number as u64 + 1),
        name: format!("box-{number}"),
        caller_address: format!("call:{number}"),
        peer_address: format!("box:{number}"),
        data_centre: "north".to_owned(),
        seeds: Vec::new(),
        random_seed: 1,
    }
}

/// A request of a load.
#[derive(Debug, Clone)]
pub struct Request {
    /// When it comes.
    pub at: Time,
    /// The box it is sent to.
    pub to: usize,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens asked for.
    pub max_tokens: u32,
    /// The answer's true length, in tokens.
    pub length: u32,
    /// The tenant.
    pub tenant: usize,
    /// The class.
    pub class: u8,
    /// Digests of the prompt's leading blocks.
    pub prefix: Vec<u64>,
}

impl Request {
    /// Gives the decode memory that it needs, in tokens.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens + self.max_tokens
    }
}

/// A user's site and what its callers ask for.
#[derive(Debug, Clone)]
pub struct User {
    /// The user's name.
    pub name: &'static str,
    /// The site.
    pub plan: Plan,
    /// The boxes.
    pub boxes: usize,
    /// The tenants: name, share of the requests, class.
    pub tenants: Vec<(&'static str, f64, u8)>,
    /// The prompt's median length, in tokens.
    pub prompt_median: f64,
    /// The answer's median length, in tokens.
    pub answer_median: f64,
    /// The most tokens asked for.
    pub max_tokens: u32,
}

/// The spread of prompts' lengths, as the deviation of their logarithm.
const PROMPT_SPREAD: f64 = 1.0;

/// The spread of answers' lengths, as the deviation of their logarithm.
const ANSWER_SPREAD: f64 = 0.6;

/// The longest prompt, in tokens.
const MAX_PROMPT_TOKENS: f64 = 8000.0;

/// The share of requests that begin with one of the common prefixes.
const COMMON_PREFIX_SHARE: f64 = 0.4;

/// The number of common prefixes.
const COMMON_PREFIX_COUNT: u64 = 20;

/// The length of a common prefix, in blocks.
const PREFIX_BLOCK_COUNT: u64 = 8;

/// Requests drawn to find the mean sizes.
const SAMPLE_COUNT: usize = 20_000;

impl User {
    /// Bilbao: 10 engines, counters before reprints and schools.
    pub fn bilbao() -> User {
        User {
            name: "bilbao",
            plan: Plan {
                prefills: 4,
                decodes: 6,
                services: 0,
                memory_tokens: 40_000,
                prefill_rate: 8000,
                token_time: Duration::from_millis(25),
                ..Plan::default()
            },
            boxes: 6,
            tenants: vec![("counters", 0.6, 0), ("reprints", 0.3, 1), ("schools", 0.1, 1)],
            prompt_median: 800.0,
            answer_median: 180.0,
            max_tokens: 512,
        }
    }

    /// Lima: 20 engines, buyers and resellers of one class, shorter answers.
    pub fn lima() -> User {
        User {
            name: "lima",
            plan: Plan {
                prefills: 9,
                decodes: 11,
                services: 0,
                memory_tokens: 40_000,
                prefill_rate: 8000,
                token_time: Duration::from_millis(25),
                ..Plan::default()
            },
            boxes: 8,
            tenants: vec![("buyers", 0.7, 0), ("resellers", 0.3, 0)],
            prompt_median: 900.0,
            answer_median: 120.0,
            max_tokens: 384,
        }
    }

    /// Gives the site.
    pub fn site(&self) -> Site {
        let tenants = self.tenants.iter().map(|(name, ..)| ((*name).to_owned(), 1.0)).collect();
        Plan { tenants, ..self.plan.clone() }.site()
    }

    /// Gives the requests a second that the engines can just serve: the smaller of what prefill
    /// computes and what decode memory holds, at the mean sizes and without any cache.
    pub fn capacity(&self) -> f64 {
        let mut random = Pcg64Mcg::seed_from_u64(1);
        let sample: Vec<Request> =
            (0..SAMPLE_COUNT).map(|_| self.request(&mut random, Time::ZERO)).collect();
        let mean =
            |of: &dyn Fn(&Request) -> f64| sample.iter().map(of).sum::<f64>() / SAMPLE_COUNT as f64;
        let prefill_rate = self.plan.prefill_rate as f64 * self.plan.prefills as f64;
        let prefill = prefill_rate / mean(&|it| f64::from(it.prompt_tokens));
        let token = self.plan.token_time.as_secs_f64();
        let memory = self.plan.memory_tokens as f64 * self.plan.decodes as f64;
        let held = mean(&|it| f64::from(it.tokens()) * f64::from(it.length + 1) * token);
        prefill.min(memory / held)
    }

    /// Draws requests that come at random at rates that hold from points in time on, in order.
    pub fn draw(&self, seed: u64, rates: &[(Time, f64)], until: Time) -> Vec<Request> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut requests = Vec::new();
        for (index, &(from, rate)) in rates.iter().enumerate() {
            let end = rates.get(index + 1).map_or(until, |it| it.0);
            let mut at = from;
            loop {
                let pause: f64 = Exp1.sample(&mut random);
                at = at + seconds(pause / rate);
                if at >= end {
                    break;
                }
                requests.push(self.request(&mut random, at));
            }
        }
        requests
    }

    /// Draws one request.
    fn request(&self, random: &mut Pcg64Mcg, at: Time) -> Request {
        let normal = |random: &mut Pcg64Mcg| -> f64 { StandardNormal.sample(random) };
        let prompt = self.prompt_median * (PROMPT_SPREAD * normal(random)).exp();
        let mut prompt_tokens = prompt.clamp(16.0, MAX_PROMPT_TOKENS) as u32;
        let answer = self.answer_median * (ANSWER_SPREAD * normal(random)).exp();
        let length = answer.clamp(1.0, f64::from(self.max_tokens)) as u32;
        let mut prefix = Vec::new();
        if random.random_bool(COMMON_PREFIX_SHARE) {
            let common = random.random_range(0..COMMON_PREFIX_COUNT);
            prefix.extend((0..PREFIX_BLOCK_COUNT).map(|block| common * 1000 + block));
            prompt_tokens += BLOCK_TOKENS * PREFIX_BLOCK_COUNT as u32;
        }
        let mut draw = random.random::<f64>();
        let mut tenant = 0;
        while tenant + 1 < self.tenants.len() && draw > self.tenants[tenant].1 {
            draw -= self.tenants[tenant].1;
            tenant += 1;
        }
        Request {
            at,
            to: random.random_range(0..self.boxes),
            prompt_tokens,
            max_tokens: self.max_tokens,
            length,
            tenant,
            class: self.tenants[tenant].2,
            prefix,
        }
    }
}

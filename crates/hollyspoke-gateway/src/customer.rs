//! Customers of one configuration version: which keys they hold, and what requests with these keys
//! may do.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hollyspoke::quota::Limit;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::credential::KeyDigest;
use crate::region::AllowedRegions;
use crate::request::Request;

/// Short identifier of a customer: a hash of its name, the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CustomerKey(pub u64);

impl CustomerKey {
    /// Computes the key of a customer's name.
    pub fn of(name: &str) -> CustomerKey {
        CustomerKey(xxh3_64(name.as_bytes()))
    }
}

/// The unit in which a customer's limit is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Request,
    /// Tokens: those of the prompt and the maximum number of those of the answer.
    Token {
        /// Units charged for a request that does not state its tokens.
        plain: u64,
    },
}

impl Unit {
    /// Returns the units that a request is charged.
    pub fn of(self, request: &Request) -> u64 {
        match (self, request.prompt_tokens, request.max_answer_tokens) {
            (Unit::Request, ..) => 1,
            (Unit::Token { .. }, Some(prompt), Some(answer)) => prompt.saturating_add(answer),
            (Unit::Token { plain }, ..) => plain,
        }
    }
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its short identifier.
    pub key: CustomerKey,
    /// Its name, which is sent to engines.
    pub name: Arc<str>,
    /// Its priority, which takes precedence over the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// The unit of its limit.
    pub unit: Unit,
    /// Its limit over all boxes, if it has one.
    pub limit: Option<Limit>,
    /// The regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
    /// The digests of its API keys.
    pub credentials: Vec<KeyDigest>,
}

/// All customers of one configuration version.
#[derive(Debug, Clone, Default)]
pub struct Customers {
    /// The customers by the digests of their keys.
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    /// All customers, including those without a key.
    all: Vec<Arc<Customer>>,
}

impl Customers {
    /// Indexes customers by their keys. If two hold the same key, the first one gets it.
    pub fn new(customers: Vec<Customer>) -> Customers {
        let all: Vec<_> = customers.into_iter().map(Arc::new).collect();
        let mut by_key = HashMap::new();
        for customer in &all {
            for &digest in &customer.credentials {
                by_key.entry(digest).or_insert_with(|| customer.clone());
            }
        }
        Customers { by_key, all }
    }

    /// Finds the customer that holds a key.
    pub fn find_by_key(&self, key: KeyDigest) -> Option<&Arc<Customer>> {
        self.by_key.get(&key)
    }

    /// Iterates over all customers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.all.iter()
    }

    /// Returns the limits of the customers that have one.
    pub fn limits(&self) -> BTreeMap<CustomerKey, Limit> {
        self.all.iter().filter_map(|it| Some((it.key, it.limit?))).collect()
    }
}

/// The caller on whose behalf a request is sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no customers; credentials that clients send are meant for the engines.
    Unchecked,
    /// An unknown client, on a route that requires no key.
    Anonymous,
    /// The customer with this name.
    Customer(Arc<str>),
}

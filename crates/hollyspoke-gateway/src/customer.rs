//! Customers as one version of the configuration has them: who holds a key, and what may be asked
//! for with it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hollyspoke::quota::Limit;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::credential::KeyDigest;
use crate::region::Homes;
use crate::request::Request;

/// The short name of a customer: a hash of its name, the same on all boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CustomerKey(pub u64);

impl CustomerKey {
    /// Makes the key of a name.
    pub fn of(name: &str) -> CustomerKey {
        CustomerKey(xxh3_64(name.as_bytes()))
    }
}

/// What a customer's limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Request,
    /// The tokens of the prompt and the most of the answer.
    Token {
        /// What a request counts that tells no tokens.
        plain: u64,
    },
}

impl Unit {
    /// Gives what a request counts.
    pub fn of(self, request: &Request) -> u64 {
        match (self, request.prompt_tokens, request.max_answer_tokens) {
            (Unit::Request, ..) => 1,
            (Unit::Token { .. }, Some(prompt), Some(answer)) => prompt.saturating_add(answer),
            (Unit::Token { plain }, ..) => plain,
        }
    }
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Its short name.
    pub key: CustomerKey,
    /// Its name, which engines are told.
    pub name: Arc<str>,
    /// Its rank, which goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// What its limit counts.
    pub unit: Unit,
    /// Its limit over all boxes, if it has one.
    pub limit: Option<Limit>,
    /// Where its requests may be served.
    pub homes: Homes,
    /// The digests of its keys.
    pub credentials: Vec<KeyDigest>,
}

/// All customers of one version.
#[derive(Debug, Clone, Default)]
pub struct Customers {
    /// The customers by their keys.
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    /// All customers, also those without a key.
    all: Vec<Arc<Customer>>,
}

impl Customers {
    /// Makes the lookup of some customers. Of two that hold the same key the first has it.
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

    /// Goes over all customers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.all.iter()
    }

    /// Gives the limits of those that have one.
    pub fn limits(&self) -> BTreeMap<CustomerKey, Limit> {
        self.all.iter().filter_map(|it| Some((it.key, it.limit?))).collect()
    }
}

/// On whose behalf a request is sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no customers; what clients send as credentials is the engines' own.
    Unchecked,
    /// Nobody known, on a route that needs no key.
    Anonymous,
    /// The customer of a name.
    Customer(Arc<str>),
}

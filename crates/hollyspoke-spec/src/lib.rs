//! A small specification of the core protocol, independent of the code, for exhaustive search.
//!
//! It has six parts that share no state: keys, claims, grants, orders, stages, and configuration.
//! Each part has its own bounds (at most two boxes), and all its reachable states are searched.
//! Each part also has mutants, which omit one safeguard each; the search must find a
//! counterexample for every mutant.

pub mod claims;
pub mod configuration;
pub mod grants;
pub mod keys;
pub mod orders;
pub mod search;
pub mod stages;

/// The number of a box: 0 or 1.
pub type BoxId = usize;

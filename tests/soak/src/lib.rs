//! A soak of the whole system: real processes on one machine, faults from outside in an order that a
//! seed gives, and a judge that knows nothing but what clients, upstreams and the store have seen.
//!
//! The programs under test are `hollyspoke-node` processes as they are deployed. The store, the
//! engines and the plain services are stand-ins, each a process of its own; `docs/SOAK.md` tells
//! what is broken, what must hold, and which deliberate fault shows that each check can fail.

pub mod client;
pub mod cluster;
mod comeback;
pub mod faults;
pub mod harmful;
pub mod judge;
pub mod keys;
pub mod layout;
pub mod malformed;
pub mod mutant;
pub mod observation;
pub mod peering;
pub mod proxy;
pub mod report;
pub mod run;
pub mod schedule;
pub mod shrink;
pub mod standin;

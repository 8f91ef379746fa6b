//! Soak test of the whole system: real processes on one machine, a seeded schedule of injected
//! faults, and a judge that knows only what clients, upstreams and the store observed.
//!
//! The programs under test are `hollyspoke-node` processes as they are deployed. The store, the
//! engines and the plain services are stand-ins, each a process of its own. `docs/SOAK.md` lists
//! the faults, the promises, and the mutant that shows that each check can fail.

mod boundary;
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
pub mod own_run;
pub mod peering;
pub mod proxy;
pub mod report;
pub mod run;
pub mod schedule;
pub mod shrink;
pub mod standin;

//! Runs reducers in virtual time against small fakes: engines, plain services, the store, the
//! network between boxes, and callers.
//!
//! Property tests inject faults and check the guarantees after every step; the policy figures come
//! from the same fakes. Nothing here opens sockets, so it doesn't measure whole sites.

pub mod baseline;
pub mod bound;
pub mod engine;
pub mod ledger;
pub mod load;
pub mod network;
pub mod policy;
pub mod result;
pub mod store;
pub mod world;

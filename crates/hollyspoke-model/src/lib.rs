//! Reducers in virtual time against small fakes at their interface: engines, plain services, the
//! store, the network between boxes, and callers.
//!
//! Property tests drive it with faults and check the promises after every step; the policy
//! figures come from the same fakes. It is no bench for whole sites: nothing here has sockets.

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

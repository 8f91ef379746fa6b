//! Every decision of a gateway that forwards requests whole, as one reducer.
//!
//! [`gateway::Gateway::step`] takes an [`event::Event`] and gives [`effect::Effect`]s. The library
//! has no I/O, no runtime, no wall clock and no threads. A driver turns sockets, timers and store
//! answers into events and carries the effects out.
//!
//! Imports go one way: `route`, `engine` and `request` at the ground, with what engines say of
//! themselves (`statement`; `rate_limit`, `departure` and `rest` keep it, together `terms`); `message`,
//! `event` and `effect` above them; then one mechanism a file (`budget`, `health`, `load`, `directory`,
//! `member`, `placement`, `demand`, `ratio`, `evacuation`, `region`, `cold`, `permit`); `in_flight`
//! follows one request; `gateway` composes all.

pub mod budget;
pub mod cadence;
pub mod cold;
pub mod credential;
pub mod customer;
pub mod demand;
pub mod departure;
pub mod directory;
pub mod effect;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod gateway;
pub mod health;
pub mod in_flight;
pub mod load;
pub mod member;
pub mod message;
pub mod permit;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod rate_limit;
pub mod ratio;
pub mod region;
pub mod request;
pub mod rest;
pub mod route;
pub mod signature;
pub mod snapshot;
pub mod statement;
pub mod terms;

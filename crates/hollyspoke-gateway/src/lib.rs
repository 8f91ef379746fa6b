//! The decisions of a gateway that forwards requests to engines, as one reducer.
//!
//! [`gateway::Gateway::step`] takes an [`event::Event`] and returns [`effect::Effect`]s. The
//! library has no I/O, no runtime, no wall clock and no threads. A driver turns sockets, timers and
//! store answers into events and executes the effects.
//!
//! Imports are acyclic. `route`, `engine` and `request` import the least, with what engines report
//! about themselves (`statement`; `rate_limit`, `departure` and `back_off` store it, and `terms`
//! combines them). `message`, `event` and `effect` build on these. Then each mechanism has a module
//! (`budget`, `health`, `load`, `directory`, `member`, `placement`, `demand`, `ratio`,
//! `evacuation`, `region`, `cold`, `permit`, `pace`, `quarantine`). `in_flight` tracks one request, and
//! `gateway` combines everything.

pub mod admission;
pub mod appointment;
pub mod back_off;
pub mod budget;
pub mod cadence;
pub mod catch_up;
pub mod class;
pub mod cold;
pub mod contact;
pub mod credential;
pub mod customer;
pub mod deadline;
pub mod demand;
pub mod departure;
pub mod directory;
pub mod effect;
pub mod engine;
pub mod evacuation;
pub mod event;
pub mod features;
pub mod framing;
pub mod gateway;
pub mod health;
pub mod in_flight;
pub mod load;
pub mod member;
pub mod message;
pub mod migration;
pub mod numbering;
pub mod origin;
pub mod pace;
pub mod permit;
pub mod placement;
pub mod pool;
pub mod prompt;
pub mod proxy;
pub mod quarantine;
pub mod rate_limit;
pub mod ratio;
pub mod region;
pub mod request;
pub mod reservation;
pub mod route;
pub mod signature;
pub mod silence;
pub mod snapshot;
pub mod statement;
pub mod terms;
pub mod version;
pub mod work;

//! The decision logic of the router as one deterministic reducer: `step(now, event) -> effects`.
//!
//! The library has no I/O, no async runtime, no wall clock and no threads. A driver turns socket
//! input, timers and store responses into [`event::Event`]s, passes them to [`node::Node::step`],
//! and executes the returned [`effect::Effect`]s. Two nodes with equal settings that receive the
//! same events at the same times return the same effects.

pub mod address;
pub mod call;
pub mod claim;
pub mod config;
pub mod context;
pub mod effect;
pub mod event;
pub mod front;
pub mod generate;
pub mod handover;
pub mod health;
pub mod home;
pub mod key;
pub mod layout;
pub mod lease;
pub mod member;
pub mod message;
pub mod node;
pub mod orders;
pub mod outcome;
pub mod plain;
pub mod pool;
pub mod quota;
pub mod rank;
pub mod request;
pub mod retry;
pub mod silence;
pub mod site;
pub mod status;
pub mod store;
pub mod time;

//! The sockets, timers and tasks around the gateway's reducer. The decisions are made in the
//! reducer.
//!
//! A [`dialect::Dialect`] defines the protocols of clients, engines and the store; another platform
//! needs another dialect.

pub mod answer;
pub mod answer_memory;
pub mod body_memory;
pub mod client_stream;
pub mod cursor;
pub mod datagram;
pub mod delivery;
pub mod dialect;
pub mod directory;
pub mod event_reader;
pub mod event_stream;
pub mod flaw;
pub mod front;
pub mod guarded;
pub mod handover;
pub mod head_clock;
pub mod http1;
pub mod memory;
pub mod meter;
pub mod metrics;
pub mod node;
pub mod notes;
pub mod notice;
pub mod objects;
mod part_field;
pub mod peers;
pub mod proxy;
pub mod run;
pub mod settings;
mod software;
pub mod sync;
pub mod upstream;

//! The sockets, timers and tasks around the gateway's reducer. Nothing here decides.
//!
//! What clients, engines and the store speak is given by a [`dialect::Dialect`]; another platform
//! is another dialect.

pub mod answer;
pub mod datagram;
pub mod dialect;
pub mod directory;
pub mod front;
pub mod handover;
pub mod head_clock;
pub mod http1;
pub mod metrics;
pub mod node;
pub mod notes;
pub mod objects;
pub mod peers;
pub mod run;
pub mod settings;
pub mod splitter;
pub mod sync;
pub mod upstream;

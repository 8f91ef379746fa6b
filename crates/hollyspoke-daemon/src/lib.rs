//! The daemon of every box: runs the reducer, and turns sockets, timers and store answers into
//! events, and effects into calls. All decisions are made by the reducer.

pub mod callers;
pub mod connection;
pub use hollyspoke_log as log;
pub mod input;
pub mod metrics;
pub mod openai;
pub mod peers;
pub mod problem;
pub mod run;
pub mod settings;
pub mod shell;
pub mod store;
pub mod upstream;

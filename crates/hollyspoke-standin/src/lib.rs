//! Stand-ins for what the router meets outside itself: the platform's store, model engines and
//! plain services. They keep ledgers of what really happened to them, and fail when told to.

pub mod answer;
pub mod engine;
pub mod platform;
pub mod server;
pub mod service;

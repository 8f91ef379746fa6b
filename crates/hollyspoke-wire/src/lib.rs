//! The network formats and clients: messages between boxes, the interface of engines, the
//! platform's object interface, and the HTTP client for the last two.

pub mod caller;
pub mod checked;
pub mod engine;
pub mod http;
pub mod peer;
pub mod platform;

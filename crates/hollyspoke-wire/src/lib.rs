//! What crosses a socket: messages between boxes, the engines' interface, the platform's object
//! interface, and the HTTP client that carries the last two.

pub mod caller;
pub mod engine;
pub mod http;
pub mod peer;
pub mod platform;

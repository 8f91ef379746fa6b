//! Sockets of both daemons where ports or descriptors are short.

pub mod accept;
pub mod bind;
pub mod shortage;

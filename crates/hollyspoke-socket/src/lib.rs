//! Sockets of both daemons where ports or descriptors are short.

pub mod bind;

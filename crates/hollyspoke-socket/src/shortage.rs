//! The resources of the box that a socket needs.

use std::fmt::{Display, Formatter};
use std::io;

use nix::errno::Errno;

/// What the box lacks for another socket. The other end of a connection is not at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Shortage {
    /// The process or the machine has too many open files.
    Descriptors,
    /// No local port is free.
    Ports,
    /// The kernel has no memory for the socket.
    Memory,
}

impl Shortage {
    /// Returns the shortage behind an error of opening, binding or connecting a socket, if there is
    /// one. See connect(2) and accept(2).
    pub fn of(error: &io::Error) -> Option<Shortage> {
        match Errno::from_raw(error.raw_os_error()?) {
            Errno::EMFILE | Errno::ENFILE => Some(Shortage::Descriptors),
            Errno::EADDRINUSE | Errno::EADDRNOTAVAIL => Some(Shortage::Ports),
            Errno::ENOBUFS | Errno::ENOMEM => Some(Shortage::Memory),
            _ => None,
        }
    }

    /// Returns the name of the resource in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Shortage::Descriptors => "descriptors",
            Shortage::Ports => "ports",
            Shortage::Memory => "memory",
        }
    }
}

impl Display for Shortage {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "no {} left", self.name())
    }
}

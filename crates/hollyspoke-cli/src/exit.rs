//! The exit codes of the tool.

use std::process::ExitCode;

/// The outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed: a box was unreachable, or a request was rejected.
    Failed,
    /// The command line was invalid.
    Usage,
    /// The file has errors.
    Findings,
    /// Another operator's write was applied first.
    Conflict,
    /// It is unknown whether the write or request took effect.
    Unknown,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn number(self) -> u8 {
        match self {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Usage => 2,
            Exit::Findings => 3,
            Exit::Conflict => 4,
            Exit::Unknown => 5,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.number())
    }
}

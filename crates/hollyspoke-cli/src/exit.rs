//! The tool's exit codes.

use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Done,
    /// It failed: something could not be reached, or a request was refused.
    Failed,
    /// The command line was wrong.
    Usage,
    /// The file has mistakes.
    Findings,
    /// Another operator was first.
    Conflict,
    /// Nobody can tell whether it took effect.
    Unknown,
}

impl Exit {
    /// Gives the process's exit code.
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

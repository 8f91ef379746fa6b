//! The log: a line of JSON a record, or lines for a person.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// How records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A line of JSON a record.
    Json,
    /// Lines for a person.
    Terminal,
}

/// The records that may wait to be written before some are dropped; the drop is then logged.
const WAITING: usize = 4096;

/// Makes the log on standard error. The guard writes what waits when it is dropped.
pub fn make(form: Form, name: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match form {
        Form::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            slog_async::Async::new(drain).chan_size(WAITING).build_with_guard()
        }
        Form::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse();
            slog_async::Async::new(drain).chan_size(WAITING).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("box" => name.to_owned())), guard)
}

/// Makes a log that keeps nothing, for boxes inside another process.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

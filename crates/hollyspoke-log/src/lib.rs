//! The log: a line of JSON a record, or lines for a person.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// How records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// A line of JSON a record.
    Json,
    /// Lines for a person.
    Terminal,
}

/// The records that may wait to be written before some are dropped; the drop is then logged.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Makes the log on standard error. The guard writes what waits when it is dropped.
pub fn new_logger(format: Format, name: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match format {
        Format::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS).build_with_guard()
        }
        Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = Mutex::new(slog_term::FullFormat::new(decorator).build()).fuse();
            slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS).build_with_guard()
        }
    };
    (Logger::root(drain.fuse(), o!("box" => name.to_owned())), guard)
}

/// Makes a log that keeps nothing, for boxes inside another process.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

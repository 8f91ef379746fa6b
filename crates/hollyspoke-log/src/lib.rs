//! Logging, as JSON records or as readable lines.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// The output format of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One line of JSON per record.
    Json,
    /// Readable lines for a terminal.
    Terminal,
}

/// The maximum number of records waiting to be written. Further ones are dropped, and the drop is
/// logged.
const MAX_QUEUED_RECORDS: usize = 4096;

/// Creates a logger that writes to standard error. Dropping the guard writes all waiting records.
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

/// Creates a logger that discards all records, for boxes inside another process.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

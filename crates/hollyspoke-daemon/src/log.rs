//! The log: a line of JSON a record, or lines for a person.

use std::sync::Mutex;

use slog::{Drain, Logger, o};

use crate::settings::LogForm;

/// The records that may wait to be written before some are dropped; the drop is then logged.
const WAITING: usize = 4096;

/// Makes the log on standard error. The guard writes what waits when it is dropped.
pub fn make(form: LogForm, name: &str) -> (Logger, slog_async::AsyncGuard) {
    let (drain, guard) = match form {
        LogForm::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            slog_async::Async::new(drain).chan_size(WAITING).build_with_guard()
        }
        LogForm::Terminal => {
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

//! The daemon of every box.

#![expect(clippy::print_stdout, clippy::print_stderr, reason = "help and settings' findings")]

use std::process::ExitCode;

use hollyspoke_daemon::settings::{HELP, Settings};
use hollyspoke_daemon::{log, run};
use pico_args::Arguments;
use slog::info;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for an invalid setting.
const EXIT_SETTINGS: u8 = 2;

/// Reads the settings and runs the box until its planned stop, which a signal starts.
#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let settings = match Settings::read(arguments, &|name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in findings {
                eprintln!("{finding}");
            }
            return Ok(ExitCode::from(EXIT_SETTINGS));
        }
    };
    let (log, _guard) = log::new_logger(settings.log, &settings.name);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = run::start(settings, log.clone()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(log, "the planned stop begins");
    running.leave();
    running.wait().await;
    info!(log, "the planned stop is complete");
    Ok(ExitCode::SUCCESS)
}

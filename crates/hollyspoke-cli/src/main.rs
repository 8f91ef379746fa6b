//! The operators' command-line tool.

#![expect(clippy::print_stderr, reason = "errors go to standard error")]

use std::process::ExitCode;

use hollyspoke_cli::command;
use hollyspoke_cli::exit::Exit;
use pico_args::Arguments;

/// Runs the command line and exits with its code.
#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match command::run(Arguments::from_env(), &mut std::io::stdout()).await {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{error:#}");
            Exit::Failed.into()
        }
    }
}

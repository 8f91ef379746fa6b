//! Runs one stand-in as a process: `hollyspoke-standin platform|engine|service`.
//!
//! It prints one line of JSON, `{"listening":"<address>"}`, and serves until the process ends.

#![expect(clippy::print_stdout, clippy::print_stderr, reason = "the address, help and mistakes")]

use std::process::ExitCode;
use std::time::Duration;

use axum::Router;
use eyre::{WrapErr, bail};
use hollyspoke_standin::engine::{Engine, Settings};
use hollyspoke_standin::platform::Platform;
use hollyspoke_standin::service::Service;
use pico_args::Arguments;
use tokio::net::TcpListener;

/// The exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// The text that `--help` prints.
const HELP: &str = "\
hollyspoke-standin: stands in for the platform, an engine or a plain service

Usage: hollyspoke-standin platform|engine|service [--listen ADDRESS]

  --listen ADDRESS                 where to listen; a free port of 127.0.0.1 if not given
  --memory-tokens N                an engine's memory
  --prefill-tokens-per-second N    an engine's rate of reading
  --token-ms N                     an engine's time a token
  --orders checked|unchecked       whether an engine takes orders, and compares their tokens
  -h, --help                       prints this text
";

/// Prints the help, or runs a stand-in and reports its error.
#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match serve(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Serves the stand-in that the arguments select.
async fn serve(mut arguments: Arguments) -> eyre::Result<()> {
    let kind = arguments.subcommand()?;
    let listen: Option<String> = arguments.opt_value_from_str("--listen")?;
    let router = match kind.as_deref() {
        Some("platform") => Platform::default().router(),
        Some("engine") => engine(&mut arguments)?,
        Some("service") => Service::default().router(),
        Some(other) => bail!("`{other}` is not platform, engine or service"),
        None => bail!("name one of platform, engine and service"),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments: {rest:?}");
    }
    let listen = listen.unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let listener = TcpListener::bind(&listen).await.wrap_err("can't listen")?;
    println!(r#"{{"listening":"{}"}}"#, listener.local_addr()?);
    axum::serve(listener, router).await.wrap_err("the server stopped")
}

/// Returns the router of an engine with the settings from the arguments.
fn engine(arguments: &mut Arguments) -> eyre::Result<Router> {
    let mut settings = Settings::default();
    if let Some(tokens) = arguments.opt_value_from_str("--memory-tokens")? {
        settings.memory_tokens = tokens;
    }
    if let Some(rate) = arguments.opt_value_from_str("--prefill-tokens-per-second")? {
        settings.prefill_rate = rate;
    }
    if let Some(millis) = arguments.opt_value_from_str("--token-ms")? {
        settings.token_time = Duration::from_millis(millis);
    }
    let orders: Option<String> = arguments.opt_value_from_str("--orders")?;
    settings.orders = match orders.as_deref() {
        None => None,
        Some("checked") => Some(true),
        Some("unchecked") => Some(false),
        Some(other) => bail!("--orders is `checked` or `unchecked`, not `{other}`"),
    };
    Ok(Engine::new(settings).router())
}

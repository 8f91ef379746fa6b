//! The quickstart: an embedded platform, two prefill and two decode engines and two boxes in one
//! process. It applies a site file, sends one request, prints the response as it streams, and shows
//! which engines served it.

#![expect(clippy::print_stdout, reason = "the quickstart shows what it does")]

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{bail, ensure};
use hollyspoke_cli::apply::{self, Applied};
use hollyspoke_cli::call::{self, Content};
use hollyspoke_cli::caller::Caller;
use hollyspoke_cli::exit::Exit;
use hollyspoke_cli::show;
use hollyspoke_daemon::run::{self, Running as Daemon};
use hollyspoke_daemon::settings::{LogForm, Settings};
use hollyspoke_standin::engine::{Engine, Settings as EngineSettings};
use hollyspoke_standin::platform::Platform as PlatformStandin;
use hollyspoke_standin::server::Running;
use hollyspoke_wire::http::Client;
use hollyspoke_wire::platform::Platform;

/// The names and roles of the engines.
const ENGINES: [(&str, &str); 4] = [
    ("prefill-1", "prefill"),
    ("prefill-2", "prefill"),
    ("decode-1", "decode"),
    ("decode-2", "decode"),
];

/// The timeout for the boxes to put the file in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);

/// A running engine of the quickstart.
struct Started {
    /// The name of the engine.
    name: &'static str,
    /// Its role.
    role: &'static str,
    /// The engine, which counts its work.
    engine: Engine,
    /// The server that it listens with.
    server: Running,
}

/// Runs the quickstart.
#[tokio::main]
async fn main() -> eyre::Result<()> {
    let platform = Running::start(PlatformStandin::default().router()).await?;
    let engines = start_engines().await?;
    let first = start_box("box-1", platform.address, None).await?;
    let second = start_box("box-2", platform.address, Some(first.peers)).await?;
    let text = site_file(&engines);
    println!("the site file:\n{text}");
    let client = Client::new();
    let store = Platform::new(client.clone(), platform.address.to_string());
    let Applied::Accepted { version } = apply::apply(&store, "quickstart", &text, None).await
    else {
        bail!("the file was not accepted");
    };
    let boxes = wait_in_force(&client, first.callers, version).await?;
    println!("accepted as version {version}, in force at {boxes} boxes\n");
    let mut caller = Caller::new("quickstart", vec![first.callers.to_string()]);
    let content = Content::Generate {
        model: "demo-8b".to_owned(),
        prompt: "Which seat is mine, and where do I find the press?".to_owned(),
        max_tokens: 24,
    };
    println!("the answer:");
    let exit = call::call(&mut caller, &content, false, Vec::new(), &mut std::io::stdout()).await?;
    ensure!(exit == Exit::Done, "the request was not answered");
    println!("\nthe engines' own ledgers:");
    for started in &engines {
        let ledger = started.engine.ledger();
        println!(
            "  {:<10} {} prefills, {} decodes, {} tokens of memory held",
            started.name, ledger.prefills, ledger.decodes, ledger.used_tokens
        );
    }
    second.leave();
    first.leave();
    second.wait().await;
    first.wait().await;
    println!("\nboth boxes have stopped as planned");
    Ok(())
}

/// Starts all engines.
async fn start_engines() -> eyre::Result<Vec<Started>> {
    let mut engines = Vec::new();
    for (name, role) in ENGINES {
        let settings =
            EngineSettings { token_time: Duration::from_millis(20), ..EngineSettings::default() };
        let engine = Engine::new(settings);
        let server = Running::start(engine.router()).await?;
        engines.push(Started { name, role, engine, server });
    }
    Ok(engines)
}

/// Starts a box with its own settings.
async fn start_box(
    name: &str,
    platform: SocketAddr,
    seed: Option<SocketAddr>,
) -> eyre::Result<Daemon> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = Settings {
        name: name.to_owned(),
        data_centre: "here".to_owned(),
        site: "quickstart".to_owned(),
        platform,
        listen: any,
        listen_peers: any,
        advertise: None,
        advertise_peers: None,
        seeds: seed.into_iter().collect(),
        body_limit: 1024 * 1024,
        log: LogForm::Json,
    };
    run::start(settings, hollyspoke_daemon::log::discard()).await
}

/// Builds the text of the site file.
fn site_file(engines: &[Started]) -> String {
    let mut text = String::from(
        "site = \"quickstart\"\n\
         data_centres = [\"here\"]\n\n\
         [[model]]\nname = \"demo-8b\"\nkv_bytes_per_token = 131072\n\n\
         [[service]]\nname = \"demo\"\nkind = \"engines\"\nmodel = \"demo-8b\"\n",
    );
    for engine in engines {
        text.push_str(&format!(
            "\n[[engine]]\nname = \"{}\"\nservice = \"demo\"\ndata_centre = \"here\"\n\
             address = \"{}\"\nrole = \"{}\"\nmemory_tokens = 64000\n\
             prefill_tokens_per_second = 20000\ntoken_ms = 20\n",
            engine.name, engine.server.address, engine.role
        ));
    }
    text
}

/// Waits until a version is in force at both boxes and returns the number of boxes.
async fn wait_in_force(client: &Client, first: SocketAddr, version: u64) -> eyre::Result<usize> {
    let started = tokio::time::Instant::now();
    while started.elapsed() < IN_FORCE_TIMEOUT {
        let answers = show::fetch_all(client, &first.to_string()).await?;
        let in_force = |it: &show::BoxAnswer| {
            it.status.as_ref().is_some_and(|status| status.site_version >= version)
        };
        if answers.len() == 2 && answers.iter().all(in_force) {
            return Ok(answers.len());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bail!("the file did not come into force in {IN_FORCE_TIMEOUT:?}")
}

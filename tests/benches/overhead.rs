//! The daemon's overhead for each request: a plain call through a box, and the same call straight
//! to the same stand-in, by the same client, in one run.

use std::net::SocketAddr;
use std::time::Duration;

use criterion::Criterion;
use hollyspoke_cli::apply;
use hollyspoke_daemon::run;
use hollyspoke_daemon::settings::{LogForm, Settings};
use hollyspoke_standin::platform::Platform as PlatformStandin;
use hollyspoke_standin::server::Running;
use hollyspoke_standin::service::Service;
use hollyspoke_wire::http::Client;
use hollyspoke_wire::platform::Platform;
use serde_json::Value;

/// Writes the site file.
fn file(service: SocketAddr) -> String {
    format!(
        "site = \"bench\"\ndata_centres = [\"here\"]\n\
         [[service]]\nname = \"s\"\nkind = \"plain\"\nprefix = \"/s\"\nrepeatable = true\n\
         [[upstream]]\nname = \"s-1\"\nservice = \"s\"\ndata_centre = \"here\"\naddress = \"{service}\"\n"
    )
}

/// Measures both ways.
fn main() -> eyre::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let (platform, service, daemon) = runtime.block_on(async {
        let platform = Running::start(PlatformStandin::default().router()).await?;
        let service = Running::start(Service::default().router()).await?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = Settings {
            name: "box".to_owned(),
            data_centre: "here".to_owned(),
            site: "bench".to_owned(),
            platform: platform.address,
            listen: any,
            listen_peers: any,
            advertise: None,
            advertise_peers: None,
            seeds: Vec::new(),
            body_limit: 1024 * 1024,
            log: LogForm::Json,
        };
        let daemon = run::start(settings, hollyspoke_daemon::log::discard()).await?;
        let store = Platform::new(Client::new(), platform.address.to_string());
        apply::apply(&store, "bench", &file(service.address), None).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        eyre::Ok((platform, service, daemon))
    })?;
    let mut criterion = Criterion::default()
        .configure_from_args()
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(4));
    let client = Client::new();
    for (name, address) in [("straight", service.address), ("through a box", daemon.callers)] {
        let url = format!("http://{address}/s/x");
        criterion.bench_function(name, |bench| {
            bench.iter(|| {
                runtime.block_on(client.get::<Value>(&url)).expect("the call is answered")
            });
        });
    }
    criterion.final_summary();
    drop((platform, service, daemon));
    Ok(())
}

//! What operators see: metrics with few labels, and one record a request.

use hollyspoke_tests::cluster::{Cluster, Plan};
use hollyspoke_tests::request::CallerRequest;
use http::Method;

/// Histograms for tenant and class; tenants that the file does not name share one label.
#[tokio::test]
async fn labels_and_records() -> eyre::Result<()> {
    let more = "\n[[tenant]]\nname = \"counters\"\n".to_owned();
    let cluster = Cluster::start(Plan { boxes: 1, more, ..Plan::default() }).await?;
    let address = cluster.boxes[0].address();
    for tenant in ["counters", "unknown-1", "unknown-2"] {
        let sending = CallerRequest::generate("a", 5, false).header("hollyspoke-tenant", tenant);
        assert!(sending.send(address).await.is_answer());
    }
    let metrics = CallerRequest {
        method: Method::GET,
        path: "/metrics".to_owned(),
        headers: Vec::new(),
        body: String::new(),
    };
    let hollyspoke_tests::request::CallerResponse::Answer { body, .. } =
        metrics.send(address).await
    else {
        panic!("no metrics");
    };
    let counts: Vec<&str> = body
        .lines()
        .filter(|it| it.starts_with("hollyspoke_first_token") && it.contains("_count"))
        .collect();
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.iter().any(|it| it.contains("counters") && it.ends_with(" 1")), "{counts:?}");
    assert!(counts.iter().any(|it| it.contains("other") && it.ends_with(" 2")), "{counts:?}");
    let records = cluster.boxes[0].process.lines();
    let requests = records.iter().filter(|it| it.contains("\"msg\":\"request\"")).count();
    assert_eq!(requests, 3, "one record a request");
    Ok(())
}

/// A box that has no configuration is healthy and not ready.
#[tokio::test]
async fn health_and_readiness() -> eyre::Result<()> {
    let cluster = Cluster::start(Plan { boxes: 1, ..Plan::default() }).await?;
    let get = |path: &str| CallerRequest {
        method: Method::GET,
        path: path.to_owned(),
        headers: Vec::new(),
        body: String::new(),
    };
    let address = cluster.boxes[0].address();
    assert!(get("/readyz").send(address).await.is_answer());
    let arguments = ["--name", "new", "--site", "none", "--data-centre", "north", "--platform"];
    let mut arguments: Vec<String> = arguments.map(str::to_owned).into();
    arguments.push(cluster.platform.address.clone());
    let (process, ..) = hollyspoke_tests::process::Process::daemon(&arguments)?;
    assert!(get("/healthz").send(&process.address).await.is_answer());
    assert!(!get("/readyz").send(&process.address).await.is_answer());
    let refused = CallerRequest::generate("a", 5, false).send(&process.address).await;
    assert_eq!(refused.slug(), "unavailable", "{refused:?}");
    Ok(())
}

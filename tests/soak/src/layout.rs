//! The layout of a run: addresses and ports, the boxes' settings, and the versions of the
//! configuration.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use eyre::WrapErr;
use serde_json::{Value, json};

use crate::client::HOST_NAME;
use crate::keys::{TOLERANCE, customers};
use crate::mutant::Mutant;
use crate::standin::engine;

/// The ports of a box, the same on all boxes.
pub(crate) const PORTS: Ports = Ports {
    front: 8149,
    ready: 8141,
    directory: 8143,
    peers: 7380,
    announced: 7381,
    proxies: 7382,
    metrics: 9464,
};

/// The data centres that boxes and upstreams are spread over.
pub(crate) const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// The memory of an engine that is never short, in tokens.
const AMPLE_TOKENS: u64 = 60_000;

/// The memory of an engine that holds few requests at a time, in tokens.
const SHORT_TOKENS: u64 = 8000;

/// The latency objective of all routes, in milliseconds.
pub(crate) const TARGET_LATENCY_MS: u64 = 900;

/// The maximum pause between two events of a stream, in milliseconds.
pub(crate) const GAP_TARGET_MS: u64 = 300;

/// What differs between the sites of seeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// The boxes that have the mechanisms for overload and for uneven engines.
    pub features: Features,
    /// The memory of an engine, in tokens.
    pub memory_tokens: u64,
}

/// The boxes that have all mechanisms switched on; the others have none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Features {
    /// All boxes.
    Everywhere,
    /// Every second box.
    EverySecond,
    /// No box.
    Nowhere,
}

impl Site {
    /// Returns the site of a seed.
    pub fn of(seed: u64, mutant: Option<Mutant>) -> Site {
        if mutant.is_some() {
            return Site { features: Features::Everywhere, memory_tokens: AMPLE_TOKENS };
        }
        let features = match seed % 5 {
            0 => Features::Nowhere,
            1 => Features::EverySecond,
            _ => Features::Everywhere,
        };
        let is_short = seed.is_multiple_of(2);
        Site { features, memory_tokens: if is_short { SHORT_TOKENS } else { AMPLE_TOKENS } }
    }
}

impl Features {
    /// Returns whether a box has the mechanisms.
    fn has(self, index: usize) -> bool {
        match self {
            Features::Everywhere => true,
            Features::EverySecond => index.is_multiple_of(2),
            Features::Nowhere => false,
        }
    }
}

/// The ports of a box by purpose.
pub(crate) struct Ports {
    /// For clients' requests.
    pub(crate) front: u16,
    /// For the platform's readiness check.
    pub(crate) ready: u16,
    /// For clients that request the address list.
    pub(crate) directory: u16,
    /// The port it listens on for other boxes.
    pub(crate) peers: u16,
    /// The port that other boxes are told to use.
    pub(crate) announced: u16,
    /// For requests that other boxes pass on.
    pub(crate) proxies: u16,
    /// For metrics.
    pub(crate) metrics: u16,
}

/// Returns the path of the route that exists only in this version.
pub fn version_path(version: u64) -> String {
    format!("/v{version}/x")
}

/// Creates a version of the configuration.
pub(crate) fn configuration(version: u64, site: Site, mutant: Option<Mutant>) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, resumable: bool| {
        json!({"name": prefix, "host": HOST_NAME, "pathPrefix": format!("/{prefix}/"),
            "routeType": kind, "timeoutMs": 5000, "targetLatencyMs": TARGET_LATENCY_MS,
            "priority": 1, "service": service, "maxAttempts": 2, "resumable": resumable,
            "gapTargetMs": GAP_TARGET_MS})
    };
    let routes = [
        route("safe", "safe", "plain", false),
        route("unsafe", "unsafe", "plain", false),
        route("once", "stream", "model", false),
        route("resumed", "stream", "model", true),
        route(&format!("v{version}"), "safe", "plain", false),
    ];
    let engine = json!({"slots": engine::SLOTS, "kvTokens": site.memory_tokens,
        "tokenKvBytes": 18432, "linkMbps": 350_000.0, "handleTtlS": 0.5, "roleSwitchS": 1.5,
        "holdMs": engine::MAX_TTL.as_millis() as u64, "moves": true, "backups": true});
    let services = json!([
        {"name": "plain", "healthPath": "/health", "maxConnections": 100},
        {"name": "model", "healthPath": "/health", "maxConnections": 100, "engine": engine},
    ]);
    let header_ms = if mutant == Some(Mutant::AwaitsHeads) { 60_000 } else { 3000 };
    let limits = json!({"maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
        "headerTimeoutMs": header_ms, "idleTimeoutMs": 15000});
    json!({"version": version, "routes": routes, "services": services, "limits": limits,
        "tenants": customers(version, mutant)})
}

/// Returns a box's loopback address, which differs between concurrent runs.
pub(crate) fn ip(index: usize) -> Ipv4Addr {
    let run = std::process::id();
    let second = 16 + run % 200;
    let third = run / 200 % 200 + index as u32 / 250;
    Ipv4Addr::new(127, second as u8, third as u8, (index % 250 + 1) as u8)
}

/// Creates the settings file of a box.
pub(crate) fn settings_text(
    index: usize,
    seeds: &[SocketAddr],
    store: SocketAddr,
    site: Site,
    mutant: Option<Mutant>,
) -> eyre::Result<String> {
    let at = |port: u16| SocketAddr::from((ip(index), port)).to_string();
    let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
    let is_free = mutant == Some(Mutant::RepeatsFreely);
    let (ratio, allowance) = if is_free { (10.0, 1e6) } else { (0.2, 50.0) };
    let has = site.features.has(index);
    let sections = HashMap::from([
        (
            "box",
            json!({"name": format!("box-{index}"), "seeds": seeds,
                "data_centre": DATA_CENTRES[index % DATA_CENTRES.len()]}),
        ),
        (
            "listen",
            json!({"front": at(PORTS.front), "ready": at(PORTS.ready), "peer_port": PORTS.peers,
                "proxy_port": PORTS.proxies, "peer_announced_port": PORTS.announced, "directory": at(PORTS.directory), "metrics": at(PORTS.metrics)}),
        ),
        ("store", json!({"address": store.to_string()})),
        (
            "features",
            json!({"reservations": has, "priorities": has, "admission": has, "appointments": has,
                "pace": has, "migration": has, "backups": has}),
        ),
        (
            "bounds",
            json!({"retry_ratio": ratio, "retry_allowance": allowance, "retry_window_s": 10.0,
                "grace_s": 8.0, "order_pause_ms": 3000.0,
                "quota_window_s": TOLERANCE.window.as_secs_f64(),
                "quota_overrun": TOLERANCE.overrun, "quota_slack": TOLERANCE.slack}),
        ),
    ]);
    toml::to_string(&sections).wrap_err("the settings can't be written")
}

//! The settings of one box: a TOML file whose findings are gathered and reported together.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::Path;
use std::time::Duration;

use hollyspoke::quota::Tolerance;
use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::gateway::Sharing;
use hollyspoke_gateway::region::Regions;
use serde::Deserialize;

/// The file as it is written.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct File {
    /// This box.
    #[serde(rename = "box")]
    pub node: NodeSection,
    /// The region of each data centre; without one all are taken to lie together.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Where this box listens.
    pub listen: ListenSection,
    /// The platform's store.
    pub store: StoreSection,
    /// The bounds that are kept.
    #[serde(default)]
    pub bounds: BoundsSection,
}

/// This box.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct NodeSection {
    /// The box's name, for logs.
    pub name: String,
    /// The box's data centre.
    pub data_centre: String,
    /// Addresses of some other boxes; of each only the IP counts.
    #[serde(default)]
    pub seeds: Vec<String>,
}

/// Where the box listens.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct ListenSection {
    /// For clients.
    pub front: String,
    /// For the platform's question whether the box is ready.
    pub ready: String,
    /// For clients that ask for addresses.
    pub directory: String,
    /// For whoever reads the metrics, if anybody.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The port for other boxes, the same on all boxes.
    pub peer_port: u16,
    /// The port at which other boxes reach this one, if it is another: something that stands before
    /// it passes on what comes there. The same on all boxes.
    #[serde(default)]
    pub peer_announced_port: Option<u16>,
}

/// The store.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct StoreSection {
    /// Where it listens.
    pub address: String,
}

/// The bounds.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(default)]
pub struct BoundsSection {
    /// Repeats allowed for each request.
    pub retry_ratio: f64,
    /// Repeats allowed beside the ratio, over all boxes.
    pub retry_allowance: f64,
    /// The span over which both are counted, in seconds.
    pub retry_window_s: f64,
    /// How long a stopped process may take to end, in seconds.
    pub grace_s: f64,
    /// The least time between orders of two boxes to one engine, in milliseconds.
    pub order_pause_ms: f64,
    /// How long an engine that says that it leaves goes on serving, in milliseconds; 0 if that is not
    /// to be counted on.
    pub drain_ms: f64,
    /// The span over which customers' sums are bounded, in seconds.
    pub quota_window_s: f64,
    /// The share of a customer's limit by which its sum may exceed it.
    pub quota_overrun: f64,
    /// The units by which a customer's sum may exceed its limit beside that share.
    pub quota_slack: f64,
    /// How boxes share customers' limits.
    pub quota_sharing: SharingSetting,
    /// How many boxes share customers' limits, if that is known.
    pub quota_boxes: Option<NonZeroUsize>,
}

/// How boxes share customers' limits.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum SharingSetting {
    /// Each has an equal part.
    Parts,
    /// Each tells the others what it lets through.
    Totals,
}

impl Default for BoundsSection {
    fn default() -> BoundsSection {
        BoundsSection {
            retry_ratio: 0.1,
            retry_allowance: 10.0,
            retry_window_s: 10.0,
            grace_s: 8.0,
            order_pause_ms: 3000.0,
            drain_ms: 0.0,
            quota_window_s: 8.0,
            quota_overrun: 0.1,
            quota_slack: 0.0,
            quota_sharing: SharingSetting::Totals,
            quota_boxes: None,
        }
    }
}

/// One setting that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The setting's name.
    pub setting: String,
    /// What is wrong with it.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.setting, self.message)
    }
}

/// The settings, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The box's name, for logs.
    pub name: String,
    /// The box's data centre.
    pub data_centre: String,
    /// The regions of all data centres.
    pub regions: Regions,
    /// Where the box listens for clients.
    pub front: SocketAddr,
    /// Where the box tells whether it is ready.
    pub ready: SocketAddr,
    /// Where the box tells clients which addresses to use.
    pub directory: SocketAddr,
    /// Where the box gives its metrics, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where the box listens for other boxes.
    pub peer: SocketAddr,
    /// Where other boxes reach this one, if not there.
    pub announced_peer: Option<SocketAddr>,
    /// Where some other boxes listen for other boxes.
    pub seeds: Vec<SocketAddr>,
    /// Where the store listens.
    pub store: SocketAddr,
    /// How often requests may be sent to a second engine.
    pub bound: Bound,
    /// How long a stopped process may take to end.
    pub grace: Duration,
    /// The least time between orders of two boxes to one engine.
    pub order_pause: Duration,
    /// How long an engine that says that it leaves goes on serving.
    pub drain: Duration,
    /// How exactly customers' limits are kept.
    pub tolerance: Tolerance,
    /// How boxes share customers' limits.
    pub sharing: Sharing,
    /// How many boxes share them, if that is known.
    pub boxes: Option<usize>,
}

/// The checks so far.
#[derive(Default)]
struct Checker {
    /// What is wrong.
    findings: Vec<Finding>,
}

impl Settings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn read(path: &Path) -> Result<Settings, Vec<Finding>> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![Finding { setting: path.display().to_string(), message: error.to_string() }]
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Settings, Vec<Finding>> {
        let file: File = toml::from_str(text).map_err(|error| {
            vec![Finding { setting: "file".to_owned(), message: error.to_string() }]
        })?;
        let mut checker = Checker::default();
        let front = checker.address("listen.front", &file.listen.front);
        let ready = checker.address("listen.ready", &file.listen.ready);
        let directory = checker.address("listen.directory", &file.listen.directory);
        let metrics = file.listen.metrics.as_ref();
        let metrics = metrics.map(|it| checker.address("listen.metrics", it));
        let store = checker.address("store.address", &file.store.address);
        let seeds = file.node.seeds.iter().filter(|it| !it.is_empty());
        let seeds: Vec<_> = seeds.map(|it| checker.address("box.seeds", it)).collect();
        let bounds = &file.bounds;
        let ratio = checker.not_negative("bounds.retry_ratio", bounds.retry_ratio);
        let allowance = checker.not_negative("bounds.retry_allowance", bounds.retry_allowance);
        let window = checker.not_negative("bounds.retry_window_s", bounds.retry_window_s);
        let grace = checker.not_negative("bounds.grace_s", bounds.grace_s);
        let order_pause = checker.not_negative("bounds.order_pause_ms", bounds.order_pause_ms);
        let drain = checker.not_negative("bounds.drain_ms", bounds.drain_ms);
        let quota_window = checker.not_negative("bounds.quota_window_s", bounds.quota_window_s);
        let tolerance = Tolerance {
            window: Duration::from_secs_f64(quota_window),
            overrun: checker.not_negative("bounds.quota_overrun", bounds.quota_overrun),
            slack: checker.not_negative("bounds.quota_slack", bounds.quota_slack),
        };
        if !checker.findings.is_empty() {
            return Err(checker.findings);
        }
        let port = file.listen.peer_port;
        let announced_port = file.listen.peer_announced_port;
        let seed_port = announced_port.unwrap_or(port);
        Ok(Settings {
            name: file.node.name,
            data_centre: file.node.data_centre,
            regions: Regions::new(
                file.regions
                    .into_iter()
                    .map(|(data_centre, region)| (data_centre.into(), region.into())),
            ),
            front,
            ready,
            directory,
            metrics,
            peer: SocketAddr::new(front.ip(), port),
            announced_peer: announced_port.map(|it| SocketAddr::new(front.ip(), it)),
            seeds: seeds.into_iter().map(|it| SocketAddr::new(it.ip(), seed_port)).collect(),
            store,
            bound: Bound { ratio, allowance, window: Duration::from_secs_f64(window) },
            grace: Duration::from_secs_f64(grace),
            order_pause: Duration::from_secs_f64(order_pause / 1e3),
            drain: Duration::from_secs_f64(drain / 1e3),
            tolerance,
            sharing: match bounds.quota_sharing {
                SharingSetting::Parts => Sharing::Parts,
                SharingSetting::Totals => Sharing::Totals,
            },
            boxes: bounds.quota_boxes.map(NonZeroUsize::get),
        })
    }
}

impl Checker {
    /// Reads an address; a placeholder stands in for one that is wrong.
    fn address(&mut self, setting: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            let message = format!("`{text}` is not IP:PORT");
            self.findings.push(Finding { setting: setting.to_owned(), message });
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Checks a number that may not be negative.
    fn not_negative(&mut self, setting: &str, value: f64) -> f64 {
        if value.is_finite() && (0.0..1e9).contains(&value) {
            return value;
        }
        let message = format!("{value} is not a number from 0 up");
        self.findings.push(Finding { setting: setting.to_owned(), message });
        0.0
    }
}

//! The settings of one box: a TOML file. All errors in it are collected and reported together.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::Path;
use std::time::Duration;

use hollyspoke::quota::Tolerance;
use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::Sharing;
use hollyspoke_gateway::region::Regions;
use serde::Deserialize;

use crate::memory::DEFAULT_MEMORY_BYTES;

/// The settings file as it is parsed.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct File {
    /// This box.
    #[serde(rename = "box")]
    pub node: NodeSection,
    /// The region of each data centre. Without any entry, all data centres are treated as one
    /// region.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The addresses at which this box listens.
    pub listen: ListenSection,
    /// The platform's store.
    pub store: StoreSection,
    /// What the process may use.
    #[serde(default)]
    pub limits: LimitsSection,
    /// The limits of the box's behaviour.
    #[serde(default)]
    pub bounds: BoundsSection,
    /// The mechanisms for overload and for uneven engines.
    #[serde(default)]
    pub features: Features,
}

/// The settings of this box itself.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct NodeSection {
    /// The box's name, for logs.
    pub name: String,
    /// The box's data centre.
    pub data_centre: String,
    /// The addresses of some other boxes; only their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Whether the whole system starts for the first time, so that no box has ever run before.
    #[serde(default)]
    pub first_start: bool,
}

/// The addresses at which the box listens.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct ListenSection {
    /// The address for clients' requests.
    pub front: String,
    /// The address for the platform's readiness check.
    pub ready: String,
    /// The address for clients that ask for addresses.
    pub directory: String,
    /// The address for reading the metrics; none if they are not served.
    #[serde(default)]
    pub metrics: Option<String>,
    /// The port for other boxes, the same on all boxes.
    pub peer_port: u16,
    /// The port at which other boxes pass requests on that they can't serve, the same on all boxes;
    /// none if this box accepts none.
    #[serde(default)]
    pub proxy_port: Option<u16>,
    /// The port at which other boxes reach this one, if it differs: a proxy in front of the box
    /// forwards what is sent there. The same on all boxes.
    #[serde(default)]
    pub peer_announced_port: Option<u16>,
}

/// The settings of the store.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct StoreSection {
    /// The store's address.
    pub address: String,
}

/// What the process may use.
#[derive(Debug, Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct LimitsSection {
    /// The memory, in megabytes of 2^20 bytes; 128 if unknown.
    pub memory_mb: Option<NonZeroUsize>,
}

/// The limits of a box's behaviour.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(default)]
pub struct BoundsSection {
    /// The number of retries allowed per request.
    pub retry_ratio: f64,
    /// The number of retries allowed in addition to the ratio, over all boxes.
    pub retry_allowance: f64,
    /// The window over which both are counted, in seconds.
    pub retry_window_s: f64,
    /// How long a process may take to end after it is told to stop, in seconds.
    pub grace_s: f64,
    /// The minimum interval between orders of two boxes to one engine, in milliseconds.
    pub order_pause_ms: f64,
    /// How long an engine continues to serve after it reports that it is shutting down, in
    /// milliseconds; 0 if this can't be relied on.
    pub drain_ms: f64,
    /// The window over which customers' totals are bounded, in seconds.
    pub quota_window_s: f64,
    /// The share of a customer's limit by which the customer's total may exceed it.
    pub quota_overrun: f64,
    /// The number of units by which a customer's total may exceed its limit in addition to that
    /// share.
    pub quota_slack: f64,
    /// How boxes share customers' limits.
    pub quota_sharing: SharingSetting,
    /// The number of boxes that share customers' limits; none if unknown.
    pub quota_boxes: Option<NonZeroUsize>,
}

/// How boxes share customers' limits.
#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum SharingSetting {
    /// Each box has an equal part of the limit.
    Parts,
    /// Each box announces to the others how much it has admitted.
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

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The setting's name.
    pub setting: String,
    /// A description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.setting, self.message)
    }
}

/// The settings after they have been checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The box's name, for logs.
    pub name: String,
    /// The box's data centre.
    pub data_centre: String,
    /// The regions of the data centres.
    pub regions: Regions,
    /// The address for clients' requests.
    pub front: SocketAddr,
    /// The address for readiness checks.
    pub ready: SocketAddr,
    /// The address for clients that ask for addresses.
    pub directory: SocketAddr,
    /// The address for reading the metrics; none if they are not served.
    pub metrics: Option<SocketAddr>,
    /// The address at which the box listens for other boxes.
    pub peer: SocketAddr,
    /// The address at which it accepts requests that other boxes pass on; none if it accepts none.
    pub proxy: Option<SocketAddr>,
    /// The address at which other boxes reach this one, if it differs.
    pub announced_peer: Option<SocketAddr>,
    /// The addresses at which some other boxes listen for boxes.
    pub seeds: Vec<SocketAddr>,
    /// Whether no box has ever run before.
    pub is_first_start: bool,
    /// The store's address.
    pub store: SocketAddr,
    /// The limit of how often requests may be sent to a second engine.
    pub bound: Bound,
    /// How long a process may take to end after it is told to stop.
    pub grace: Duration,
    /// The minimum interval between orders of two boxes to one engine.
    pub order_pause: Duration,
    /// How long an engine continues to serve after it reports that it is shutting down.
    pub drain: Duration,
    /// The tolerance within which customers' limits are enforced.
    pub tolerance: Tolerance,
    /// How boxes share customers' limits.
    pub sharing: Sharing,
    /// The number of boxes that share the limits; none if unknown.
    pub boxes: Option<usize>,
    /// The mechanisms that are switched on.
    pub features: Features,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: usize,
}

/// Collects the errors that the checks find.
#[derive(Default)]
struct Checker {
    /// The errors found so far.
    findings: Vec<Finding>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All errors in the file.
    pub fn read(path: &Path) -> Result<Settings, Vec<Finding>> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![Finding { setting: path.display().to_string(), message: error.to_string() }]
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// All errors in the text.
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
            proxy: file.listen.proxy_port.map(|it| SocketAddr::new(front.ip(), it)),
            announced_peer: announced_port.map(|it| SocketAddr::new(front.ip(), it)),
            seeds: seeds.into_iter().map(|it| SocketAddr::new(it.ip(), seed_port)).collect(),
            is_first_start: file.node.first_start,
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
            features: file.features,
            memory_bytes: file.limits.memory_mb.map_or(DEFAULT_MEMORY_BYTES, |it| it.get() << 20),
        })
    }
}

impl Checker {
    /// Parses an address. Records an error and returns a placeholder if it is malformed.
    fn address(&mut self, setting: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            let message = format!("`{text}` is not IP:PORT");
            self.findings.push(Finding { setting: setting.to_owned(), message });
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Checks that a number is finite, not negative and below 10^9. Records an error and returns 0
    /// otherwise.
    fn not_negative(&mut self, setting: &str, value: f64) -> f64 {
        if value.is_finite() && (0.0..1e9).contains(&value) {
            return value;
        }
        let message = format!("{value} is not a number from 0 up");
        self.findings.push(Finding { setting: setting.to_owned(), message });
        0.0
    }
}

//! The daemon's settings, from flags and environment variables. All errors are reported together.

use std::fmt;
use std::net::SocketAddr;

use pico_args::Arguments;

/// The text that `--help` prints.
pub const HELP: &str = "\
hollyspoked: the daemon of every box

Every flag may also be given as an environment variable: --data-centre is
HOLLYSPOKE_DATA_CENTRE. The flag goes before the variable.

  --name NAME              the box's name (required)
  --data-centre NAME       the data centre it stands in (required)
  --site NAME              the site it serves (required)
  --platform ADDRESS       the platform's object interface (required)
  --listen ADDRESS         where callers connect        [127.0.0.1:0]
  --listen-peers ADDRESS   where other boxes connect    [127.0.0.1:0]
  --advertise ADDRESS      what callers are told        [as listened on]
  --advertise-peers ADDR   what other boxes are told    [as listened on]
  --seeds ADDRESS,...      other boxes to greet         [none]
  --body-limit BYTES       the largest request body     [1048576]
  --log json|terminal      the form of the log          [json]
  --help                   this text

Addresses are IP numbers with a port; port 0 takes a free one, which the log's
first line names. SIGTERM begins the planned stop: the box finishes what it has,
hands its keys over and exits with 0. Exit code 2: a setting is wrong.
";

/// The default of `--body-limit`, in bytes.
const DEFAULT_BODY_LIMIT_BYTES: usize = 1024 * 1024;

/// The largest `--body-limit`, in bytes.
const MAX_BODY_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// A daemon's settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The box's name.
    pub name: String,
    /// The data centre that the box is in.
    pub data_centre: String,
    /// The name of the site that the box serves.
    pub site: String,
    /// The address of the platform's object interface.
    pub platform: SocketAddr,
    /// The address to listen on for callers.
    pub listen: SocketAddr,
    /// The address to listen on for other boxes.
    pub listen_peers: SocketAddr,
    /// The address announced to callers, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The address announced to other boxes, if it differs from `listen_peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// The addresses of other boxes to greet at the start.
    pub seeds: Vec<SocketAddr>,
    /// The largest request body, in bytes.
    pub body_limit: usize,
    /// The format of the log.
    pub log: LogForm,
}

pub use hollyspoke_log::Format as LogForm;

/// An invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The flag of the setting.
    pub flag: String,
    /// The description of the error.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.flag, self.message)
    }
}

/// Reads settings and collects findings.
struct Reader<'a> {
    /// The arguments that have not been read yet.
    arguments: Arguments,
    /// Returns an environment variable.
    variable: &'a dyn Fn(&str) -> Option<String>,
    /// The findings so far.
    findings: Vec<Finding>,
}

impl Settings {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Returns a finding for each invalid setting.
    pub fn read(
        arguments: Arguments,
        variable: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Settings, Vec<Finding>> {
        let mut reader = Reader { arguments, variable, findings: Vec::new() };
        let name = reader.required("--name");
        let data_centre = reader.required("--data-centre");
        let site = reader.required("--site");
        let platform = reader.required("--platform");
        let platform = platform.and_then(|it| reader.address("--platform", &it));
        let listen = reader.address_or("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
        let listen_peers =
            reader.address_or("--listen-peers", SocketAddr::from(([127, 0, 0, 1], 0)));
        let advertise = reader.advertised("--advertise", listen);
        let advertise_peers = reader.advertised("--advertise-peers", listen_peers);
        let seeds = reader.seeds();
        let body_limit = reader.body_limit();
        let log = reader.log();
        let findings = reader.finish();
        match (name, data_centre, site, platform) {
            (Some(name), Some(data_centre), Some(site), Some(platform)) if findings.is_empty() => {
                Ok(Settings {
                    name,
                    data_centre,
                    site,
                    platform,
                    listen,
                    listen_peers,
                    advertise,
                    advertise_peers,
                    seeds,
                    body_limit,
                    log,
                })
            }
            _ => Err(findings),
        }
    }
}

impl Reader<'_> {
    /// Reads an optional setting; the flag takes precedence over the variable.
    fn optional(&mut self, flag: &'static str) -> Option<String> {
        match self.arguments.opt_value_from_str::<_, String>(flag) {
            Ok(Some(value)) => Some(value),
            Ok(None) => (self.variable)(&variable_name(flag)).filter(|it| !it.is_empty()),
            Err(error) => {
                self.add_finding(flag, error.to_string());
                None
            }
        }
    }

    /// Reads a required setting.
    fn required(&mut self, flag: &'static str) -> Option<String> {
        let value = self.optional(flag);
        if value.is_none() {
            let message = format!("is missing; give it or set {}", variable_name(flag));
            self.add_finding(flag, message);
        }
        value
    }

    /// Reads an address, or returns a default.
    fn address_or(&mut self, flag: &'static str, default: SocketAddr) -> SocketAddr {
        let Some(value) = self.optional(flag) else { return default };
        self.address(flag, &value).unwrap_or(default)
    }

    /// Parses an address.
    fn address(&mut self, flag: &str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() {
            let message = format!("`{value}` is no IP number with a port, such as 10.1.0.7:8000");
            self.add_finding(flag, message);
        }
        address
    }

    /// Reads an address to announce, which is required when the box listens on all addresses.
    fn advertised(&mut self, flag: &'static str, listen: SocketAddr) -> Option<SocketAddr> {
        let value = self.optional(flag);
        if value.is_none() && listen.ip().is_unspecified() {
            let message = format!("is needed, since {} can't be connected to", listen.ip());
            self.add_finding(flag, message);
        }
        self.address(flag, &value?)
    }

    /// Reads the comma-separated addresses of seeds.
    fn seeds(&mut self) -> Vec<SocketAddr> {
        let Some(value) = self.optional("--seeds") else { return Vec::new() };
        let parts = value.split(',').map(str::trim).filter(|it| !it.is_empty());
        parts.filter_map(|it| self.address("--seeds", it)).collect()
    }

    /// Reads the largest size of a body, in bytes.
    fn body_limit(&mut self) -> usize {
        let Some(value) = self.optional("--body-limit") else { return DEFAULT_BODY_LIMIT_BYTES };
        match value.parse() {
            Ok(bytes) if (1..=MAX_BODY_LIMIT_BYTES).contains(&bytes) => bytes,
            Ok(_) | Err(_) => {
                let message =
                    format!("`{value}` is no number of bytes from 1 to {MAX_BODY_LIMIT_BYTES}");
                self.add_finding("--body-limit", message);
                DEFAULT_BODY_LIMIT_BYTES
            }
        }
    }

    /// Reads the format of the log.
    fn log(&mut self) -> LogForm {
        match self.optional("--log").as_deref() {
            None | Some("json") => LogForm::Json,
            Some("terminal") => LogForm::Terminal,
            Some(other) => {
                self.add_finding("--log", format!("`{other}` is neither `json` nor `terminal`"));
                LogForm::Json
            }
        }
    }

    /// Returns all findings, with one for each unknown argument that remains.
    fn finish(mut self) -> Vec<Finding> {
        let unknown = std::mem::replace(&mut self.arguments, Arguments::from_vec(Vec::new()));
        for argument in unknown.finish() {
            let flag = argument.to_string_lossy().into_owned();
            self.add_finding(&flag, "is not known; see --help".to_owned());
        }
        self.findings
    }

    /// Adds a finding on a flag.
    fn add_finding(&mut self, flag: &str, message: String) {
        self.findings.push(Finding { flag: flag.to_owned(), message });
    }
}

/// Returns the name of a flag's environment variable.
fn variable_name(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("HOLLYSPOKE_{name}")
}

//! The command line: parses the arguments, runs the command and prints the result.

use std::io::Write;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use hollyspoke_file::Finding;
use hollyspoke_wire::caller::{CLASS, IDEMPOTENCY_KEY, TENANT};
use hollyspoke_wire::http::Client;
use hollyspoke_wire::platform::Platform;
use http::Method;
use pico_args::Arguments;
use serde_json::json;
use tokio::time::Instant;

use crate::apply::{self, Applied};
use crate::call::{self, Content};
use crate::caller::Caller;
use crate::exit::Exit;
use crate::show;

/// The help text of the tool.
pub const HELP: &str = "\
hollyspoke: the operators' tool

  hollyspoke check FILE                 every mistake in a site file
  hollyspoke apply FILE                 put a site file in force
  hollyspoke show                       what is in force, and at which box
  hollyspoke status                     boxes, pools and upstreams
  hollyspoke addresses                  which boxes a caller should use
  hollyspoke call                       send one request
  hollyspoke COMMAND --help             a command's flags

Every flag may also be given as an environment variable: --platform is
HOLLYSPOKE_PLATFORM. --json prints JSON.

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 the file has mistakes,
4 another operator was first, 5 nobody can tell whether it took effect.
";

/// The help text of each command.
const COMMAND_HELP: [(&str, &str); 6] = [
    ("check", "hollyspoke check FILE [--json]\n"),
    (
        "apply",
        "hollyspoke apply FILE --platform ADDRESS [--seen VERSION] [--wait ADDRESS] [--json]\n\n\
         \x20 --seen VERSION   the version that the file was written against; without it, the\n\
         \x20                  version of this moment\n\
         \x20 --wait ADDRESS   wait until all boxes that this box knows have the file in force\n",
    ),
    ("show", "hollyspoke show --box ADDRESS [--json]\n"),
    ("status", "hollyspoke status --box ADDRESS [--json]\n"),
    ("addresses", "hollyspoke addresses --box ADDRESS [--caller NAME] [--data-centre NAME]\n"),
    (
        "call",
        "hollyspoke call --box ADDRESS --model NAME --prompt TEXT [--max-tokens N]\n\
         hollyspoke call --box ADDRESS --path PATH [--method METHOD] [--body TEXT]\n\n\
         \x20 --once                 the request must run at most once\n\
         \x20 --tenant NAME          the tenant\n\
         \x20 --class N              the class, 0 for a person waiting\n\
         \x20 --idempotency-key TEXT the caller's own key\n",
    ),
];

/// The timeout of `--wait`.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between the status requests of `--wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The maximum number of tokens that `call` requests without `--max-tokens`.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// An invalid command line.
#[derive(Debug)]
struct Usage(String);

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Usage {}

/// Runs the tool, prints the result and returns the exit code.
///
/// # Errors
///
/// If a file can't be read, or the output can't be written.
pub async fn run(mut arguments: Arguments, out: &mut impl Write) -> eyre::Result<Exit> {
    let command = arguments.subcommand().map_err(usage_error)?;
    let Some(command) = command else {
        write!(out, "{HELP}")?;
        let help_requested = arguments.contains(["-h", "--help"]);
        return Ok(if help_requested { Exit::Done } else { Exit::Usage });
    };
    let help = COMMAND_HELP.iter().find(|(name, _)| *name == command);
    let Some((_, help)) = help else {
        writeln!(out, "there is no command `{command}`\n\n{HELP}")?;
        return Ok(Exit::Usage);
    };
    if arguments.contains(["-h", "--help"]) {
        write!(out, "{help}")?;
        return Ok(Exit::Done);
    }
    let json = arguments.contains("--json");
    let done = match command.as_str() {
        "check" => check(arguments, json, out),
        "apply" => apply(arguments, json, out).await,
        "show" | "status" => overview(&command, arguments, json, out).await,
        "addresses" => addresses(arguments, out).await,
        _ => call(arguments, out).await,
    };
    match done {
        Err(error) if error.is::<Usage>() => {
            writeln!(out, "{error}\n\n{help}")?;
            Ok(Exit::Usage)
        }
        done => done,
    }
}

/// Checks a site file.
fn check(arguments: Arguments, json: bool, out: &mut impl Write) -> eyre::Result<Exit> {
    let path = file_argument(arguments)?;
    let text = read_file(&path)?;
    match hollyspoke_file::read(&text) {
        Ok(site) => {
            if json {
                writeln!(out, "{}", json!({ "site": site.name, "findings": [] }))?;
            } else {
                writeln!(out, "{path}: no mistakes")?;
            }
            Ok(Exit::Done)
        }
        Err(findings) => {
            print_findings(&findings, &path, &text, json, out)?;
            Ok(Exit::Findings)
        }
    }
}

/// Puts a site file in force.
async fn apply(mut arguments: Arguments, json: bool, out: &mut impl Write) -> eyre::Result<Exit> {
    let platform = required_flag(&mut arguments, "--platform")?;
    let seen = optional_flag(&mut arguments, "--seen")?;
    let seen = seen.map(|it| it.parse().map_err(|_| Usage(format!("`{it}` is no version"))));
    let seen = seen.transpose()?;
    let wait = optional_flag(&mut arguments, "--wait")?;
    let path = file_argument(arguments)?;
    let text = read_file(&path)?;
    let site = match hollyspoke_file::read(&text) {
        Ok(site) => site,
        Err(findings) => {
            print_findings(&findings, &path, &text, json, out)?;
            return Ok(Exit::Findings);
        }
    };
    let platform = Platform::new(Client::new(), platform);
    match apply::apply(&platform, &site.name, &text, seen).await {
        Applied::Accepted { version } => {
            if json {
                writeln!(out, "{}", json!({ "accepted": version }))?;
            } else {
                writeln!(out, "accepted: version {version} of {}", site.name)?;
            }
            match wait {
                Some(address) => wait_in_force(&address, version, out).await,
                None => Ok(Exit::Done),
            }
        }
        Applied::Conflict { version, diff } => {
            if json {
                writeln!(out, "{}", json!({ "conflict": version, "diff": diff }))?;
            } else {
                writeln!(out, "not written: version {version} is in force\n{diff}")?;
            }
            Ok(Exit::Conflict)
        }
        Applied::Unknown { error } => {
            if json {
                writeln!(out, "{}", json!({ "unknown": error }))?;
            } else {
                writeln!(out, "the platform does not answer: {error}")?;
                writeln!(
                    out,
                    "the file may be in force or come into force; see `hollyspoke show`"
                )?;
            }
            Ok(Exit::Unknown)
        }
    }
}

/// Waits until a version is in force at all known boxes.
async fn wait_in_force(address: &str, version: u64, out: &mut impl Write) -> eyre::Result<Exit> {
    let client = Client::new();
    let started = Instant::now();
    loop {
        let answers = show::fetch_all(&client, address).await?;
        let in_force = |it: &show::BoxAnswer| {
            it.status.as_ref().is_some_and(|status| status.site_version >= version)
        };
        if answers.iter().all(in_force) {
            let boxes = answers.len();
            writeln!(out, "in force at {boxes} boxes after {} ms", started.elapsed().as_millis())?;
            return Ok(Exit::Done);
        }
        if started.elapsed() > IN_FORCE_TIMEOUT {
            write!(out, "not in force everywhere:\n{}", show::versions(&answers))?;
            return Ok(Exit::Failed);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Shows the versions in force, or boxes, pools and upstreams.
async fn overview(
    command: &str,
    mut arguments: Arguments,
    json: bool,
    out: &mut impl Write,
) -> eyre::Result<Exit> {
    let address = required_flag(&mut arguments, "--box")?;
    reject_unknown_arguments(arguments)?;
    let answers = show::fetch_all(&Client::new(), &address).await?;
    match (json, command) {
        (true, _) => writeln!(out, "{}", serde_json::to_string_pretty(&answers)?)?,
        (false, "show") => write!(out, "{}", show::versions(&answers))?,
        (false, _) => write!(out, "{}", show::overview(&answers))?,
    }
    let all = answers.iter().all(|it| it.status.is_some());
    Ok(if all { Exit::Done } else { Exit::Failed })
}

/// Requests the addresses of boxes.
async fn addresses(mut arguments: Arguments, out: &mut impl Write) -> eyre::Result<Exit> {
    let address = required_flag(&mut arguments, "--box")?;
    let caller =
        optional_flag(&mut arguments, "--caller")?.unwrap_or_else(|| "operator".to_owned());
    let data_centre = optional_flag(&mut arguments, "--data-centre")?;
    reject_unknown_arguments(arguments)?;
    let mut url = format!("http://{address}/v1/addresses?caller={caller}");
    if let Some(data_centre) = data_centre {
        url.push_str("&data_centre=");
        url.push_str(&data_centre);
    }
    let answer: hollyspoke::address::Answer = Client::new().get(&url).await?;
    writeln!(out, "{}", serde_json::to_string_pretty(&answer)?)?;
    Ok(Exit::Done)
}

/// Sends one request and prints the response.
async fn call(mut arguments: Arguments, out: &mut impl Write) -> eyre::Result<Exit> {
    let address = required_flag(&mut arguments, "--box")?;
    let once = arguments.contains("--once");
    let mut headers = Vec::new();
    for (flag, header) in
        [("--tenant", TENANT), ("--class", CLASS), ("--idempotency-key", IDEMPOTENCY_KEY)]
    {
        if let Some(value) = optional_flag(&mut arguments, flag)? {
            headers.push((header.to_owned(), value));
        }
    }
    let content = read_content(&mut arguments)?;
    reject_unknown_arguments(arguments)?;
    let mut caller = Caller::new("operator", vec![address]);
    call::call(&mut caller, &content, once, headers, out).await
}

/// Parses the content of the request to send.
fn read_content(arguments: &mut Arguments) -> eyre::Result<Content> {
    if let Some(path) = optional_flag(arguments, "--path")? {
        let method = optional_flag(arguments, "--method")?.unwrap_or_else(|| "GET".to_owned());
        let method = Method::from_bytes(method.as_bytes())
            .map_err(|_| Usage(format!("`{method}` is no method")))?;
        let body = optional_flag(arguments, "--body")?.unwrap_or_default();
        return Ok(Content::Plain { method, path, body });
    }
    let model = required_flag(arguments, "--model")?;
    let prompt = required_flag(arguments, "--prompt")?;
    let max_tokens = match optional_flag(arguments, "--max-tokens")? {
        Some(text) => text.parse().map_err(|_| Usage(format!("`{text}` is no count of tokens")))?,
        None => DEFAULT_MAX_TOKENS,
    };
    Ok(Content::Generate { model, prompt, max_tokens })
}

/// Prints findings, as text or as JSON.
fn print_findings(
    findings: &[Finding],
    path: &str,
    text: &str,
    json: bool,
    out: &mut impl Write,
) -> eyre::Result<()> {
    if json {
        let places = findings.iter().map(|finding| {
            let (line, column) = finding.line_and_column(text);
            let (message, hint) = (&finding.message, &finding.hint);
            json!({ "line": line, "column": column, "message": message, "hint": hint })
        });
        writeln!(out, "{}", json!({ "findings": places.collect::<Vec<_>>() }))?;
        return Ok(());
    }
    for finding in findings {
        writeln!(out, "{}\n", finding.render(path, text))?;
    }
    writeln!(out, "{path}: {} mistakes", findings.len())?;
    Ok(())
}

/// Parses an optional flag; without it, the environment variable of the same name applies.
fn optional_flag(arguments: &mut Arguments, flag: &'static str) -> eyre::Result<Option<String>> {
    let given: Option<String> = arguments.opt_value_from_str(flag).map_err(usage_error)?;
    let variable = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    Ok(given.or_else(|| std::env::var(format!("HOLLYSPOKE_{variable}")).ok()))
}

/// Parses a required flag, which may also be given as an environment variable.
fn required_flag(arguments: &mut Arguments, flag: &'static str) -> eyre::Result<String> {
    let value = optional_flag(arguments, flag)?;
    value.ok_or_else(|| eyre!(Usage(format!("{flag} is missing"))))
}

/// Parses the only positional argument, the path of a file.
fn file_argument(mut arguments: Arguments) -> eyre::Result<String> {
    let path: String =
        arguments.free_from_str().map_err(|_| Usage("FILE is missing".to_owned()))?;
    reject_unknown_arguments(arguments)?;
    Ok(path)
}

/// Rejects arguments that were not parsed.
fn reject_unknown_arguments(arguments: Arguments) -> eyre::Result<()> {
    let rest = arguments.finish();
    match rest.first() {
        None => Ok(()),
        Some(unknown) => Err(eyre!(Usage(format!("`{}` is not known", unknown.display())))),
    }
}

/// Reads a file as text.
fn read_file(path: &str) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))
}

/// Converts an error of the argument parser to a usage error.
fn usage_error(error: pico_args::Error) -> eyre::Report {
    eyre!(Usage(error.to_string()))
}

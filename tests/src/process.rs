//! Processes that a test starts and stops by their handles.

use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{OptionExt, WrapErr, bail};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use hollyspoke_wire::engine::Empty;
use hollyspoke_wire::http::Client;

/// The kernel's clock ticks per second, the unit of processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// A running program that listens on an address.
#[derive(Debug)]
pub struct Process {
    /// The handle of the process.
    child: Child,
    /// The address that it printed.
    pub address: String,
    /// The lines that it has printed after the first one.
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a stand-in of this kind.
    pub fn standin(kind: &str, arguments: &[&str]) -> eyre::Result<Process> {
        let mut command = Command::new(program("hollyspoke-standin")?);
        command.arg(kind).args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().wrap_err("cannot start the stand-in")?;
        let output = child.stdout.take().ok_or_eyre("no output")?;
        let (first, lines) = read_lines(output)?;
        let address = first["listening"].as_str().ok_or_eyre("no address")?.to_owned();
        Ok(Process { child, address, lines })
    }

    /// Starts a daemon; returns it with its address for other boxes and its incarnation.
    pub fn daemon(arguments: &[String]) -> eyre::Result<(Process, String, String)> {
        let mut command = Command::new(program("hollyspoked")?);
        command.args(arguments).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().wrap_err("cannot start the daemon")?;
        let output = child.stderr.take().ok_or_eyre("no output")?;
        let (first, lines) = read_lines(output)?;
        let text = |key: &str| first[key].as_str().unwrap_or_default().to_owned();
        let (address, peers, incarnation) = (text("callers"), text("peers"), text("incarnation"));
        if address.is_empty() {
            bail!("the daemon's first line has no address: {first}");
        }
        Ok((Process { child, address, lines }, peers, incarnation))
    }

    /// Starts a box of the users' platform by its settings file.
    pub fn node(settings: &Path) -> eyre::Result<Process> {
        let mut command = Command::new(program("hollyspoke-node")?);
        command.arg("--settings").arg(settings).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().wrap_err("cannot start the box")?;
        let output = child.stderr.take().ok_or_eyre("no output")?;
        let (first, lines) = read_lines(output)?;
        let address = first["front"].as_str().ok_or_eyre("no address")?.to_owned();
        Ok(Process { child, address, lines })
    }

    /// Returns the content of one of the process's files in `/proc`; none if it has ended.
    pub fn file(&self, name: &str) -> Option<String> {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).ok()
    }

    /// Returns the processor time used so far, in seconds, and the resident memory, in bytes.
    pub fn usage(&self) -> Option<(f64, f64)> {
        let stat = self.file("stat")?;
        // The second field, the program's name, may contain spaces; it ends with a parenthesis.
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let pages: f64 = self.file("statm")?.split(' ').nth(1)?.parse().ok()?;
        Some((ticks / TICKS_PER_SECOND, pages * PAGE_BYTES))
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        // A process that has already ended needs no signal.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // A process that has already ended needs no kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process, up to a limit.
    pub async fn wait(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let started = tokio::time::Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("the process did not end in time")
    }

    /// Returns the lines printed so far, without the first one.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Reads a stand-in's ledger.
    pub async fn ledger<T: DeserializeOwned>(&self) -> eyre::Result<T> {
        let url = format!("http://{}/standin/ledger", self.address);
        Ok(Client::new().get(&url).await?)
    }

    /// Replaces a stand-in's faults.
    pub async fn faults(&self, faults: &impl Serialize) -> eyre::Result<()> {
        let url = format!("http://{}/standin/faults", self.address);
        let Empty {} = Client::new().post(&url, faults).await?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the operator's command line tool; returns its exit code and its output.
pub async fn run_cli(arguments: &[&str]) -> eyre::Result<(u8, String)> {
    let arguments = arguments.iter().map(Into::into).collect();
    let mut out = Vec::new();
    let arguments = pico_args::Arguments::from_vec(arguments);
    let exit = hollyspoke_cli::command::run(arguments, &mut out).await?;
    Ok((exit.number(), String::from_utf8(out)?))
}

/// Returns the path of a program that was built with the test.
///
/// # Errors
///
/// If the program is not built.
pub fn program(name: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let folder = test.ancestors().nth(2).ok_or_eyre("the test program has no parent folder")?;
    let program = folder.join(name);
    if !program.exists() {
        bail!("{name} is not built: run `cargo build --workspace --bins` first");
    }
    Ok(program)
}

/// Reads the first line as JSON, and collects later lines in a thread.
fn read_lines(
    output: impl Read + Send + 'static,
) -> eyre::Result<(Value, Arc<Mutex<Vec<String>>>)> {
    let mut output = BufReader::new(output);
    let mut first = String::new();
    output.read_line(&mut first)?;
    let value = serde_json::from_str(&first).wrap_err("the first line is not JSON")?;
    let lines = Arc::new(Mutex::new(Vec::new()));
    let collected = lines.clone();
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            collected.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
    Ok((value, lines))
}

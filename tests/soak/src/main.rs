//! Runs the whole system as real processes under faults, and checks the observations.

#![expect(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "prints the verdict, the help and errors"
)]

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use eyre::{WrapErr, bail};
use hollyspoke_soak::cluster::Size;
use hollyspoke_soak::judge::{self, Promise, Second};
use hollyspoke_soak::layout::Site;
use hollyspoke_soak::mutant::Mutant;
use hollyspoke_soak::report;
use hollyspoke_soak::run::{self, Outcome, Plan};
use hollyspoke_soak::schedule::{self, Planned};
use hollyspoke_soak::shrink::shrink;
use hollyspoke_soak::standin::{engine, store};
use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// The exit code if a promise is broken, or a mutant is not detected.
const EXIT_BROKEN: u8 = 1;

/// The exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// How long clients send requests in a run with a mutant, in seconds.
const MUTANT_SECONDS: u64 = 11;

/// The concurrent requests of a stand-in engine.
const SLOTS: u32 = 12;

/// The maximum number of runs to shrink a schedule: about fifteen minutes at 30 s each.
const MAX_SHRINKING_RUNS: usize = 24;

/// What `--help` prints.
const HELP: &str = "\
hollyspoke-soak: real processes under faults that a seed draws, and a judge

Usage: hollyspoke-soak [OPTIONS]

  --seed N         the seed of faults and clients (1)
  --seconds N      how long clients work (30)
  --boxes N        hollyspoke-node processes (6)
  --engines N      engines of the model service, a third of them for prefill (6)
  --plain N        upstreams of the plain service (3)
  --clients N      clients (24)
  --older PROGRAM  a hollyspoke-node of an older version, which all boxes run until they are replaced
                   one after the other
  --mutant NAME    commits a deliberate fault; succeeds if its promise is found broken
  --mutants        lists the deliberate faults
  --schedule       prints the faults of the seed and ends
  --shrink         reruns a schedule that breaks a promise with fewer and fewer faults, and
                   prints those that remain
  --out FOLDER     settings, logs, schedule and report (target/soak/SEED)
  -h, --help       prints this text

Exit codes: 0 all promises kept, 1 one broken (or a deliberate fault not caught), 2 usage.
";

/// The parsed command line.
struct CommandLine {
    /// The run to execute.
    plan: Plan,
    /// Whether the schedule is only printed.
    only_schedule: bool,
    /// Whether a schedule that breaks a promise is shrunk.
    shrinks: bool,
}

/// Handles the flags that need no run, then starts a stand-in or a run.
fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--mutants") {
        for (_, name, promise) in Mutant::ALL {
            println!("{name:24} {promise:?}");
        }
        return ExitCode::SUCCESS;
    }
    match start(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

/// Starts the stand-in that the subcommand names, or a run if there is none.
fn start(mut arguments: Arguments) -> eyre::Result<ExitCode> {
    match arguments.subcommand()?.as_deref() {
        Some("store") => {
            store::serve();
            Ok(ExitCode::SUCCESS)
        }
        Some("engine") => {
            engine::serve(engine_settings(arguments)?);
            Ok(ExitCode::SUCCESS)
        }
        Some(other) => bail!("unknown stand-in `{other}`"),
        None => soak(&parse_command_line(arguments)?),
    }
}

/// Parses the settings of a stand-in engine.
fn engine_settings(mut arguments: Arguments) -> eyre::Result<engine::Settings> {
    Ok(engine::Settings {
        born: arguments.value_from_str("--born")?,
        id: arguments.value_from_str("--id")?,
        stage: arguments.opt_value_from_str("--stage")?,
        slots: SLOTS,
        memory_tokens: arguments.value_from_str("--memory")?,
        mutant: arguments.opt_value_from_fn("--mutant", str::parse::<Mutant>)?,
    })
}

/// Parses the command line of a run and draws its faults.
fn parse_command_line(mut arguments: Arguments) -> eyre::Result<CommandLine> {
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let mutant = arguments.opt_value_from_fn("--mutant", str::parse::<Mutant>)?;
    let usual = if mutant.is_some() { MUTANT_SECONDS } else { 30 };
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(usual);
    let length = Duration::from_secs(seconds);
    let size = Size {
        boxes: arguments.opt_value_from_str("--boxes")?.unwrap_or(6),
        engines: arguments.opt_value_from_str("--engines")?.unwrap_or(6),
        plain: arguments.opt_value_from_str("--plain")?.unwrap_or(3),
        clients: arguments.opt_value_from_str("--clients")?.unwrap_or(24),
    };
    let only_schedule = arguments.contains("--schedule");
    let shrinks = arguments.contains("--shrink");
    let older: Option<PathBuf> = arguments.opt_value_from_str("--older")?;
    let folder: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
    let folder = folder.unwrap_or_else(|| Path::new("target/soak").join(seed.to_string()));
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments: {rest:?}");
    }
    let mut faults = match mutant {
        Some(mutant) => run::faults_for(mutant),
        None => schedule::draw(seed, length),
    };
    let site = Site::of(seed, mutant);
    if older.is_some() {
        faults.extend(schedule::replace_all(size.boxes, length));
        faults.sort_by_key(|it| it.at);
    }
    let plan = Plan { seed, length, size, site, faults, mutant, folder, older };
    Ok(CommandLine { plan, only_schedule, shrinks })
}

/// Executes a plan and prints the verdict.
fn soak(command_line: &CommandLine) -> eyre::Result<ExitCode> {
    let plan = &command_line.plan;
    if command_line.only_schedule {
        println!("{}", schedule_text(&plan.faults));
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = run_and_record(plan)?;
    let code = verdict(plan, &outcome);
    if let Some(first) = outcome.findings.first().filter(|_| command_line.shrinks) {
        shrink_to(plan, first.promise)?;
    }
    Ok(code)
}

/// Executes a plan, and writes its schedule, observations and report to its folder.
fn run_and_record(plan: &Plan) -> eyre::Result<Outcome> {
    std::fs::create_dir_all(&plan.folder).wrap_err("cannot create the folder of the run")?;
    std::fs::write(plan.folder.join("schedule.txt"), schedule_text(&plan.faults))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let outcome = LocalSet::new().block_on(&runtime, run_unless_interrupted(plan))?;
    write_files(plan, &outcome)?;
    Ok(outcome)
}

/// Prints a small subset of a plan's faults that still breaks a promise.
fn shrink_to(plan: &Plan, promise: Promise) -> eyre::Result<()> {
    let mut number = 0;
    let shrunk = shrink(&plan.faults, MAX_SHRINKING_RUNS, |faults| {
        number += 1;
        let folder = plan.folder.join(format!("shrink-{number}"));
        let outcome = run_and_record(&Plan { faults: faults.to_vec(), folder, ..plan.clone() })?;
        let still_fails = outcome.findings.iter().any(|it| it.promise == promise);
        println!(
            "  {} faults: {promise:?} {}",
            faults.len(),
            if still_fails { "broken" } else { "kept" }
        );
        Ok(still_fails)
    })?;
    println!("{promise:?} is broken by these, after {} runs:", shrunk.runs);
    println!("{}", schedule_text(&shrunk.faults));
    Ok(())
}

/// Formats a schedule, one line for each fault.
fn schedule_text(faults: &[Planned]) -> String {
    let lines = faults.iter().map(|it| format!("{:7.3} s  {}", it.at.as_secs_f64(), it.fault));
    lines.collect::<Vec<_>>().join("\n")
}

/// Executes a plan until it ends or this process receives SIGTERM or SIGINT; all processes of the
/// run end with it.
async fn run_unless_interrupted(plan: &Plan) -> eyre::Result<Outcome> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        outcome = run::run(plan) => outcome,
        _ = terminate.recv() => bail!("terminated; the run's processes are ended"),
        _ = interrupt.recv() => bail!("interrupted; the run's processes are ended"),
    }
}

/// Writes the observations and the report.
fn write_files(plan: &Plan, outcome: &Outcome) -> eyre::Result<()> {
    let lines: Result<Vec<_>, _> = outcome.observations.iter().map(serde_json::to_string).collect();
    std::fs::write(plan.folder.join("seen.jsonl"), lines?.join("\n"))?;
    let title = format!("seed {}, {} boxes", plan.seed, plan.size.boxes);
    let page = plan.folder.join("report.svg");
    report::write(&page, &title, &outcome.observations, &outcome.findings)
}

/// Prints the request counts and the first findings, and returns the exit code.
fn verdict(plan: &Plan, outcome: &Outcome) -> ExitCode {
    let total =
        judge::seconds(&outcome.observations).into_iter().fold(Second::default(), |sum, it| {
            Second {
                served: sum.served + it.served,
                late: sum.late + it.late,
                refused: sum.refused + it.refused,
                broken: sum.broken + it.broken,
            }
        });
    println!(
        "seed {}: {} faults; served {}, late {}, refused {}, broken {}; {} findings; {}",
        plan.seed,
        plan.faults.len(),
        total.served,
        total.late,
        total.refused,
        total.broken,
        outcome.findings.len(),
        plan.folder.display(),
    );
    for finding in outcome.findings.iter().take(20) {
        println!("  {finding}");
    }
    let is_good = match plan.mutant.and_then(Mutant::breaks) {
        Some(promise) => outcome.findings.iter().any(|it| it.promise == promise),
        None => outcome.findings.is_empty() && total.served > 0,
    };
    if is_good { ExitCode::SUCCESS } else { ExitCode::from(EXIT_BROKEN) }
}

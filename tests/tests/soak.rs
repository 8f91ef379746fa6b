//! A short run of the soak: real processes, drawn faults, and one deliberate fault that is caught.

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use hollyspoke_tests::process::program;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Runs the soak; gives whether it succeeded and what it printed.
fn soak(arguments: &[&str], name: &str) -> (bool, String) {
    let program = program("hollyspoke-soak").expect("it is built");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"));
    let out = folder.to_string_lossy().into_owned();
    let output = Command::new(program)
        .args(arguments)
        .args(["--out", &out])
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), text + &errors)
}

/// The schedule of this seed has planned stops, boxes cut off from the store and from the others,
/// crashes, resets, disturbed datagrams, and in the end the loss of all boxes.
#[test]
fn short_run() {
    let arguments = ["--seed", "729", "--seconds", "17", "--boxes", "4", "--clients", "12"];
    let (is_good, text) = soak(&arguments, "short");
    assert!(is_good, "{text}");
}

#[test]
fn caught_fault() {
    let arguments = ["--mutant", "refuses-after-running", "--seconds", "4", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "mutant");
    assert!(is_good, "{text}");
}

#[test]
fn caught_reservation() {
    let arguments = ["--mutant", "keeps-reservations", "--seconds", "6", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "reservation");
    assert!(is_good, "{text}");
}

#[test]
fn caught_part() {
    let arguments = ["--mutant", "renames-part", "--seconds", "13", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "part");
    assert!(is_good, "{text}");
}

#[test]
fn caught_software() {
    let arguments = ["--mutant", "hides-software", "--seconds", "9", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "software");
    assert!(is_good, "{text}");
}

#[test]
fn caught_silence() {
    let arguments = ["--mutant", "ends-silent", "--seconds", "9", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "silence");
    assert!(is_good, "{text}");
}

#[test]
fn caught_garbage() {
    let arguments = ["--mutant", "disguises-garbage", "--seconds", "5", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "garbage");
    assert!(is_good, "{text}");
}

/// Returns the processes whose settings lie in a folder.
fn processes_of(folder: &Path) -> Vec<String> {
    let settings = folder.join("box-0.toml").to_string_lossy().into_owned();
    let processes = std::fs::read_dir("/proc").expect("the kernel lists processes");
    let named = processes.filter_map(|it| it.ok()?.file_name().into_string().ok());
    let numbered = named.filter(|it| it.bytes().all(|it| it.is_ascii_digit()));
    let has_settings = |id: &String| {
        let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
        String::from_utf8_lossy(&environment).contains(&settings)
    };
    numbered.filter(has_settings).collect()
}

/// A run that is told to end takes its boxes with it.
#[test]
fn interrupted_run() {
    let program = program("hollyspoke-soak").expect("it is built");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak-interrupted");
    let mut child = Command::new(program)
        .args(["--boxes", "2", "--out"])
        .arg(&folder)
        .spawn()
        .expect("the program runs");
    let wait_until = |is_there: bool| {
        for _ in 0..200 {
            if processes_of(&folder).is_empty() != is_there {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("boxes there: {:?}", processes_of(&folder));
    };
    wait_until(true);
    let id = Pid::from_raw(i32::try_from(child.id()).expect("a process id"));
    kill(id, Signal::SIGTERM).expect("it runs");
    child.wait().expect("it ends");
    wait_until(false);
}

/// In each run that is long enough, upstreams stand still together at least twice, with other faults
/// around.
#[test]
fn planned_silence() {
    for seed in 1..40 {
        let (_, text) = soak(&["--seed", &seed.to_string(), "--schedule"], "schedule");
        let count = text.lines().filter(|it| it.contains("StandStill")).count();
        assert!(count >= 2, "seed {seed}: {text}");
    }
}

/// A seed gives the same schedule each time.
#[test]
fn same_schedule() {
    let first = soak(&["--seed", "7", "--schedule"], "schedule");
    assert!(first.0 && first.1.lines().count() > 5, "{}", first.1);
    assert_eq!(first, soak(&["--seed", "7", "--schedule"], "schedule"));
    assert_ne!(first, soak(&["--seed", "8", "--schedule"], "schedule"));
}

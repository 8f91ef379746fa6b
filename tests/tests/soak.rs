//! A short run of the soak: real processes, drawn faults, and one deliberate fault that is caught.

use std::path::Path;
use std::process::Command;

use hollyspoke_tests::process::program;

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

/// The schedule of this seed has a crash, planned stops, resets, a box cut off from the store, and in
/// the end the loss of all boxes.
#[test]
fn short_run() {
    let arguments = ["--seed", "7", "--seconds", "17", "--boxes", "4", "--clients", "12"];
    let (is_good, text) = soak(&arguments, "short");
    assert!(is_good, "{text}");
}

#[test]
fn caught_fault() {
    let arguments = ["--mutant", "refuses-after-running", "--seconds", "4", "--boxes", "2"];
    let (is_good, text) = soak(&arguments, "mutant");
    assert!(is_good, "{text}");
}

/// A seed gives the same schedule each time.
#[test]
fn same_schedule() {
    let first = soak(&["--seed", "7", "--schedule"], "schedule");
    assert!(first.0 && first.1.lines().count() > 5, "{}", first.1);
    assert_eq!(first, soak(&["--seed", "7", "--schedule"], "schedule"));
    assert_ne!(first, soak(&["--seed", "8", "--schedule"], "schedule"));
}

//! The stand-ins' command line: help exits well, a mistake ends in one sentence.

use std::process::{Command, Output};

use hollyspoke_tests::process::program;

/// Runs the stand-in with arguments.
fn run(arguments: &[&str]) -> Output {
    let path = program("hollyspoke-standin").expect("the program is built");
    Command::new(path).args(arguments).output().expect("the program can be run")
}

#[test]
fn help() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("platform|engine|service"));
}

#[test]
fn mistakes() {
    for arguments in [vec![], vec!["nonsense"], vec!["platform", "--nonsense"]] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

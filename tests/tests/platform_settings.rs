//! The settings file of a box: all errors are reported at once, each with the name of its setting.

use std::process::{Command, Output};

use hollyspoke_gateway::features::Features;
use hollyspoke_server::settings::Settings;
use hollyspoke_tests::process::program;

/// A settings file as the platform writes it.
const FILE: &str = r#"
[box]
name = "node-1"
data_centre = "north"
seeds = ["10.1.0.38:8144", "10.2.0.40:8144"]

[listen]
front = "10.1.0.38:8149"
ready = "10.1.0.38:8141"
directory = "10.1.0.38:8143"
peer_port = 7380

[store]
address = "10.200.1.7:8142"

[bounds]
retry_ratio = 0.2
retry_allowance = 56
retry_window_s = 10
grace_s = 8
"#;

#[test]
fn settings_misread() {
    let settings = Settings::parse(FILE).expect("the file is valid");
    assert_eq!(settings.peer.to_string(), "10.1.0.38:7380");
    let seeds: Vec<_> = settings.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.38:7380", "10.2.0.40:7380"]);
    assert_eq!(settings.grace.as_secs(), 8);
}

#[test]
fn finding_missing() {
    let file = FILE
        .replace("8149", "x")
        .replace("10.200.1.7:8142", "store")
        .replace("ratio = 0.2", "ratio = -1");
    let findings = Settings::parse(&file).expect_err("three settings are wrong");
    let names: Vec<_> = findings.iter().map(|it| it.setting.as_str()).collect();
    assert_eq!(names, ["listen.front", "store.address", "bounds.retry_ratio"]);
}

/// Boxes may be reached at another port than the one that they listen on.
#[test]
fn announced_port_ignored() {
    let file = FILE.replace("peer_port = 7380", "peer_port = 7380\npeer_announced_port = 7390");
    let settings = Settings::parse(&file).expect("the file is valid");
    assert_eq!(settings.peer.to_string(), "10.1.0.38:7380");
    assert_eq!(settings.announced_peer.map(|it| it.to_string()).as_deref(), Some("10.1.0.38:7390"));
    assert_eq!(settings.seeds[0].port(), 7390);
}

/// The number of boxes that share limits is optional, and never 0.
#[test]
fn invalid_box_count() {
    assert_eq!(Settings::parse(FILE).expect("the file is valid").boxes, None);
    let set = |boxes: &str| Settings::parse(&format!("{FILE}quota_boxes = {boxes}\n"));
    assert_eq!(set("78").expect("the file is valid").boxes, Some(78));
    assert!(set("0").is_err());
}

/// Mechanisms are switched on one by one; an unknown name is an error with its line.
#[test]
fn feature_misread() {
    let set = |line: &str| Settings::parse(&format!("{FILE}\n[features]\n{line}\n"));
    assert_eq!(Settings::parse(FILE).expect("the file is valid").features, Features::default());
    let features = set("admission = true").expect("the file is valid").features;
    assert_eq!(features, Features { admission: true, ..Features::default() });
    let findings = set("admision = true").expect_err("there is no such mechanism");
    let message = &findings[0].message;
    assert!(message.contains("line 23") && message.contains("admission"), "{message}");
}

#[test]
fn invalid_toml_accepted() {
    let findings = Settings::parse("[box").expect_err("it is not TOML");
    assert!(findings[0].message.contains("line 1"), "{findings:?}");
}

/// Runs the program with arguments and without its environment variable.
fn run(arguments: &[&str]) -> Output {
    let path = program("hollyspoke-node").expect("the program is built");
    let mut command = Command::new(path);
    command.env_remove("HOLLYSPOKE_CONFIG").args(arguments);
    command.output().expect("the program can be run")
}

#[test]
fn unclear_usage_error() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings FILE"));
    for arguments in [vec!["--nonsense"], vec!["--settings", "/nowhere/at/all"], vec![]] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(text.lines().count(), 1, "{text}");
    }
}

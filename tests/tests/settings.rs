//! A daemon's settings are checked all together.

use hollyspoke_daemon::settings::Settings;
use pico_args::Arguments;

/// Reads settings of arguments and variables; gives the findings, a line each.
fn findings(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let arguments = Arguments::from_vec(arguments.iter().map(Into::into).collect());
    let variable = |name: &str| {
        variables.iter().find(|(it, _)| *it == name).map(|(_, value)| (*value).to_owned())
    };
    let findings = Settings::read(arguments, &variable).err().unwrap_or_default();
    findings.iter().map(|it| format!("{it}\n")).collect()
}

/// Every wrong setting is reported at once.
#[test]
fn all_findings() {
    let arguments = [
        "--platform",
        "platform:80",
        "--listen",
        "0.0.0.0:80",
        "--seeds",
        "10.0.0.1:1,box-2",
        "--body-limit",
        "0",
        "--log",
        "xml",
        "--colour",
        "blue",
    ];
    insta::assert_snapshot!(findings(&arguments, &[]));
}

/// A flag goes before its variable, and variables fill in for flags.
#[test]
fn flags_first() -> Result<(), String> {
    let variables = [
        ("HOLLYSPOKE_NAME", "from-variable"),
        ("HOLLYSPOKE_DATA_CENTRE", "north"),
        ("HOLLYSPOKE_SITE", "s"),
        ("HOLLYSPOKE_PLATFORM", "10.0.0.1:80"),
    ];
    assert_eq!(findings(&[], &variables), "");
    let variable = |name: &str| {
        variables.iter().find(|(it, _)| *it == name).map(|(_, value)| (*value).to_owned())
    };
    let arguments = Arguments::from_vec(vec!["--name".into(), "from-flag".into()]);
    let settings = Settings::read(arguments, &variable).map_err(|it| format!("{it:?}"))?;
    assert_eq!((settings.name.as_str(), settings.data_centre.as_str()), ("from-flag", "north"));
    Ok(())
}

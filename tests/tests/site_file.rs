//! Site files: every mistake is found, with its place, and the users' own files have none.

use hollyspoke_tests::process::run_cli;

/// The folder of the examples.
const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples");

/// A file with mistakes.
const MISTAKES: &str = include_str!("files/ten_mistakes.toml");

/// Gives each finding with its place and hint, a line each.
fn found(text: &str) -> String {
    let findings = hollyspoke_file::read(text).err().unwrap_or_default();
    let line = |it: &hollyspoke_file::Finding| {
        let (line, column) = it.line_and_column(text);
        let hint = it.hint.as_deref().unwrap_or("-");
        format!("{line}:{column} {} [{hint}]\n", it.message)
    };
    findings.iter().map(line).collect()
}

/// Every mistake of a file is reported together.
#[test]
fn ten_mistakes() {
    insta::assert_snapshot!(found(MISTAKES));
}

/// A file that is no TOML gets a finding with its place.
#[test]
fn no_toml() {
    insta::assert_snapshot!(found("site = \"x\"\ndata_centres = [\n[[model]\nname == 1\n"));
}

/// A finding is drawn with the lines that it speaks of.
#[test]
fn drawn_finding() {
    let text = "site = \"x\"\ncolour = \"blue\"\n";
    let findings = hollyspoke_file::read(text).err().unwrap_or_default();
    let drawn: Vec<String> = findings.iter().map(|it| it.render("x.toml", text)).collect();
    insta::assert_snapshot!(drawn.join("\n"));
}

/// The users' own files have no mistakes.
#[tokio::test]
async fn users_files() -> eyre::Result<()> {
    for (name, engines) in [("bilbao", 10), ("lima", 20)] {
        let path = format!("{EXAMPLES}/{name}.toml");
        let (exit, printed) = run_cli(&["check", &path]).await?;
        assert_eq!(exit, 0, "{printed}");
        let site = hollyspoke_file::read(&std::fs::read_to_string(&path)?);
        let site = site.expect("the file was checked just now");
        assert_eq!((site.engines.len(), site.upstreams.len()), (engines, 3));
        assert_eq!(site.data_centres.len(), 3);
    }
    Ok(())
}

/// The tool's exit codes and JSON for a file with mistakes.
#[tokio::test]
async fn check_codes() -> eyre::Result<()> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/files/ten_mistakes.toml");
    let (exit, printed) = run_cli(&["check", path, "--json"]).await?;
    assert_eq!(exit, 3);
    let value: serde_json::Value = serde_json::from_str(&printed)?;
    let findings = value["findings"].as_array().map_or(0, Vec::len);
    assert!(findings >= 10, "{printed}");
    let (exit, _) = run_cli(&["check"]).await?;
    assert_eq!(exit, 2);
    let (exit, _) = run_cli(&["chek"]).await?;
    assert_eq!(exit, 2);
    Ok(())
}

//! The platform's names are used in `platform/` alone.

use hollyspoke_tests::source;

/// Headers, paths, fields and values of the platform. `/objects/` is missing: the store interface of
/// the router itself has the same path.
const NAMES: [&str; 27] = [
    "x-request-id",
    "x-deadline-ms",
    "x-expect-instance",
    "x-expect-version",
    "x-serving-stage",
    "x-kv-source",
    "x-kv-hold",
    "x-kv-backup",
    "kv-fetch",
    "x-pin-ms",
    "x-token-count",
    "x-length-hint",
    "x-prompt-prefix",
    "x-server-stamp",
    "x-server-load",
    "server-limit",
    "x-not-executed",
    "prefillhandle",
    "kv-handle",
    "kv-list",
    "pathprefix",
    "trafficsplit",
    "targetlatencyms",
    "waitms",
    "/readiness",
    "/resolve",
    "tokenkvbytes",
];

#[test]
fn names_outside_adapter() {
    for path in source::files(&source::root().join("crates")) {
        let text = std::fs::read_to_string(&path).expect("a source is text");
        let text = text.to_ascii_lowercase();
        for name in NAMES {
            assert!(!text.contains(name), "{} names `{name}`", path.display());
        }
    }
}

#[test]
fn adapter_too_large() {
    let folder = source::root().join("platform/src");
    let lines: usize = source::files(&folder)
        .iter()
        .map(|it| std::fs::read_to_string(it).expect("a source is text").lines().count())
        .sum();
    assert!(lines < 1500, "{lines} lines");
}

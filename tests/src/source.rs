//! The repository's own source files, for tests that read them.

use std::path::{Path, PathBuf};

/// Returns the repository's root folder.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Returns the source files below a folder.
///
/// # Panics
///
/// If the folder cannot be read.
pub fn files(folder: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            found.extend(files(&path));
        } else if path.extension().is_some_and(|it| it == "rs") {
            found.push(path);
        }
    }
    found
}

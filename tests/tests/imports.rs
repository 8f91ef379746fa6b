//! Modules of a crate import each other one way, so that each can be read and tested alone.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use hollyspoke_tests::source::{files, root};

/// The modules of a crate, each with those that it imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Gives the module that a file belongs to: a module's parts count as one with it.
fn module(source: &Path, file: &Path) -> String {
    let below = file.strip_prefix(source).expect("a file of the crate");
    let first = below.components().next().expect("a name").as_os_str();
    first.to_string_lossy().trim_end_matches(".rs").to_owned()
}

/// Reads which modules of a crate import which.
fn imports(source: &Path) -> Imports {
    let files = files(source);
    let mut imports = Imports::new();
    for file in &files {
        imports.entry(module(source, file)).or_default();
    }
    let names: BTreeSet<String> = imports.keys().cloned().collect();
    for file in &files {
        let own = module(source, file);
        let text = std::fs::read_to_string(file).expect("a source file");
        let lines = text.lines().filter(|it| !it.trim_start().starts_with("//"));
        let used = lines.flat_map(|line| line.split("crate::").skip(1));
        for rest in used {
            let end = rest.find(|it: char| !it.is_ascii_alphanumeric() && it != '_');
            let name = &rest[..end.unwrap_or(rest.len())];
            if name != own && names.contains(name) {
                imports.get_mut(&own).expect("a module").insert(name.to_owned());
            }
        }
    }
    imports
}

/// Gives the modules that a module reaches through imports.
fn reached(imports: &Imports, from: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    let mut open = vec![from.to_owned()];
    while let Some(next) = open.pop() {
        for module in &imports[&next] {
            if found.insert(module.clone()) {
                open.push(module.clone());
            }
        }
    }
    found
}

/// Gives the modules that lie on a circle of imports.
fn circle(imports: &Imports) -> Vec<String> {
    let is_on_circle = |it: &&String| reached(imports, it).contains(*it);
    imports.keys().filter(is_on_circle).cloned().collect()
}

#[test]
fn cycle_missed() {
    let edges = [("a", "b"), ("b", "c"), ("c", "b"), ("d", "a")];
    let mut imports = Imports::new();
    for (from, to) in edges {
        imports.entry(from.to_owned()).or_default().insert(to.to_owned());
        imports.entry(to.to_owned()).or_default();
    }
    assert_eq!(circle(&imports), ["b", "c"]);
}

#[test]
fn cyclic_imports() {
    let crates = root().join("crates");
    let mut folders: Vec<_> = std::fs::read_dir(crates)
        .expect("a folder")
        .map(|it| it.expect("an entry").path())
        .collect();
    folders.push(root().join("platform"));
    folders.sort();
    let mut circles = Vec::new();
    for folder in folders {
        let name = folder.file_name().expect("a name").to_string_lossy().into_owned();
        let on_circle = circle(&imports(&folder.join("src")));
        if !on_circle.is_empty() {
            circles.push((name, on_circle));
        }
    }
    assert!(circles.is_empty(), "{circles:?}");
}

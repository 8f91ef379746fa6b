//! The parser and checker of site files, with the positions of all errors.
//!
//! [`read`] processes the whole file and collects every finding before it fails, so that an
//! operator sees all errors at once.

pub mod check;
pub mod finding;
pub mod parse;
pub mod reader;

use hollyspoke::site::Site;

pub use finding::Finding;

/// Reads a site file.
///
/// # Errors
///
/// All findings, ordered by position, if the file is not valid.
pub fn read(text: &str) -> Result<Site, Vec<Finding>> {
    let mut findings = Vec::new();
    let draft = parse::parse(text, &mut findings);
    if let Some(draft) = &draft {
        check::check(draft, &mut findings);
    }
    findings.sort_by_key(|it| (it.span.start, it.span.end));
    match draft {
        Some(draft) if findings.is_empty() => Ok(draft.site),
        Some(_) | None => Err(findings),
    }
}

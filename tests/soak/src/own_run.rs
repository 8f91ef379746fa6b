//! Tells the events of a stream's own run from other bytes.

use std::ops::RangeInclusive;

use crate::standin::engine::{SOFTWARE_VERSIONS, event};

/// The maximum length of an excerpt, in bytes.
const EXCERPT_BYTES: usize = 80;

/// Returns the beginning of what a client received instead of the event due, if anything.
///
/// A stream that was cut may end within the event due, a complete one may not.
pub fn foreign_bytes(
    bytes: &[u8],
    attempt: &str,
    due: RangeInclusive<u64>,
    is_complete: bool,
) -> Option<String> {
    let mut rest = bytes;
    let mut is_partial = false;
    for number in due {
        let forms = SOFTWARE_VERSIONS.map(|version| event(attempt, number, version));
        let Some(left) = forms.iter().find_map(|it| rest.strip_prefix(it.as_bytes())) else {
            is_partial = forms.iter().any(|it| it.as_bytes().starts_with(rest));
            break;
        };
        rest = left;
    }
    let is_foreign = !rest.is_empty() && (is_complete || !is_partial);
    is_foreign.then(|| String::from_utf8_lossy(&rest[..rest.len().min(EXCERPT_BYTES)]).into_owned())
}

//! The names after which the pages of a list begin. Other programs choose the names of objects, and a
//! store can't be asked for what follows just any name.

/// The maximum size of a name that the store is asked with, in bytes. Every HTTP server should accept
/// request lines of 8,000 bytes (RFC 9110, section 4.1), and escaped text is three times as long.
const MAX_NAME_BYTES: usize = 2048;

/// The first character after the control characters at the start of the alphabet.
const FIRST_PRINTABLE: char = ' ';

/// Returns the name to continue a list with after an object. If the store can't be asked for what
/// follows the object's own name, it is a later name, with as few names in between as possible: they
/// are as long up to the same byte, or have a control character in the same place.
pub fn after(name: &str) -> String {
    let Some(end) = name.find(char::is_control).filter(|it| *it <= MAX_NAME_BYTES) else {
        return if name.is_empty() { FIRST_PRINTABLE.to_string() } else { shortened(name) };
    };
    let is_early = name[end..].starts_with(|it| it < FIRST_PRINTABLE);
    let next = if is_early { FIRST_PRINTABLE } else { char::MAX };
    format!("{}{next}", &name[..end])
}

/// Cuts a name that is too long, so that it sorts after all names with the same beginning.
fn shortened(name: &str) -> String {
    if name.len() <= MAX_NAME_BYTES {
        return name.to_owned();
    }
    format!("{}{}", &name[..name.floor_char_boundary(MAX_NAME_BYTES)], char::MAX)
}

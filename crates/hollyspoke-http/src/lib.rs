//! Checks the bytes of answers over HTTP/1.1 before the HTTP library parses them. The library accepts
//! heads that other readers understand in another way; here each head has one meaning or none.
//!
//! Source: RFC 9112, sections 2.2, 4, 5 and 6.

pub mod framing;
pub mod guard;
pub mod head;
pub mod unmarked;
pub mod violation;

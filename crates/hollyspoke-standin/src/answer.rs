//! The answers of a stand-in engine. They depend on the prompt alone, so that a test can
//! compare a received answer with the expected one.

use xxhash_rust::xxh3::xxh3_64;

/// The vocabulary of the answers.
const WORDS: [&str; 16] = [
    "ink", "page", "seat", "hall", "stamp", "margin", "ticket", "lot", "press", "proof", "row",
    "clerk", "seller", "receipt", "bylaw", "night",
];

/// Returns the token with a sequence number of the answer to a prompt.
pub fn token(prompt: &str, seq: u32) -> String {
    let seed = xxh3_64(prompt.as_bytes()).wrapping_add(u64::from(seq).wrapping_mul(0x9e37_79b9));
    let word = WORDS[(xxh3_64(&seed.to_le_bytes()) % WORDS.len() as u64) as usize];
    format!("{word}{seq} ")
}

/// Returns the length of the answer to a prompt, in tokens, and the finish reason.
///
/// About one answer in four ends before it reaches `max_tokens`.
pub fn length(prompt: &str, max_tokens: u32) -> (u32, &'static str) {
    let hash = xxh3_64(prompt.as_bytes());
    if hash.is_multiple_of(4) && max_tokens > 1 {
        return (max_tokens / 2, "stop");
    }
    (max_tokens, "length")
}

/// Returns the complete answer to a prompt.
pub fn whole(prompt: &str, max_tokens: u32) -> String {
    let (length, _) = length(prompt, max_tokens);
    (0..length).map(|seq| token(prompt, seq)).collect()
}

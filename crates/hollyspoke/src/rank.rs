//! Rendezvous hashing: an order of candidates that shifts little as they come and go.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Gives the weight of a candidate for a subject; the highest weight comes first.
pub fn weight(subject: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), subject)
}

/// Gives a candidate's place for a subject; the first choice has the lowest.
pub fn sort_key(subject: u64, candidate: u64) -> (Reverse<u64>, u64) {
    (Reverse(weight(subject, candidate)), candidate)
}

/// Sorts candidates for a subject, the first choice first.
pub fn order<T>(subject: u64, candidates: &mut [T], number: impl Fn(&T) -> u64) {
    candidates.sort_by_key(|it| sort_key(subject, number(it)));
}

/// Finds the first choice for a subject.
pub fn first(subject: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|&candidate| (weight(subject, candidate), std::cmp::Reverse(candidate)))
}

//! Rendezvous hashing: a ranking of candidates that changes little when candidates are added or
//! removed.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a candidate for a subject; the highest weight comes first.
pub fn weight(subject: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), subject)
}

/// Returns the key by which candidates are sorted for a subject; the first choice has the lowest.
pub fn sort_key(subject: u64, candidate: u64) -> (Reverse<u64>, u64) {
    (Reverse(weight(subject, candidate)), candidate)
}

/// Sorts candidates for a subject, the first choice first.
pub fn order<T>(subject: u64, candidates: &mut [T], number: impl Fn(&T) -> u64) {
    candidates.sort_by_key(|it| sort_key(subject, number(it)));
}

/// Returns the first choice for a subject.
pub fn first(subject: u64, candidates: impl Iterator<Item = u64>) -> Option<u64> {
    candidates.max_by_key(|&candidate| (weight(subject, candidate), std::cmp::Reverse(candidate)))
}

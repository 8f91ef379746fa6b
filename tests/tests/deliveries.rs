//! Which client is disconnected when a box lacks memory or descriptors.

use std::time::Duration;

use hollyspoke_server::delivery::{Progress, longest_idle, slowest};
use tokio::time::Instant;

/// A second.
const SECOND: Duration = Duration::from_secs(1);

/// Returns the progress of a connection whose answer has waited for its client for some seconds.
fn blocked(now: Instant, seconds: u32, taken: u64) -> Progress {
    let since = now - SECOND * seconds;
    Progress { blocked_since: Some(since), taken, active_at: now, is_serving: false }
}

/// Returns the progress of a connection that has been without a request for some seconds.
fn idle(now: Instant, seconds: u32) -> Progress {
    Progress { blocked_since: None, taken: 0, active_at: now - SECOND * seconds, is_serving: false }
}

/// Returns a time that others can be before.
fn now() -> Instant {
    Instant::now() + SECOND * 100
}

#[test]
fn faster_client_disconnected() {
    let now = now();
    let connections = [blocked(now, 2, 4000), blocked(now, 10, 10_000), idle(now, 50)];
    assert_eq!(slowest(connections.iter().enumerate(), now), Some(1));
}

/// A client that has just begun to take an answer has taken little of it.
#[test]
fn new_client_disconnected() {
    let now = now();
    let connections = [blocked(now, 0, 0), blocked(now, 5, 100_000)];
    assert_eq!(slowest(connections.iter().enumerate(), now), Some(1));
    assert_eq!(slowest(connections[..1].iter().enumerate(), now), None);
}

#[test]
fn serving_connection_disconnected() {
    let now = now();
    let serving = Progress { is_serving: true, ..idle(now, 60) };
    let connections = [serving, idle(now, 20), idle(now, 30), blocked(now, 40, 0)];
    assert_eq!(longest_idle(connections.iter().enumerate(), now), Some(2));
    assert_eq!(longest_idle([serving].iter().enumerate(), now), None);
}

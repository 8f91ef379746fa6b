//! Which streams move from an engine that shuts down, how many at a time, and which are backed up.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::migration::{
    BackupCase, Copy, EventSize, Link, Progress, may_copy, outlives_engine,
};

/// Returns the progress of a stream with an event every 20 ms.
fn progress(events: u64) -> Progress {
    let mut progress = Progress::default();
    (1..=events).for_each(|id| progress.record(id, Time::from_millis(id * 20)));
    progress
}

/// Returns a copy that takes 100 ms between engines of these numbers.
fn copy(source: u64, target: u64) -> Copy {
    let duration = Duration::from_millis(100);
    Copy { source: EngineKey(source), target: EngineKey(target), duration }
}

#[test]
fn remaining_time_wrong() {
    assert_eq!(progress(50).event_interval(), Duration::from_millis(20));
    assert_eq!(progress(50).remaining(100.0), Duration::from_secs(1));
    let events_behind_id = {
        let mut progress = Progress::default();
        progress.record(40, Time::from_millis(1000));
        progress.record(50, Time::from_millis(1400));
        progress
    };
    assert_eq!(events_behind_id.event_interval(), Duration::from_millis(40), "resumed after 40");
}

/// The expected length is often far off.
#[test]
fn overdue_stream_counts_as_complete() {
    assert_eq!(progress(200).remaining(100.0), Duration::from_secs(1));
}

#[test]
fn event_counts_as_one_token() {
    let mut size = EventSize::default();
    (0..100).for_each(|_| size.record(800, 200));
    assert!((size.events(400) - 100.0).abs() < 1.0, "{size:?}");
}

#[test]
fn complete_stream_moved() {
    let seconds = Duration::from_secs;
    assert!(outlives_engine(seconds(5), seconds(2)));
    assert!(outlives_engine(seconds(1), Duration::ZERO));
    assert!(!outlives_engine(seconds(1), seconds(2)));
    assert!(!outlives_engine(Duration::from_millis(150), Duration::ZERO));
    assert!(outlives_engine(Duration::from_millis(1700), seconds(2)), "a move takes a while too");
}

#[test]
fn links_overrun() {
    assert!(may_copy(&[], copy(1, 2)));
    let from_one = [copy(1, 2), copy(1, 3), copy(1, 4)];
    assert!(may_copy(&from_one, copy(1, 5)));
    assert!(!may_copy(&[from_one.as_slice(), &[copy(1, 5)]].concat(), copy(1, 6)));
    let to_one = [copy(1, 9), copy(2, 9), copy(3, 9), copy(4, 9)];
    assert!(!may_copy(&to_one, copy(5, 9)), "the target's link bears as much as the source's");
    assert!(may_copy(&to_one, copy(5, 8)));
    let many: Vec<_> = (0..16).map(|it| copy(it, 100 + it)).collect();
    assert!(!may_copy(&many, copy(50, 51)));
}

/// A copy that is larger than the bound would never be made otherwise.
#[test]
fn large_copy_never_made() {
    let large = Copy { duration: Duration::from_secs(3), ..copy(1, 2) };
    assert!(may_copy(&[copy(3, 4)], large));
    assert!(!may_copy(&[copy(1, 4)], large));
}

#[test]
fn distance_ignored() {
    let link = Link { token_bytes: 125_000, mbps: 1_000.0 };
    assert_eq!(link.copy_duration(1000, true), Duration::from_secs(1));
    assert_eq!(link.copy_duration(1000, false), Duration::from_secs(2));
}

#[test]
fn backup_takes_scarce_memory() {
    let case = BackupCase {
        is_idempotent: false,
        prompt_tokens: 1000,
        tokens: 1500,
        held_tokens: 28_000,
        memory_tokens: 60_000,
    };
    assert!(case.is_worthwhile() && case.has_memory());
    assert!(!BackupCase { held_tokens: 29_000, ..case }.has_memory());
    assert!(!BackupCase { is_idempotent: true, ..case }.is_worthwhile());
    assert!(BackupCase { is_idempotent: true, prompt_tokens: 20_000, ..case }.is_worthwhile());
}

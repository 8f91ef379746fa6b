//! Requests under which engines crashed: boxes merge them in any order, and their number is bounded.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::{Engine, EngineKey};
use hollyspoke_gateway::quarantine::{
    self, Crash, Incarnation, MAX_ANNOUNCED, MAX_CRASHES, Proof, RequestSummary, Verdict,
};
use hollyspoke_gateway::signature::{Content, Signature};
use hollyspoke_tests::gateway::{PLAIN, engine};
use proptest::prelude::*;

/// The cases of requests.
type Quarantine = quarantine::Quarantine<MAX_CRASHES>;

/// An announced case of a request.
type Announcement = quarantine::Announcement<MAX_CRASHES>;

/// A Unix time in seconds.
const UNIX_TIME_S: u64 = 1_790_000_000;

/// Returns the signature of the request with a number.
fn signature(number: u32) -> Signature {
    let content = Content::of("GET", "host", "/", &number.to_le_bytes());
    Signature::of(content, None, None)
}

/// Returns the summary of a request for operators.
fn summary() -> RequestSummary {
    RequestSummary { customer: None, path: "/".into() }
}

/// Returns an engine with a start time.
fn started_engine(number: u8, started_at: u64) -> Engine {
    Engine { started_at: Some(started_at), ..engine(number, PLAIN, None) }
}

/// Records a proven crash of an engine under a request, at a box that knows all earlier ones.
fn crash(quarantine: &mut Quarantine, signature: Signature, engine: &Engine, now: Time) {
    let progress = quarantine.progress(signature);
    if quarantine.suspect(signature, progress, engine, summary(), now) {
        let incarnation = Incarnation { engine: engine.key, started_at: engine.started_at };
        quarantine.confirm(incarnation, Proof::Proven, now, UNIX_TIME_S);
    }
}

/// Three successive crashes put a request into quarantine; three at the same time count as one.
#[test]
fn parallel_crashes_counted() {
    let now = Time::from_millis(1);
    let (mut serial, mut parallel) = (Quarantine::default(), Quarantine::default());
    let progress = parallel.progress(signature(1));
    for number in 1..=3 {
        crash(&mut serial, signature(1), &started_engine(number, 1), now);
        parallel.suspect(signature(1), progress, &started_engine(number, 1), summary(), now);
    }
    assert_eq!(serial.verdict(signature(1)), Verdict::Held);
    assert_eq!(parallel.verdict(signature(1)), Verdict::Suspect);
}

/// An engine counts once per incarnation.
#[test]
fn incarnation_counted_twice() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for started_at in [1, 1, 1, 2, 2, 3] {
        crash(&mut quarantine, signature(1), &started_engine(1, started_at), now);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Held);
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        crash(&mut quarantine, signature(1), &started_engine(1, 1), now);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Suspect);
}

/// Crashes that are not proven in time expire.
#[test]
fn unproven_crashes_kept() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let progress = quarantine.progress(signature(1));
        let engine = started_engine(number, 1);
        assert!(quarantine.suspect(signature(1), progress, &engine, summary(), now));
        let incarnation = Incarnation { engine: engine.key, started_at: engine.started_at };
        quarantine.confirm(incarnation, Proof::Likely, now, UNIX_TIME_S);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Unconfirmed);
    quarantine.sweep(now + Duration::from_secs(11), UNIX_TIME_S + 11);
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Clear);
}

/// Thousands of different requests displace those that were sent once, not one in quarantine that keeps
/// arriving. What is announced and stored stays bounded.
#[test]
fn unbounded_cases() {
    let mut quarantine = Quarantine::default();
    let mut now = Time::from_millis(1);
    for number in 1..=3 {
        crash(&mut quarantine, signature(0), &started_engine(number, 1), now);
    }
    for number in 1..4_000 {
        now = now + Duration::from_millis(1);
        let crashes = if number % 2 == 0 { 1 } else { 3 };
        for engine in 1..=crashes {
            crash(&mut quarantine, signature(number), &started_engine(engine, 1), now);
        }
        quarantine.record_seen(signature(0), now, summary);
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    assert_eq!(quarantine.verdict(signature(0)), Verdict::Held);
    assert!(quarantine.reminder().len() <= MAX_ANNOUNCED);
    assert!(quarantine.take_unannounced().len() <= MAX_ANNOUNCED);
    assert!(quarantine.to_save(2, 256).len() <= 256);
}

/// An outdated announcement does not reopen a closed case, and a box that sends one is corrected.
#[test]
fn closed_case_reopened() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, signature(1), &started_engine(number, 1), now);
    }
    let outdated = quarantine.take_unannounced();
    quarantine.close_case(signature(1), now);
    let closing = quarantine.take_unannounced();
    for announcement in &outdated {
        quarantine.receive(announcement, now, None);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Clear);
    let mut other = Quarantine::default();
    for announcement in outdated.iter().chain(&quarantine.take_unannounced()) {
        other.receive(announcement, now, None);
    }
    assert_eq!(other.verdict(signature(1)), Verdict::Clear);
    assert_eq!(closing.len(), 1);
}

/// The same request of two callers has two signatures, and the parts of a request can't be shifted into
/// each other.
#[test]
fn callers_share_signature() {
    let content = Content::of("GET", "host", "/a", b"b");
    let own = Signature::of(content, Some("press"), None);
    assert_ne!(own, Signature::of(content, Some("office"), None));
    assert_ne!(own, Signature::of(content, None, None));
    assert_eq!(own, Signature::of(Content::of("GET", "host", "/a", b"b"), Some("press"), None));
    for other in [
        Content::of("GET", "host", "/ab", b""),
        Content::of("GET", "host/", "a", b"b"),
        Content::of("GEThost", "", "/a", b"b"),
    ] {
        assert_ne!(own, Signature::of(other, Some("press"), None));
    }
    assert_eq!(Signature::parse(&own.text()), Some(own));
    assert_eq!(Signature::parse("zz"), None);
    assert!(!format!("{own:?}").contains(&own.text()));
}

/// Generates an announcement of one request.
fn announcement() -> impl Strategy<Value = Announcement> {
    let proof = prop_oneof![Just(Proof::Likely), Just(Proof::Proven)];
    let crash = (0..4u64, prop::option::of(0..3u64), proof)
        .prop_map(|(engine, born, proof)| Crash { engine: EngineKey(engine), born, proof });
    let crashes = prop::array::uniform3(prop::option::of(crash));
    (0..3u32, crashes, UNIX_TIME_S..UNIX_TIME_S + 5).prop_map(|(epoch, crashes, at)| Announcement {
        signature: signature(1),
        epoch,
        crashes,
        at,
    })
}

/// Applies announcements in order; returns what the box then stores.
fn announced_after(announcements: &[Announcement]) -> Vec<Announcement> {
    let mut quarantine = Quarantine::default();
    for announcement in announcements {
        quarantine.receive(announcement, Time::from_millis(1), None);
    }
    quarantine.to_save(0, usize::MAX).into_iter().map(|it| it.0).collect()
}

proptest! {
    /// The state of a box does not depend on the order or the number of announcements.
    #[test]
    fn order_does_not_matter(
        announcements in prop::collection::vec(announcement(), 1..8),
        shuffled in any::<prop::sample::Index>(),
    ) {
        // An announcement without a crash opens no case, so that one with crashes is first.
        let has_crash = |it: &Announcement| it.crashes.iter().flatten().next().is_some();
        prop_assume!(has_crash(&announcements[0]));
        let mut rotated = announcements.clone();
        let index = shuffled.index(announcements.len());
        rotated[1..].rotate_left(index.min(announcements.len() - 1));
        let doubled: Vec<_> = announcements.iter().chain(&rotated).copied().collect();
        prop_assert_eq!(announced_after(&announcements), announced_after(&rotated));
        prop_assert_eq!(announced_after(&announcements), announced_after(&doubled));
    }
}

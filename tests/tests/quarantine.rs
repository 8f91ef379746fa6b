//! The cases of requests under which engines crashed: joined over boxes in any order, and bounded.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::{Engine, EngineKey};
use hollyspoke_gateway::quarantine::{
    Announcement, Crash, Incarnation, MAX_ANNOUNCED, Proof, Quarantine, RequestSummary, Verdict,
};
use hollyspoke_gateway::signature::{Content, Signature};
use hollyspoke_tests::gateway::{PLAIN, engine};
use proptest::prelude::*;

/// A Unix time in seconds.
const UNIX: u64 = 1_790_000_000;

/// Gives the signature of a request of a number.
fn signature(number: u32) -> Signature {
    let content = Content::of("GET", "host", "/", &number.to_le_bytes());
    Signature::of(content, None, None)
}

/// Gives what operators see of a request.
fn about() -> RequestSummary {
    RequestSummary { customer: None, path: "/".into() }
}

/// Gives an engine in a life of its own.
fn alive(number: u8, born: u64) -> Engine {
    Engine { started_at: Some(born), ..engine(number, PLAIN, None) }
}

/// Has an engine crash under a request, as a box sees it that knows all that went before.
fn crash(quarantine: &mut Quarantine, signature: Signature, engine: &Engine, now: Time) {
    let stand = quarantine.progress(signature);
    if quarantine.suspect(signature, stand, engine, about(), now) {
        let incarnation = Incarnation { engine: engine.key, started_at: engine.started_at };
        quarantine.confirm(incarnation, Proof::Proven, now, UNIX);
    }
}

/// Three crashes one after the other hold a request back; three at once are one.
#[test]
fn one_after_the_other() {
    let now = Time::from_millis(1);
    let (mut serial, mut sudden) = (Quarantine::default(), Quarantine::default());
    let stand = sudden.progress(signature(1));
    for number in 1..=3 {
        crash(&mut serial, signature(1), &alive(number, 1), now);
        sudden.suspect(signature(1), stand, &alive(number, 1), about(), now);
    }
    assert_eq!(serial.verdict(signature(1)), Verdict::Held);
    assert_eq!(sudden.verdict(signature(1)), Verdict::Suspect);
}

/// The same engine counts again once it has started anew, and not before.
#[test]
fn lives_count_once() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for born in [1, 1, 1, 2, 2, 3] {
        crash(&mut quarantine, signature(1), &alive(1, born), now);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Held);
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        crash(&mut quarantine, signature(1), &alive(1, 1), now);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Suspect);
}

/// Crashes that nothing proves in time do not hold a request back.
#[test]
fn unproven_crashes_lapse() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        let stand = quarantine.progress(signature(1));
        let engine = alive(number, 1);
        assert!(quarantine.suspect(signature(1), stand, &engine, about(), now));
        let incarnation = Incarnation { engine: engine.key, started_at: engine.started_at };
        quarantine.confirm(incarnation, Proof::Likely, now, UNIX);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Unconfirmed);
    quarantine.sweep(now + Duration::from_secs(11), UNIX + 11);
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Clear);
}

/// Whoever sends thousands of different requests displaces those that came once, not the one that is
/// held back and keeps coming; what is told and stored stays bounded.
#[test]
fn bounded() {
    let mut quarantine = Quarantine::default();
    let mut now = Time::from_millis(1);
    for number in 1..=3 {
        crash(&mut quarantine, signature(0), &alive(number, 1), now);
    }
    for number in 1..4_000 {
        now = now + Duration::from_millis(1);
        let crashes = if number % 2 == 0 { 1 } else { 3 };
        for engine in 1..=crashes {
            crash(&mut quarantine, signature(number), &alive(engine, 1), now);
        }
        quarantine.record_seen(signature(0), now, about);
    }
    assert!(quarantine.len() <= 2048, "{}", quarantine.len());
    assert_eq!(quarantine.verdict(signature(0)), Verdict::Held);
    assert!(quarantine.reminder().len() <= MAX_ANNOUNCED);
    assert!(quarantine.take_unannounced().len() <= MAX_ANNOUNCED);
    assert!(quarantine.to_save(2, 256).len() <= 256);
}

/// Word of a case that has ended does not open it again, and whoever spreads it is set right.
#[test]
fn ended_case_stays_ended() {
    let now = Time::from_millis(1);
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, signature(1), &alive(number, 1), now);
    }
    let late = quarantine.take_unannounced();
    quarantine.close_case(signature(1), now);
    let ended = quarantine.take_unannounced();
    for word in &late {
        quarantine.receive(word, now, None);
    }
    assert_eq!(quarantine.verdict(signature(1)), Verdict::Clear);
    let mut behind = Quarantine::default();
    for word in late.iter().chain(&quarantine.take_unannounced()) {
        behind.receive(word, now, None);
    }
    assert_eq!(behind.verdict(signature(1)), Verdict::Clear);
    assert_eq!(ended.len(), 1);
}

/// A caller's request has a signature of its own, though another one sends the same; a name never
/// runs into what stands before it.
#[test]
fn callers_are_apart() {
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

/// Draws what a box tells of one request.
fn word() -> impl Strategy<Value = Announcement> {
    let proof = prop_oneof![Just(Proof::Likely), Just(Proof::Proven)];
    let crash = (0..4u64, prop::option::of(0..3u64), proof)
        .prop_map(|(engine, born, proof)| Crash { engine: EngineKey(engine), born, proof });
    let crashes = prop::array::uniform3(prop::option::of(crash));
    (0..3u32, crashes, UNIX..UNIX + 5).prop_map(|(epoch, crashes, at)| Announcement {
        signature: signature(1),
        epoch,
        crashes,
        at,
    })
}

/// Has a box hear words in an order; gives what it then tells.
fn after(words: &[Announcement]) -> Vec<Announcement> {
    let mut quarantine = Quarantine::default();
    for word in words {
        quarantine.receive(word, Time::from_millis(1), None);
    }
    quarantine.to_save(0, usize::MAX).into_iter().map(|it| it.0).collect()
}

proptest! {
    /// Boxes that have heard the same know the same, in whatever order it came and however often.
    #[test]
    fn order_does_not_matter(
        words in prop::collection::vec(word(), 1..8),
        shuffled in any::<prop::sample::Index>(),
    ) {
        // Word of a case without a crash opens none, so that one with crashes goes first.
        let has_crash = |it: &Announcement| it.crashes.iter().flatten().next().is_some();
        prop_assume!(has_crash(&words[0]));
        let mut turned = words.clone();
        let place = shuffled.index(words.len());
        turned[1..].rotate_left(place.min(words.len() - 1));
        let doubled: Vec<_> = words.iter().chain(&turned).copied().collect();
        prop_assert_eq!(after(&words), after(&turned));
        prop_assert_eq!(after(&words), after(&doubled));
    }
}

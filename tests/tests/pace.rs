//! The pace of engines, measured from streams and prompts without a network.

use std::collections::BTreeSet;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::pace::{Announcement, MAX_PERCENT, Paces, SLOW_PERCENT, ramp_share};
use hollyspoke_gateway::request::CallKey;
use hollyspoke_tests::gateway::{MODEL, engine};
use proptest::prelude::*;

/// The time between two events at the usual pace.
const USUAL_GAP: Duration = Duration::from_millis(60);

/// The number of decode engines.
const ENGINE_COUNT: u8 = 6;

/// The time when the streams begin.
const START: Time = Time::from_millis(20_000);

/// Returns decode engine number 1 to [`ENGINE_COUNT`].
fn decode_engine(number: u8) -> Engine {
    engine(number, MODEL, Some(Stage::Decode))
}

/// Runs one stream at each engine for a time from [`START`] on, with the gaps of its engine, and
/// returns the end.
fn run_streams(
    paces: &mut Paces,
    start: Time,
    duration: Duration,
    gap: impl Fn(u8) -> Duration,
) -> Time {
    let end = start + duration;
    let mut events: Vec<_> = (1..=ENGINE_COUNT)
        .flat_map(|number| {
            let count = (duration.as_secs_f64() / gap(number).as_secs_f64()) as u64;
            (0..=count).map(move |id| (number, id))
        })
        .map(|(number, id)| (start + gap(number) * id as u32, number, id))
        .collect();
    events.sort();
    for (at, number, id) in events {
        let call = CallKey(u64::from(number));
        paces.record_events(call, &decode_engine(number), Some(id), at);
    }
    (1..=ENGINE_COUNT).for_each(|it| paces.end_stream(CallKey(u64::from(it))));
    end
}

/// Returns the gap of an engine if the first one takes 2.4 times as long as the others.
fn first_slow(number: u8) -> Duration {
    if number == 1 { USUAL_GAP.mul_f64(2.4) } else { USUAL_GAP }
}

/// Returns an announcement of engine 1.
fn announcement(percent: u16, age_ms: u32) -> Announcement {
    Announcement { engine: EngineKey::of("engine-1"), started_at: None, percent, age_ms }
}

#[test]
fn slow_engine_unnoticed() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(2), first_slow);
    let pace = paces.pace(&decode_engine(1), end);
    assert!((2.2..2.6).contains(&pace), "{pace}");
    let gap = paces.expected_gap(&decode_engine(1), end).expect("the usual one is known");
    assert!(gap > Duration::from_millis(130) && gap < Duration::from_millis(160), "{gap:?}");
    for number in 2..=ENGINE_COUNT {
        assert_eq!(paces.pace(&decode_engine(number), end), 1.0);
    }
}

#[test]
fn slow_box_blamed_on_engines() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(3), |_| USUAL_GAP);
    let end = run_streams(&mut paces, end, Duration::from_secs(6), |_| USUAL_GAP * 4);
    for number in 1..=ENGINE_COUNT {
        assert_eq!(paces.pace(&decode_engine(number), end), 1.0);
    }
    assert_eq!(paces.take_announcements(end), []);
}

/// The clients of five streams at engine 1 take a second to read one event.
#[test]
fn slow_client_blamed_on_engine() {
    let mut paces = Paces::default();
    let slow = [100, 101, 102, 103, 104].map(CallKey);
    for second in 0..6u64 {
        let now = START + Duration::from_secs(second);
        run_streams(&mut paces, now, Duration::from_millis(900), |_| USUAL_GAP);
        for call in slow {
            paces.record_hold_up(call, Some(second * 2), now);
            let read_at = now + Duration::from_millis(950);
            paces.record_events(call, &decode_engine(1), Some(second * 2 + 1), read_at);
        }
    }
    let end = START + Duration::from_secs(6);
    assert_eq!(paces.pace(&decode_engine(1), end), 1.0);
    for number in 2..=ENGINE_COUNT {
        assert_eq!(paces.pace(&decode_engine(number), end), 1.0);
    }
}

/// Events that arrive in pairs are as frequent as others.
#[test]
fn merged_events_slow() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(2), |_| USUAL_GAP);
    for pair in 0..20u64 {
        let at = START + USUAL_GAP * 2 * pair as u32;
        paces.record_events(CallKey(100), &decode_engine(1), Some(pair * 2), at);
    }
    assert_eq!(paces.pace(&decode_engine(1), end), 1.0);
}

/// A box that has measured few engines can't tell which of them is slow.
#[test]
fn few_engines_compared() {
    let mut paces = Paces::default();
    for step in 0..40u64 {
        for number in 1..=3u8 {
            let at = START + first_slow(number) * step as u32;
            let call = CallKey(u64::from(number));
            paces.record_events(call, &decode_engine(number), Some(step), at);
        }
    }
    assert_eq!(paces.pace(&decode_engine(1), START + Duration::from_secs(3)), 1.0);
}

#[test]
fn recovered_engine_avoided() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(2), first_slow);
    assert_eq!(paces.take_announcements(end).len(), 1);
    let end = run_streams(&mut paces, end, Duration::from_secs(1), |_| USUAL_GAP);
    assert_eq!(paces.pace(&decode_engine(1), end), 1.0);
    let announced = paces.take_announcements(end);
    assert!(announced.len() == 1 && announced[0].percent < 120, "{announced:?}");
}

/// A pace that is measured no more fades, so that few streams try the engine at first.
#[test]
fn stale_pace_kept() {
    let mut paces = Paces::default();
    paces.receive(&decode_engine(1), &announcement(500, 0), START);
    let after = |seconds| paces.pace(&decode_engine(1), START + Duration::from_secs(seconds));
    assert_eq!(after(1), 5.0);
    assert!(after(5) < 4.0 && after(5) > 2.0, "{}", after(5));
    assert_eq!(after(8), 1.0);
}

#[test]
fn old_announcement_applied() {
    let mut paces = Paces::default();
    paces.receive(&decode_engine(1), &announcement(500, 9000), START);
    assert_eq!(paces.pace(&decode_engine(1), START), 1.0);
    paces.receive(&decode_engine(1), &announcement(100, 500), START);
    paces.receive(&decode_engine(1), &announcement(500, 1500), START);
    assert_eq!(paces.pace(&decode_engine(1), START), 1.0);
}

#[test]
fn earlier_incarnation_announced() {
    let mut paces = Paces::default();
    let restarted = Engine { started_at: Some(7), ..decode_engine(1) };
    paces.receive(&restarted, &announcement(500, 0), START);
    assert_eq!(paces.pace(&restarted, START), 1.0);
}

#[test]
fn own_measurement_overruled() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(2), |_| USUAL_GAP);
    paces.receive(&decode_engine(1), &announcement(500, 1000), end);
    assert_eq!(paces.pace(&decode_engine(1), end), 1.0);
}

/// While an engine is slow, its pace is announced again, since datagrams are lost.
#[test]
fn lost_announcement_not_repeated() {
    let mut paces = Paces::default();
    let mut now = START;
    let mut announced = 0;
    for _ in 0..8 {
        now = run_streams(&mut paces, now, Duration::from_secs(1), first_slow);
        announced += paces.take_announcements(now).len();
    }
    assert!((3..=5).contains(&announced), "{announced}");
}

#[test]
fn too_many_announcements() {
    let mut paces = Paces::default();
    for number in 1..=90u8 {
        for event in 0..30u64 {
            let gap = if number > 60 { USUAL_GAP * 3 } else { USUAL_GAP };
            let at = START + gap * event as u32;
            let call = CallKey(u64::from(number));
            paces.record_events(call, &decode_engine(number), Some(event), at);
        }
    }
    let now = START + Duration::from_secs(3);
    let counts: Vec<_> = (0..4).map(|_| paces.take_announcements(now).len()).collect();
    assert_eq!(counts, [16, 14, 0, 0]);
}

/// Most prompts wait for others that the box doesn't know of.
#[test]
fn waiting_prompts_slow() {
    let mut paces = Paces::default();
    for prompt in 0..12u64 {
        for number in 1..=ENGINE_COUNT {
            let prefill_engine = engine(number, MODEL, Some(Stage::Prefill));
            let slow_factor = if number == 1 { 24 } else { 10 };
            let wait_factor = if prompt % 4 == u64::from(number % 4) { 1 } else { 3 };
            let took = Duration::from_millis(100) * slow_factor * wait_factor / 10;
            let at = START + Duration::from_millis(300) * prompt as u32;
            paces.record_prefill(&prefill_engine, 3300, took, at);
        }
    }
    let end = START + Duration::from_secs(4);
    for number in 1..=ENGINE_COUNT {
        let pace = paces.pace(&engine(number, MODEL, Some(Stage::Prefill)), end);
        let expected = if number == 1 { 2.2..2.6 } else { 1.0..1.1 };
        assert!(expected.contains(&pace), "{number}: {pace}");
    }
}

#[test]
fn change_logged_twice() {
    let mut paces = Paces::default();
    let end = run_streams(&mut paces, START, Duration::from_secs(2), first_slow);
    let changes = paces.take_changes(end);
    assert!(changes.len() == 1 && changes[0].is_slow, "{changes:?}");
    assert_eq!(paces.take_changes(end), []);
    let changes = paces.take_changes(end + Duration::from_secs(9));
    assert!(changes.len() == 1 && !changes[0].is_slow, "{changes:?}");
}

#[test]
fn returned_engine_flooded() {
    let share = |millis| ramp_share(START, START + Duration::from_millis(millis));
    assert_eq!([0, 999, 1000, 2500, 3000, 60_000].map(share), [0.25, 0.25, 0.5, 0.75, 1.0, 1.0]);
}

proptest! {
    /// Whatever is measured and announced, paces stay in range, an engine that is not measured stays
    /// usual, and what is announced is slow or was.
    #[test]
    fn paces_stay_in_range(
        events in prop::collection::vec((1..=8u8, 0..2000u64, prop::option::of(0..500u64)), 1..400),
        announced in prop::collection::vec((any::<u16>(), any::<u32>()), 0..20),
    ) {
        let mut paces = Paces::default();
        let mut now = START;
        let mut slow = BTreeSet::new();
        for (number, pause_ms, id) in events {
            now = now + Duration::from_millis(pause_ms / 8);
            paces.record_events(CallKey(u64::from(number)), &decode_engine(number), id, now);
            let taken = paces.take_announcements(now);
            prop_assert!(taken.len() <= 16);
            for it in taken {
                let was_slow = slow.contains(&it.engine);
                prop_assert!(it.percent >= SLOW_PERCENT || was_slow, "{it:?}");
                slow.insert(it.engine);
            }
        }
        for (percent, age_ms) in announced {
            paces.receive(&decode_engine(1), &announcement(percent, age_ms), now);
        }
        for number in 1..=9 {
            for seconds in 0..10 {
                let pace = paces.pace(&decode_engine(number), now + Duration::from_secs(seconds));
                prop_assert!((1.0..=f64::from(MAX_PERCENT) / 100.0).contains(&pace));
            }
        }
        prop_assert_eq!(paces.pace(&decode_engine(9), now), 1.0);
    }
}

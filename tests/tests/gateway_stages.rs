//! The first box orders engines to switch their stage, so that prefill and decode engines match the
//! load. It does so under a lease, and failures of orders or of the store do no harm.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Task};
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::message::{StageSwitch, StoreView};
use hollyspoke_gateway::rate_limit::Reported;
use hollyspoke_gateway::statement::Statement;
use hollyspoke_tests::gateway::{
    World, engine, heartbeat, only_send, prefilled, ran, request, settings,
};
use hollyspoke_tests::stages::{OrderBehaviour, SWITCH, StageWorld};

/// The time in which a load becomes known and an engine switches its stage.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// The requests a second that fill the memory of five decode engines and need two prefill engines.
const FULL_LOAD_PER_S: u32 = 15;

#[test]
fn decode_engines_lacking() {
    let mut it = StageWorld::default();
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    let prefill_engine_count = it.prefill_count();
    assert!(
        (1..=2).contains(&prefill_engine_count),
        "{prefill_engine_count} prefill engines of nine engines"
    );
    assert!(it.orders.iter().all(|it| it.stage == Stage::Decode));
    let refused = it.refused;
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    assert_eq!(it.prefill_count(), prefill_engine_count, "a steady load changes nothing more");
    assert_eq!(it.refused, refused, "there is free capacity for all");
}

/// Rate-limited engines count for nothing and get no order, which is a request too. Otherwise, with
/// two of four prefill engines rate-limited, three of the four were ordered to decode.
#[test]
fn limited_engine_switched() {
    let mut it = StageWorld::default();
    let rate_limited = ["engine-11", "engine-12"].map(EngineKey::of);
    for engine in rate_limited {
        it.limits.insert(engine, 0.2);
        it.world.event(Event::Statement(
            engine,
            Statement { limit: Reported::Rate(0.2), ..Statement::default() },
        ));
    }
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    let ordered: Vec<_> = it.orders.iter().map(|it| it.engine.key).collect();
    assert!(!ordered.iter().any(|it| rate_limited.contains(it)), "{:?}", it.orders);
    assert!(it.prefill_count() >= 3, "one prefill engine is left beside the two rate-limited ones");
}

#[test]
fn prefill_engines_lacking() {
    let mut it = StageWorld::new(1, 8);
    it.run = Duration::from_millis(300);
    it.run_load(FULL_LOAD_PER_S, 6000, SETTLE_TIME);
    assert!(it.prefill_count() > 2, "{} prefill engines of nine engines", it.prefill_count());
}

#[test]
fn light_load_switches() {
    let mut it = StageWorld::default();
    it.run_load(3, 3000, SETTLE_TIME);
    assert!(it.orders.is_empty(), "{:?}", it.orders);
}

#[test]
fn load_change_ignored() {
    let mut it = StageWorld::default();
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    let with_long_answers = it.prefill_count();
    it.run = Duration::from_millis(400);
    it.run_load(FULL_LOAD_PER_S, 6000, SETTLE_TIME * 2);
    let with_long_prompts = it.prefill_count();
    assert!(with_long_prompts > with_long_answers, "{with_long_prompts}");
    it.run = Duration::from_secs(3);
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME * 2);
    assert!(it.prefill_count() < with_long_prompts, "{}", it.prefill_count());
    assert!(it.orders.len() < 14, "{} orders are too many", it.orders.len());
}

#[test]
fn stages_oscillate() {
    let mut it = StageWorld::default();
    for _ in 0..10 {
        it.run = Duration::from_secs(3);
        it.run_load(FULL_LOAD_PER_S, 3000, Duration::from_secs(3));
        it.run = Duration::from_millis(400);
        it.run_load(FULL_LOAD_PER_S, 6000, Duration::from_secs(3));
    }
    let direction_changes = it.orders.windows(2).filter(|it| it[0].stage != it[1].stage).count();
    assert!(direction_changes <= 3, "{direction_changes} changes of direction within a minute");
}

/// A load that changes more slowly than the window of the demand is followed, with at least fifteen
/// seconds between two changes of direction.
#[test]
fn slow_load_ignored() {
    let mut it = StageWorld::default();
    for _ in 0..4 {
        it.run = Duration::from_secs(3);
        it.run_load(FULL_LOAD_PER_S, 3000, Duration::from_secs(10));
        it.run = Duration::from_millis(300);
        it.run_load(FULL_LOAD_PER_S, 7000, Duration::from_secs(10));
    }
    let mut direction_changes = Vec::new();
    for (pair, &at) in it.orders.windows(2).zip(&it.ordered_at[1..]) {
        if pair[0].stage != pair[1].stage {
            direction_changes.push(at);
        }
    }
    assert!(!direction_changes.is_empty(), "the load is followed");
    let min_duration = Duration::from_secs(15);
    for (index, &at) in direction_changes.iter().enumerate().skip(1) {
        let duration = at.since(direction_changes[index - 1]);
        assert!(duration >= min_duration, "{duration:?} between two changes of direction");
    }
}

#[test]
fn order_without_lease() {
    let mut it = StageWorld::default();
    it.has_store = false;
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    assert!(it.orders.is_empty(), "{:?}", it.orders);
    assert_eq!(it.prefill_count(), 4);
    it.has_store = true;
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    assert!(it.prefill_count() < 4, "the store is available again");
}

#[test]
fn order_token_decreases() {
    let mut it = StageWorld::default();
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    let tokens: Vec<_> = it.orders.iter().map(|it| it.token).collect();
    assert!(!tokens.is_empty() && tokens.iter().all(|&it| it > 10), "{tokens:?}");
    assert!(tokens.is_sorted(), "a later order has no lower token: {tokens:?}");
}

/// Before a box takes another's lease, the lease and then the pause for its last orders have to pass.
#[test]
fn lease_taken_early() {
    let mut it = StageWorld::default();
    it.take_lease();
    let began = it.world.now;
    while it.orders.is_empty() && it.world.now.since(began) < SETTLE_TIME {
        it.run_load(FULL_LOAD_PER_S, 3000, Duration::from_millis(100));
    }
    let waited = it.world.now.since(began);
    let min_duration = Duration::from_millis(4500) + settings(1).order_pause;
    assert!(waited > min_duration, "ordered after {waited:?}");
    assert!(waited < SETTLE_TIME, "never ordered");
}

#[test]
fn lost_order_answer() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::LosesAnswers;
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    let first = &it.orders[0];
    let again: Vec<_> = it.orders.iter().filter(|it| it.engine.key == first.engine.key).collect();
    assert_eq!(again.len(), 2, "the second is refused, which proves that the first was taken");
    assert_eq!(again[0].expected_count, again[1].expected_count);
    assert!(it.prefill_count() <= 3);
}

#[test]
fn silent_engine_ordered_forever() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::Unreachable;
    it.run_load(FULL_LOAD_PER_S, 3000, Duration::from_secs(6));
    let key = it.orders[0].engine.key;
    assert_eq!(it.orders.iter().filter(|it| it.engine.key == key).count(), 3);
    assert_eq!(it.prefill_count(), 4);
}

#[test]
fn refused_order_flood() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::Refuses;
    it.run_load(FULL_LOAD_PER_S, 3000, SETTLE_TIME);
    assert!((1..=10).contains(&it.orders.len()), "{} orders", it.orders.len());
}

/// Only the first of the live boxes may order; which one is first varies with the pair.
#[test]
fn several_boxes_order() {
    let mut ordering = 0;
    for other in 2..=9 {
        let mut it = StageWorld::default();
        let mut sequence = 0;
        for _ in 0..50 {
            sequence += 1;
            let beat = heartbeat(other, sequence, StoreView::default());
            it.world.event(Event::Received(beat));
            it.run_load(FULL_LOAD_PER_S, 3000, Duration::from_millis(200));
        }
        ordering += usize::from(!it.orders.is_empty());
    }
    assert!((1..8).contains(&ordering), "box 1 is first of {ordering} of 8 pairs");
}

/// An engine whose switch is announced gets nothing until its entry shows the new stage.
#[test]
fn switching_engine_used() {
    let mut world = World::new();
    let announced = |duration_ms| {
        let mut message = heartbeat(2, u64::from(duration_ms) + 1, StoreView::default());
        let key = EngineKey::of("engine-21");
        message.stage_switches =
            vec![StageSwitch { engine: key, stage: Stage::Prefill, duration_ms }];
        Event::Received(message)
    };
    world.event(announced(5000));
    for _ in 0..4 {
        let (_, prefill_call) = world.first_call(request("once"));
        let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
        assert_eq!(&*only_send(&effects).engine.id, "engine-22");
    }
    let changed = engine(21, hollyspoke_tests::gateway::MODEL, Some(Stage::Prefill));
    let put = hollyspoke_gateway::engine::EngineChange::Put(changed, 11.into());
    world.event(Event::Changed(vec![put]));
    let reads: Vec<_> = (0..6).map(|_| world.first_call(request("once")).1).collect();
    assert!(reads.iter().any(|it| it.task == Task::Prefill && &*it.engine.id == "engine-21"));
}

/// An engine that answers that a call was misdirected has another stage than its entry. It is
/// avoided for a while, not for ever.
#[test]
fn wrong_stage_retried() {
    let mut world = World::new();
    let misdirected = Answer { execution: Execution::Replaced, ..ran(421) };
    let (_, prefill_call) = world.first_call(request("once"));
    let effects = world.call(prefill_call.call, CallEvent::Answered(misdirected));
    let next = only_send(&effects);
    assert_ne!(next.engine.id, prefill_call.engine.id, "the request goes on elsewhere");
    world.advance(Duration::from_secs(3));
    let engines: Vec<_> =
        (0..6).map(|_| world.first_call(request("once")).1.engine.id.clone()).collect();
    assert!(engines.contains(&prefill_call.engine.id), "{engines:?}");
}

/// While an engine switches, its requests are sent to other engines or refused at once.
#[test]
fn request_waits_for_switch() {
    let mut it = StageWorld::new(4, 1);
    it.run_load(FULL_LOAD_PER_S, 3000, SWITCH);
    let (request_key, mut effects) = it.world.arrive(request("once"));
    effects.extend(it.world.advance(Duration::from_millis(250)));
    let is_answered = effects.iter().any(|it| match it {
        Effect::Send(send) => send.request == request_key,
        Effect::Refuse(refused, _) => *refused == request_key,
        _ => false,
    });
    assert!(is_answered, "{effects:?}");
}

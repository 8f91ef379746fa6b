//! The first box has engines change their stage, so that as many read and generate as the load
//! asks for; it does so under a lease, and nothing is harmed when orders or the store fail.

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

/// Long enough for a load to be known and an engine to have changed.
const LONG: Duration = Duration::from_secs(20);

/// Requests a second that fill the memory of five generators, while two readers would do.
const FULL: u32 = 15;

#[test]
fn memory_is_scarce() {
    let mut it = StageWorld::default();
    it.run_load(FULL, 3000, LONG);
    let readers = it.prefill_count();
    assert!((1..=2).contains(&readers), "{readers} readers of nine engines");
    assert!(it.orders.iter().all(|it| it.stage == Stage::Decode));
    let refused = it.refused;
    it.run_load(FULL, 3000, LONG);
    assert_eq!(it.prefill_count(), readers, "a steady load changes nothing more");
    assert_eq!(it.refused, refused, "there is room for all");
}

/// Engines that take few requests a second count for nothing, and get no order, which is a request too.
/// Three of four readers were ordered to generate where two of them were in need.
#[test]
fn engines_in_need_stay_as_they_are() {
    let mut it = StageWorld::default();
    let in_need = ["engine-11", "engine-12"].map(EngineKey::of);
    for engine in in_need {
        it.limits.insert(engine, 0.2);
        it.world.event(Event::Statement(
            engine,
            Statement { limit: Reported::Rate(0.2), ..Statement::default() },
        ));
    }
    it.run_load(FULL, 3000, LONG);
    let ordered: Vec<_> = it.orders.iter().map(|it| it.engine.key).collect();
    assert!(!ordered.iter().any(|it| in_need.contains(it)), "{:?}", it.orders);
    assert!(it.prefill_count() >= 3, "one reader is left beside the two in need");
}

#[test]
fn reading_is_scarce() {
    let mut it = StageWorld::new(1, 8);
    it.run = Duration::from_millis(300);
    it.run_load(FULL, 6000, LONG);
    assert!(it.prefill_count() > 2, "{} readers of nine engines", it.prefill_count());
}

#[test]
fn little_load_changes_nothing() {
    let mut it = StageWorld::default();
    it.run_load(3, 3000, LONG);
    assert!(it.orders.is_empty(), "{:?}", it.orders);
}

#[test]
fn follows_the_load() {
    let mut it = StageWorld::default();
    it.run_load(FULL, 3000, LONG);
    let with_long_answers = it.prefill_count();
    it.run = Duration::from_millis(400);
    it.run_load(FULL, 6000, LONG * 2);
    let with_long_prompts = it.prefill_count();
    assert!(with_long_prompts > with_long_answers, "{with_long_prompts}");
    it.run = Duration::from_secs(3);
    it.run_load(FULL, 3000, LONG * 2);
    assert!(it.prefill_count() < with_long_prompts, "{}", it.prefill_count());
    assert!(it.orders.len() < 14, "{} orders are too many", it.orders.len());
}

#[test]
fn no_swinging() {
    let mut it = StageWorld::default();
    for _ in 0..10 {
        it.run = Duration::from_secs(3);
        it.run_load(FULL, 3000, Duration::from_secs(3));
        it.run = Duration::from_millis(400);
        it.run_load(FULL, 6000, Duration::from_secs(3));
    }
    let turns = it.orders.windows(2).filter(|it| it[0].stage != it[1].stage).count();
    assert!(turns <= 3, "{turns} turns within a minute");
}

/// A load that swings more slowly than the demand forgets is followed, but no faster than one turn
/// in fifteen seconds.
#[test]
fn slow_swing() {
    let mut it = StageWorld::default();
    for _ in 0..4 {
        it.run = Duration::from_secs(3);
        it.run_load(FULL, 3000, Duration::from_secs(10));
        it.run = Duration::from_millis(300);
        it.run_load(FULL, 7000, Duration::from_secs(10));
    }
    let mut turns = Vec::new();
    for (pair, &at) in it.orders.windows(2).zip(&it.ordered_at[1..]) {
        if pair[0].stage != pair[1].stage {
            turns.push(at);
        }
    }
    assert!(!turns.is_empty(), "the load is followed");
    let least = Duration::from_secs(15);
    for (turn, &at) in turns.iter().enumerate().skip(1) {
        let span = at.since(turns[turn - 1]);
        assert!(span >= least, "{span:?} between two turns");
    }
}

#[test]
fn no_order_without_the_store() {
    let mut it = StageWorld::default();
    it.has_store = false;
    it.run_load(FULL, 3000, LONG);
    assert!(it.orders.is_empty(), "{:?}", it.orders);
    assert_eq!(it.prefill_count(), 4);
    it.has_store = true;
    it.run_load(FULL, 3000, LONG);
    assert!(it.prefill_count() < 4, "the store is back");
}

#[test]
fn orders_carry_the_lease() {
    let mut it = StageWorld::default();
    it.run_load(FULL, 3000, LONG);
    let tokens: Vec<_> = it.orders.iter().map(|it| it.token).collect();
    assert!(!tokens.is_empty() && tokens.iter().all(|&it| it > 10), "{tokens:?}");
    assert!(tokens.is_sorted(), "a later order has no lower token: {tokens:?}");
}

/// Another box holds the lease: its time has to pass, and then its last orders'.
#[test]
fn lease_is_waited_for() {
    let mut it = StageWorld::default();
    it.take_lease();
    let began = it.world.now;
    while it.orders.is_empty() && it.world.now.since(began) < LONG {
        it.run_load(FULL, 3000, Duration::from_millis(100));
    }
    let waited = it.world.now.since(began);
    let least = Duration::from_millis(4500) + settings(1).order_pause;
    assert!(waited > least, "ordered after {waited:?}");
    assert!(waited < LONG, "never ordered");
}

#[test]
fn lost_answer_is_asked_for_again() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::LosesAnswers;
    it.run_load(FULL, 3000, LONG);
    let first = &it.orders[0];
    let again: Vec<_> = it.orders.iter().filter(|it| it.engine.key == first.engine.key).collect();
    assert_eq!(again.len(), 2, "the second is refused, which proves that the first was taken");
    assert_eq!(again[0].expected_count, again[1].expected_count);
    assert!(it.prefill_count() <= 3);
}

#[test]
fn deaf_engine_is_given_up() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::Unreachable;
    it.run_load(FULL, 3000, Duration::from_secs(6));
    let key = it.orders[0].engine.key;
    assert_eq!(it.orders.iter().filter(|it| it.engine.key == key).count(), 3);
    assert_eq!(it.prefill_count(), 4);
}

#[test]
fn refusal_is_not_pressed() {
    let mut it = StageWorld::default();
    it.order_behaviour = OrderBehaviour::Refuses;
    it.run_load(FULL, 3000, LONG);
    assert!((1..=10).contains(&it.orders.len()), "{} orders", it.orders.len());
}

/// Only the first of the living boxes orders; box 2 and box 1 differ in who is first.
#[test]
fn one_node_orders() {
    let mut ordering = 0;
    for other in 2..=9 {
        let mut it = StageWorld::default();
        let mut sequence = 0;
        for _ in 0..50 {
            sequence += 1;
            let beat = heartbeat(other, sequence, StoreView::default());
            it.world.event(Event::Received(beat));
            it.run_load(FULL, 3000, Duration::from_millis(200));
        }
        ordering += usize::from(!it.orders.is_empty());
    }
    assert!((1..8).contains(&ordering), "node 1 is first of {ordering} of 8 pairs");
}

/// An engine of which another box says that it changes gets nothing, and its entry ends that.
#[test]
fn switching_engine_gets_nothing() {
    let mut world = World::new();
    let told = |duration_ms| {
        let mut message = heartbeat(2, u64::from(duration_ms) + 1, StoreView::default());
        let key = EngineKey::of("engine-21");
        message.stage_switches =
            vec![StageSwitch { engine: key, stage: Stage::Prefill, duration_ms }];
        Event::Received(message)
    };
    world.event(told(5000));
    for _ in 0..4 {
        let (_, reading) = world.first_call(request("once"));
        let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
        assert_eq!(&*only_send(&effects).engine.id, "engine-22");
    }
    let changed = engine(21, hollyspoke_tests::gateway::MODEL, Some(Stage::Prefill));
    let put = hollyspoke_gateway::engine::EngineChange::Put(changed, 11.into());
    world.event(Event::Changed(vec![put]));
    let reads: Vec<_> = (0..6).map(|_| world.first_call(request("once")).1).collect();
    assert!(reads.iter().any(|it| it.task == Task::Prefill && &*it.engine.id == "engine-21"));
}

/// An engine that says that a call was not meant for it has another stage than its entry tells; it
/// is passed over for a while and not for good.
#[test]
fn wrong_stage_teaches() {
    let mut world = World::new();
    let misdirected = Answer { execution: Execution::Replaced, ..ran(421) };
    let (_, reading) = world.first_call(request("once"));
    let effects = world.call(reading.call, CallEvent::Answered(misdirected));
    let next = only_send(&effects);
    assert_ne!(next.engine.id, reading.engine.id, "the request goes on elsewhere");
    world.advance(Duration::from_secs(3));
    let engines: Vec<_> =
        (0..6).map(|_| world.first_call(request("once")).1.engine.id.clone()).collect();
    assert!(engines.contains(&reading.engine.id), "{engines:?}");
}

/// While an engine changes, what it would have served goes to the others or is refused at once.
#[test]
fn nobody_waits_for_a_change() {
    let mut it = StageWorld::new(4, 1);
    it.run_load(FULL, 3000, SWITCH);
    let (flight, mut effects) = it.world.arrive(request("once"));
    effects.extend(it.world.advance(Duration::from_millis(250)));
    let is_answered = effects.iter().any(|it| match it {
        Effect::Send(send) => send.request == flight,
        Effect::Refuse(refused, _) => *refused == flight,
        _ => false,
    });
    assert!(is_answered, "{effects:?}");
}

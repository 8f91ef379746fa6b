//! Engines that turn requests away and say for how long they want nothing from the box that asked.
//!
//! One of three engines turned all away for 3 s at a time and said so. It got 312 requests in 9 s, up to
//! 57 in one second, where it had got 10 a second before: each box left it alone for 200 ms after a
//! refusal, and then an engine with nothing under way that tells a load of `0,0,6` was the best choice
//! again. 101 repeats were not allowed in five seconds, and 99 requests were refused while two engines
//! served.

use std::time::Duration;

use hollyspoke_gateway::back_off::{MAX_DURATION, Reported};
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Prompt, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::rate_limit;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::statement::Statement;
use hollyspoke_gateway::terms::Restriction;
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, engine, engines, only_refusal, only_send, prefilled, ran, rejected,
    request,
};
use hollyspoke_tests::statements::{BackOffs, MAX_DURING_BACK_OFF};

/// Three seconds of each six.
const HALF: BackOffs =
    BackOffs { duration: Duration::from_secs(3), period: Duration::from_secs(6) };

/// The longest that a box stays away longer than it was asked for.
const SPREAD: f64 = 1.2;

/// A second.
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn resting_engine_is_left_alone() {
    let mut fleet = Fleet::settled(6, 1);
    let resting = fleet.engines_of(PLAIN)[0];
    fleet.back_off([resting], Some(HALF));
    fleet.run(Duration::from_secs(18));
    let most = fleet.statements.max_during_back_off();
    assert!(fleet.statements.back_off_count() > 0);
    assert!(most <= MAX_DURING_BACK_OFF, "{most} from one box while it rests");
}

/// All engines of a service rest together: what comes is refused as not run, with a time.
#[test]
fn all_engines_rest() {
    for (service, seed) in [(PLAIN, 2), (MODEL, 3)] {
        let mut fleet = Fleet::settled(6, seed);
        let resting = fleet.engines_of(service);
        fleet.back_off(resting, Some(HALF));
        fleet.run(Duration::from_secs(18));
        let most = fleet.statements.max_during_back_off();
        assert!(most <= MAX_DURING_BACK_OFF, "{most} of {service} from one box while all rest");
    }
}

/// Once its rest is over an engine gets its share again.
#[test]
fn used_again_after_its_rest() {
    let mut fleet = Fleet::settled(6, 4);
    let resting = fleet.engines_of(PLAIN)[0];
    fleet.back_off([resting], Some(BackOffs { duration: SECOND * 3, period: SECOND * 600 }));
    fleet.run(Duration::from_secs(5));
    let from = fleet.now();
    fleet.run(Duration::from_secs(10));
    let got = fleet.statements.arrivals_between(resting, from, fleet.now());
    // A third of 41 a second, less what chance takes.
    assert!(got >= 80, "{got} in 10 s");
}

/// Boxes that start again, are cut off or miss datagrams keep what each was told.
#[test]
fn boxes_in_trouble() {
    let mut fleet = Fleet::settled(6, 5);
    fleet.back_off(fleet.engines_of(PLAIN), Some(HALF));
    fleet.lost = 0.3;
    for number in 0..6 {
        fleet.restart([number]);
        fleet.partition([(number + 2) % 6], 1);
        fleet.run(Duration::from_secs(2));
        fleet.partition(0..6, 0);
        fleet.run(Duration::from_secs(1));
    }
    let most = fleet.statements.max_during_back_off();
    assert!(most <= MAX_DURING_BACK_OFF, "{most} from one box while it rests");
}

/// An engine that goes on turning away when its rest is over is asked by one request a time.
#[test]
fn an_engine_that_never_recovers() {
    let mut fleet = Fleet::settled(6, 6);
    let resting = fleet.engines_of(PLAIN)[0];
    fleet.back_off([resting], Some(BackOffs { duration: SECOND * 600, period: SECOND * 600 }));
    fleet.statements.set_max_back_off(SECOND);
    let from = fleet.now();
    fleet.run(Duration::from_secs(20));
    let got = fleet.statements.arrivals_between(resting, from, fleet.now());
    // Each of six boxes asks once a second and the spread.
    assert!((60..=130).contains(&got), "{got} in 20 s");
}

/// Says for how long an engine wants nothing.
fn rests(span: Duration) -> Statement {
    Statement { back_off: Reported::Duration(span), ..Statement::default() }
}

/// Gives an answer that turns a request away and asks for rest.
fn turned_away_for(span: Duration) -> Answer {
    Answer { statement: rests(span), ..rejected() }
}

/// Has plain requests arrive, each answered at once; gives the engines that they were sent to.
fn plain_go_to(world: &mut World) -> Vec<EngineKey> {
    let sends = (0..12).filter_map(|_| {
        let (flight, effects) = world.arrive(request("safe"));
        let send = effects.iter().find_map(|it| match it {
            Effect::Send(send) => Some(send.clone()),
            _ => None,
        });
        let Some(send) = send else {
            world.event(Event::ClientDisconnected(flight));
            return None;
        };
        world.call(send.call, CallEvent::Answered(ran(200)));
        Some(send.engine.key)
    });
    sends.collect()
}

/// Gives the first plain engine, born at a time.
fn first(born: Option<u64>) -> Engine {
    Engine { started_at: born, ..engine(1, PLAIN, None) }
}

/// Makes a box before the first plain engine alone.
fn only_first(born: Option<u64>) -> World {
    let mut world = World::new();
    world.event(Event::Listed(vec![first(born)], 20.into()));
    world
}

/// Has the first engine ask for rest; tells whether it gets nothing then.
fn is_left_alone(world: &mut World, says: Statement) -> bool {
    world.event(Event::Statement(first(None).key, says));
    !plain_go_to(world).contains(&first(None).key)
}

/// All answers tell: those to runs, to readings, to orders and questions; 429 and 503, and a 503 that
/// does not say that nothing was run.
#[test]
fn all_answers_tell() {
    let span = SECOND * 3;
    let kinds = [
        turned_away_for(span),
        Answer { status: 429, ..turned_away_for(span) },
        Answer { execution: Execution::Ran, ..turned_away_for(span) },
    ];
    for answer in kinds {
        for route in ["safe", "resumed"] {
            let mut world = World::new();
            let (_, send) = world.first_call(request(route));
            world.call(send.call, CallEvent::Answered(answer.clone()));
            for number in 0..8 {
                let id = format!("request-{number}");
                let (_, effects) = world.arrive(Request { id: id.into(), ..request(route) });
                assert!(!sent_to(&effects, send.engine.key), "{route} {answer:?}");
            }
        }
    }
    assert!(is_left_alone(&mut only_first(None), rests(span)));
    let (mut world, moved) =
        (only_first(None), Answer { execution: Execution::Replaced, ..turned_away_for(span) });
    world.event(Event::Listed(vec![first(None), engine(2, PLAIN, None)], 21.into()));
    let (_, send) = world.first_call(request("safe"));
    world.call(send.call, CallEvent::Answered(moved));
    let back =
        EngineChange::Put(Engine { started_at: Some(9), ..(*send.engine).clone() }, 22.into());
    world.event(Event::Changed(vec![back]));
    assert!(plain_go_to(&mut world).len() == 12);
}

/// Tells whether a call is sent to an engine.
fn sent_to(effects: &[Effect], engine: EngineKey) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Send(send) if send.engine.key == engine))
}

/// Nothing and what can't be read change nothing; the longest that is kept is an hour.
#[test]
fn spans_of_all_kinds() {
    for told in [Reported::Nothing, Reported::Unreadable, Reported::Duration(Duration::ZERO)] {
        let says = Statement { back_off: told, ..Statement::default() };
        assert!(!is_left_alone(&mut only_first(None), says), "{told:?}");
    }
    let mut world = only_first(None);
    assert!(is_left_alone(&mut world, rests(Duration::MAX)));
    world.advance(MAX_DURATION - SECOND);
    assert!(plain_go_to(&mut world).is_empty());
    world.advance(MAX_DURATION.mul_f64(SPREAD - 1.0) + SECOND);
    assert!(!plain_go_to(&mut world).is_empty());
}

/// A shorter word does not end a longer one: the engine may have said it before, or of another call. A
/// longer one holds.
#[test]
fn the_later_end_holds() {
    let mut world = only_first(None);
    assert!(is_left_alone(&mut world, rests(SECOND * 3)));
    assert!(is_left_alone(&mut world, rests(SECOND)));
    world.advance(Duration::from_millis(2900));
    assert!(is_left_alone(&mut world, rests(SECOND * 3)));
    world.advance(Duration::from_millis(2900));
    assert!(plain_go_to(&mut world).is_empty());
    world.advance(SECOND);
    assert!(!plain_go_to(&mut world).is_empty());
}

/// A later life has asked for nothing; an earlier one says nothing of it.
#[test]
fn a_later_life_ends_it() {
    let mut world = only_first(Some(100));
    assert!(is_left_alone(&mut world, rests(SECOND * 60)));
    let put = |born, revision: u64| {
        Event::Changed(vec![EngineChange::Put(first(Some(born)), revision.into())])
    };
    for (born, revision) in [(100, 21), (50, 22)] {
        world.event(put(born, revision));
        world.advance(SECOND);
        assert!(plain_go_to(&mut world).is_empty(), "{born}");
    }
    world.event(put(200, 23));
    assert!(!plain_go_to(&mut world).is_empty());
    let early = Statement { born: Some(100), ..rests(SECOND * 60) };
    assert!(!is_left_alone(&mut world, early));
}

/// When its rest is over one request goes first; its answer lets two go, theirs four, and theirs eight. A
/// refusal without a time begins again with one.
#[test]
fn one_comes_back_first() {
    let mut world = only_first(None);
    assert!(is_left_alone(&mut world, rests(SECOND * 3)));
    world.advance(Duration::from_millis(3600));
    let mut sent = arrive_many(&mut world, 4);
    assert_eq!(sent.len(), 1);
    for allowed in [2, 4, 8] {
        let mut next = Vec::new();
        for send in sent {
            next.extend(sends(&world.call(send.call, CallEvent::Answered(ran(200)))));
        }
        next.extend(arrive_many(&mut world, 12));
        assert_eq!(next.len(), allowed);
        sent = next;
    }
    world.call(sent[0].call, CallEvent::Answered(rejected()));
    for send in &sent[1..] {
        world.event(Event::ClientDisconnected(send.request));
    }
    assert!(arrive_many(&mut world, 4).len() <= 1);
}

/// Has requests arrive; gives the calls that are sent.
fn arrive_many(world: &mut World, count: usize) -> Vec<Send> {
    let arrived = (0..count).flat_map(|_| world.arrive(request("safe")).1);
    sends(&arrived.collect::<Vec<_>>())
}

/// Gives the calls among effects.
fn sends(effects: &[Effect]) -> Vec<Send> {
    let sends = effects.iter().filter_map(|it| match it {
        Effect::Send(send) => Some(send.clone()),
        _ => None,
    });
    sends.collect()
}

/// Boxes that were told at the same moment come back at different ones.
#[test]
fn boxes_come_back_apart() {
    let back = |number| {
        let mut world = World::numbered(number);
        world.event(Event::Configured(std::sync::Arc::new(
            hollyspoke_tests::gateway::configuration(1),
        )));
        world.event(Event::Listed(vec![first(None)], 20.into()));
        world.event(Event::Statement(first(None).key, rests(SECOND * 3)));
        let begun = world.now;
        loop {
            world.advance(Duration::from_millis(5));
            let (flight, effects) = world.arrive(request("safe"));
            if !sends(&effects).is_empty() {
                return world.now.since(begun);
            }
            world.event(Event::ClientDisconnected(flight));
        }
    };
    let mut times: Vec<_> = (1..=6).map(back).collect();
    times.sort();
    assert!(times[0] >= SECOND * 3 && times[5] <= (SECOND * 3).mul_f64(SPREAD), "{times:?}");
    times.dedup();
    assert!(times.len() >= 4, "{times:?}");
}

/// A rest that ends soon is waited for; else the request is refused at once, with the time of its end.
#[test]
fn waits_or_is_refused_with_a_true_time() {
    let mut world = only_first(None);
    world.event(Event::Statement(first(None).key, rests(Duration::from_millis(100))));
    let (flight, effects) = world.arrive(request("safe"));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.advance(Duration::from_millis(150));
    assert_eq!(only_send(&effects).request, flight);
    let mut world = only_first(None);
    world.event(Event::Statement(first(None).key, rests(SECOND * 5)));
    let (_, effects) = world.arrive(request("safe"));
    let Refusal::NotRun(_, reason, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::BackingOff);
    assert!(retry >= SECOND * 5 && retry <= SECOND * 9, "{retry:?}");
}

/// Of two engines that rest the one that is back first counts.
#[test]
fn the_earliest_end_is_told() {
    let mut world = World::new();
    for (number, seconds) in [(1, 20), (2, 4)] {
        let says = rests(SECOND * seconds);
        world.event(Event::Statement(engine(number, PLAIN, None).key, says));
    }
    let (_, effects) = world.arrive(request("unsafe"));
    let Refusal::NotRun(_, _, retry) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert!(retry >= SECOND * 4 && retry <= SECOND * 8, "{retry:?}");
}

/// A request that was turned away and finds nobody else gets the refusal that it has not run, and takes
/// no repeat.
#[test]
fn no_repeat_for_an_engine_that_rests() {
    let mut world = World::new();
    world.advance(SECOND * 10);
    let resting = engine(1, PLAIN, None).key;
    world.event(Event::Statement(resting, rests(SECOND * 60)));
    let (_, send) = world.first_call(request("unsafe"));
    assert_ne!(send.engine.key, resting);
    let event = Event::Call(send.call, CallEvent::Answered(turned_away_for(SECOND * 60)));
    let effects = world.gateway.step(world.now, event);
    let repeats = effects.iter().filter(|it| matches!(it, Effect::Log(LogEvent::Retry { .. })));
    assert_eq!(repeats.count(), 0, "{effects:?}");
    let refusal = only_refusal(&effects);
    assert!(matches!(refusal, Refusal::NotRun(_, NotRunReason::BackingOff, _)), "{refusal:?}");
    let kept = effects.iter().find_map(|it| match it {
        Effect::Log(LogEvent::Ended { exclusions, .. }) => Some(exclusions.clone()),
        _ => None,
    });
    let kept = kept.expect("it has ended");
    assert!(
        kept.iter().any(|it| it.reason == Restriction::BackOff && &*it.engine == "engine-1"),
        "{kept:?}"
    );
}

/// A prompt that was read for an engine that rests meanwhile goes to another one; a kept one is taken
/// from there, and what runs there goes on.
#[test]
fn prompts_go_elsewhere() {
    let mut world = World::new();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let (flight, running) = world.begin_stream(asked());
    let (_, reading) = world.first_call(Request { id: "second".into(), ..request("resumed") });
    world.event(Event::Statement(running.engine.key, rests(SECOND * 3)));
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    assert_ne!(only_send(&effects).engine.key, running.engine.key);
    let effects = world.call(running.call, CallEvent::Forwarded(Some(1)));
    assert!(effects.is_empty(), "{effects:?}");
    let effects = world.call(running.call, CallEvent::Answered(ran(200)));
    assert!(effects.contains(&Effect::Finish(flight)), "{effects:?}");
    let again = only_send(&world.arrive(asked()).1);
    assert_ne!(again.engine.key, running.engine.key);
    assert_eq!(again.task, Task::Decode(Prompt::CachedAt(running.engine.address)));
}

/// An engine that rests is not asked what it keeps or whether it lives, and no prompt is freed there.
#[test]
fn nothing_aside() {
    let mut world = World::new();
    let (flight, reading) = world.first_call(request("once"));
    let (_, send) = world.first_call(request("unsafe"));
    for engine in engines() {
        world.event(Event::Statement(engine.key, rests(SECOND * 60)));
    }
    let mut effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    effects.extend(world.event(Event::ClientDisconnected(flight)));
    effects.extend(world.gateway.step(world.now, Event::Call(send.call, CallEvent::Broken)));
    for _ in 0..20 {
        world.now = world.now + Duration::from_millis(100);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    let is_aside = |it: &&Effect| {
        matches!(
            it,
            Effect::Free(_)
                | Effect::Probe(_)
                | Effect::QueryCachedPrompts(_)
                | Effect::QueryOrderCount(_)
        )
    };
    assert!(!effects.iter().any(|it| is_aside(&it)), "{effects:?}");
}

/// The strictest binds an engine that rests, is in need and leaves.
#[test]
fn the_strictest_binds() {
    let mut world = only_first(Some(100));
    let limit = rate_limit::Reported::Rate(0.5);
    world.event(Event::Statement(first(None).key, Statement { limit, ..rests(SECOND * 3) }));
    world.advance(SECOND * 2);
    assert!(plain_go_to(&mut world).is_empty(), "while it rests");
    world.advance(SECOND * 4);
    let answer = Answer { statement: Statement { limit, ..Statement::default() }, ..ran(200) };
    let mut sent = 0;
    for _ in 0..12 {
        for send in arrive_many(&mut world, 1) {
            world.call(send.call, CallEvent::Answered(answer.clone()));
            sent += 1;
        }
    }
    assert!((1..=2).contains(&sent), "{sent} at 0.5 a second");
    let is_leaving = true;
    world
        .event(Event::Statement(first(None).key, Statement { is_leaving, ..Statement::default() }));
    world.advance(SECOND * 60);
    assert!(plain_go_to(&mut world).is_empty(), "once it leaves");
}

/// Where all leave, one that rests as well is not used for the last of its drain. Under drawn faults six
/// requests of one box came to an engine that had said both: the last resort passed by the rest.
#[test]
fn the_last_resort_rests_too() {
    let mut world = only_first(None);
    let is_leaving = true;
    let says = Statement { is_leaving, ..rests(Duration::from_millis(500)) };
    world.event(Event::Statement(first(None).key, says));
    assert!(plain_go_to(&mut world).is_empty());
    world.advance(Duration::from_millis(800));
    assert!(!plain_go_to(&mut world).is_empty());
    world.advance(Duration::from_millis(300));
    assert!(plain_go_to(&mut world).is_empty());
}

/// The time for which a machine was suspended counts.
#[test]
fn suspended_meanwhile() {
    let mut world = only_first(None);
    assert!(is_left_alone(&mut world, rests(SECOND * 3)));
    world.now = world.now + SECOND * 5;
    world.event(Event::Suspended(SECOND * 5));
    assert!(!plain_go_to(&mut world).is_empty());
}

/// A refusal for rest says nothing of the prompt that was read: two engines that rest were taken for a
/// prompt that is gone, and it was read once more for nothing. Where 40 of 100 engines turned nearly all
/// away, 0.27 of a day's worth went so.
#[test]
fn a_prompt_outlives_refusals_for_rest() {
    let mut world = World::new();
    world.event(Event::Listed(
        (21..=23).chain(11..=12).map(|it| engine(it, MODEL, Some(stage_of(it)))).collect(),
        20.into(),
    ));
    world.advance(SECOND * 10);
    let (_, reading) = world.first_call(request("resumed"));
    let mut effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    for _ in 0..2 {
        let send = only_send(&effects);
        assert!(matches!(send.task, Task::Decode(Prompt::Prefilled(_))), "{:?}", send.task);
        effects = world.call(send.call, CallEvent::Answered(turned_away_for(SECOND)));
    }
    assert!(matches!(only_send(&effects).task, Task::Decode(Prompt::Prefilled(_))));
}

/// Gives the stage of an engine of the usual numbers.
fn stage_of(number: u8) -> Stage {
    if number < 20 { Stage::Prefill } else { Stage::Decode }
}

/// A prompt that a reader turned away as it rests is read by another one, once.
#[test]
fn another_reader_reads() {
    let mut world = World::new();
    world.advance(SECOND * 10);
    let (_, first) = world.first_call(request("resumed"));
    let effects = world.call(first.call, CallEvent::Answered(turned_away_for(SECOND)));
    let second = only_send(&effects);
    assert_eq!(second.task, Task::Prefill);
    assert_ne!(second.engine.key, first.engine.key);
    let effects = world.call(second.call, CallEvent::Answered(turned_away_for(SECOND)));
    assert_eq!(only_send(&effects).task, Task::Decode(Prompt::NotPrefilled));
}

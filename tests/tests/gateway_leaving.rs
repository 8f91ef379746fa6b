//! Engines that say in their answers that they are about to leave get nothing more.
//!
//! While the store was away for 13 s, one of three engines said in each answer that it leaves; its
//! entry could not be written. Boxes read the entry alone: with `call sent` lines up to the end, and no
//! line on the engine, one sent it requests 2,021 and 2,033 ms after it had passed such an answer on,
//! and all six boxes sent it 82 in the 13 s.

use std::time::Duration;

use hollyspoke_gateway::departure::Announcement;
use hollyspoke_gateway::effect::{Effect, NotRunReason, Prompt, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::message::{Extension, Format, Message, StoreView};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::rate_limit;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::snapshot::SnapshotRequest;
use hollyspoke_gateway::statement::Statement;
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::{
    MODEL, PLAIN, World, engine, engines, heartbeat, only_refusal, only_send, prefilled, ran,
    rejected, request, settings,
};
use hollyspoke_tests::statements::DRAIN;

/// What the news of an engine that leaves takes to come to all boxes.
const TOLD_WITHIN: Duration = Duration::from_millis(60);

#[test]
fn engine_that_leaves_gets_nothing() {
    let mut fleet = Fleet::settled(6, 1);
    let leaving = fleet.engines_of(PLAIN)[0];
    fleet.drain([leaving]);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.statements.late(DRAIN), 0, "later than {DRAIN:?}");
}

/// Where others serve, all boxes stop as soon as one of them has been told.
#[test]
fn all_boxes_stop_at_once() {
    for (service, seed) in [(PLAIN, 2), (MODEL, 3)] {
        let mut fleet = Fleet::settled(6, seed);
        let leaving: Vec<_> = fleet.engines_of(service).into_iter().step_by(3).collect();
        fleet.drain(leaving);
        fleet.run(Duration::from_secs(12));
        assert_eq!(fleet.statements.late_after_first(TOLD_WITHIN), 0, "{service}");
    }
}

/// Engines of a service that all leave are used for a while, and never later than is allowed.
#[test]
fn all_engines_leave() {
    for (service, seed) in [(PLAIN, 4), (MODEL, 5)] {
        let mut fleet = Fleet::settled(6, seed);
        let leaving = fleet.engines_of(service);
        fleet.drain(leaving.clone());
        let from = fleet.now();
        fleet.run(DRAIN / 2);
        let got: usize = leaving
            .iter()
            .map(|it| fleet.statements.arrivals_between(*it, from, fleet.now()))
            .sum();
        assert!(got >= 12, "{got} requests in the first second of {service}");
        fleet.run(Duration::from_secs(10));
        assert_eq!(fleet.statements.late(DRAIN), 0, "{service}");
    }
}

/// Boxes that start again, one by one and all at once, hear it from others or from the next answer; the
/// word lasts longer than the boxes that heard it first.
#[test]
fn boxes_started_again() {
    let mut fleet = Fleet::settled(6, 6);
    let leaving = fleet.engines_of(PLAIN)[0];
    fleet.drain([leaving]);
    fleet.run(Duration::from_secs(1));
    let from = fleet.now();
    for number in 0..6 {
        fleet.restart([number]);
        fleet.run(Duration::from_secs(2));
    }
    let got = fleet.statements.arrivals_between(leaving, from, fleet.now());
    assert_eq!(got, 0, "from boxes that others could tell");
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.statements.late(TOLD_WITHIN), 0);
}

/// Boxes that are cut off from each other learn it each from an answer of their own.
#[test]
fn boxes_cut_off() {
    let mut fleet = Fleet::settled(6, 7);
    (0..6).for_each(|number| fleet.partition([number], number));
    fleet.drain([fleet.engines_of(PLAIN)[0]]);
    fleet.run(Duration::from_secs(8));
    fleet.partition(0..6, 0);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.statements.late(TOLD_WITHIN), 0);
}

/// A datagram of four that is lost leaves nobody without the news for longer than some heartbeats.
#[test]
fn datagrams_lost() {
    let mut fleet = Fleet::settled(6, 8);
    fleet.lost = 0.25;
    let leaving = fleet.engines_of(MODEL)[15];
    fleet.drain([leaving]);
    fleet.run(Duration::from_secs(4));
    let from = fleet.now();
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.statements.arrivals_between(leaving, from, fleet.now()), 0);
}

/// A new life under the id is used again.
#[test]
fn started_again_under_its_id() {
    let mut fleet = Fleet::settled(6, 9);
    let leaving = fleet.engines_of(PLAIN)[0];
    fleet.drain([leaving]);
    fleet.run(Duration::from_secs(2));
    fleet.crash_all([leaving]);
    fleet.run(Duration::from_secs(6));
    fleet.set_limit([leaving], Some(100.0));
    let from = fleet.now();
    fleet.run(Duration::from_secs(5));
    assert!(fleet.rate_limits.arrivals_between(leaving, from, fleet.now()) > 20);
}

/// Says that an engine leaves.
fn leaving() -> Statement {
    Statement { is_leaving: true, ..Statement::default() }
}

/// Gives an answer whose engine leaves.
fn ran_leaving(status: u16) -> Answer {
    Answer { statement: leaving(), ..ran(status) }
}

/// Has plain requests arrive, each answered at once; gives the engines that they were sent to.
fn plain_go_to(world: &mut World) -> Vec<EngineKey> {
    let sends = (0..12).filter_map(|_| {
        let (_, effects) = world.arrive(request("safe"));
        let send = effects.into_iter().find_map(|it| match it {
            Effect::Send(send) => Some(send),
            _ => None,
        })?;
        world.call(send.call, CallEvent::Answered(ran(200)));
        Some(send.engine.key)
    });
    sends.collect()
}

/// Gives the first plain engine, born at a time.
fn first(born: Option<u64>) -> Engine {
    Engine { started_at: born, ..engine(1, PLAIN, None) }
}

/// Makes a box before two plain engines of which the first, born at 100, has said that it leaves.
fn one_leaves() -> World {
    let mut world = World::new();
    world.event(Event::Listed(vec![first(Some(100)), engine(2, PLAIN, None)], 20.into()));
    world.event(Event::Statement(first(None).key, leaving()));
    assert!(!plain_go_to(&mut world).contains(&first(None).key));
    world
}

/// Neither an entry that calls it ready, nor a list, nor its entry's loss and return, nor an answer that
/// was made before takes the word back.
#[test]
fn nothing_but_a_later_life_takes_it_back() {
    let mut world = one_leaves();
    let key = first(None).key;
    let ready = || first(Some(100));
    let put = |engine: Engine, revision: u64| {
        Event::Changed(vec![EngineChange::Put(engine, revision.into())])
    };
    let events = [
        put(ready(), 21),
        put(first(Some(50)), 22),
        put(first(None), 23),
        put(ready(), 24),
        Event::Listed(vec![ready(), engine(2, PLAIN, None)], 25.into()),
        Event::Changed(vec![EngineChange::Left(ready().id, 26.into())]),
        put(ready(), 27),
        Event::Statement(key, Statement { born: Some(100), ..Statement::default() }),
        Event::Statement(key, Statement { born: Some(50), ..leaving() }),
    ];
    for event in events {
        world.event(event.clone());
        world.advance(Duration::from_millis(400));
        assert!(!plain_go_to(&mut world).contains(&key), "after {event:?}");
    }
    world.event(put(first(Some(200)), 28));
    assert!(plain_go_to(&mut world).contains(&key));
}

/// Its address may go to another engine, which does not leave.
#[test]
fn another_engine_at_its_address() {
    let mut world = one_leaves();
    let address = first(None).address;
    let other = Engine { address, started_at: Some(300), ..engine(3, PLAIN, None) };
    let gone = EngineChange::Left(first(None).id, 21.into());
    world.event(Event::Changed(vec![gone, EngineChange::Put(other.clone(), 22.into())]));
    assert!(plain_go_to(&mut world).contains(&other.key));
}

/// A call that goes to an earlier life brings nothing of the later one, and a 421 nothing at all.
#[test]
fn answers_of_others() {
    let mut world = World::new();
    world.event(Event::Listed(vec![first(Some(100))], 20.into()));
    let (_, early) = world.first_call(request("safe"));
    world.event(Event::Changed(vec![EngineChange::Put(first(Some(200)), 21.into())]));
    world.call(early.call, CallEvent::Answered(ran_leaving(200)));
    let (_, moved) = world.first_call(request("safe"));
    let answer = Answer { execution: Execution::Replaced, ..ran_leaving(421) };
    world.call(moved.call, CallEvent::Answered(answer));
    world.event(Event::Changed(vec![EngineChange::Put(first(Some(300)), 22.into())]));
    world.first_call(request("safe"));
}

/// All kinds of answers tell: those of runs, failures, refusals and readings, and heads of streams.
#[test]
fn all_answers_tell() {
    let kinds: [(&str, CallEvent); 6] = [
        ("safe", CallEvent::Answered(ran_leaving(200))),
        ("safe", CallEvent::Answered(ran_leaving(500))),
        ("safe", CallEvent::Answered(Answer { statement: leaving(), ..rejected() })),
        ("safe", CallEvent::Answered(ran_leaving(503))),
        ("resumed", CallEvent::Answered(Answer { statement: leaving(), ..prefilled("h") })),
        ("resumed", CallEvent::Answered(Answer { statement: leaving(), ..rejected() })),
    ];
    for (route, event) in kinds {
        let mut world = World::new();
        let (_, send) = world.first_call(request(route));
        let mut effects = world.call(send.call, event.clone());
        for number in 0..8 {
            let id = format!("request-{number}");
            effects.extend(world.arrive(Request { id: id.into(), ..request(route) }).1);
        }
        assert!(!reached(&effects).contains(&send.engine.key), "{event:?}");
    }
    let mut world = World::new();
    let (_, reading) = world.first_call(request("resumed"));
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    let generating = only_send(&effects);
    world.call(generating.call, CallEvent::Began(ran_leaving(200)));
    let (_, effects) = generated(&mut world, "second");
    assert!(!reached(&effects).contains(&generating.engine.key));
}

/// Gives the engines that calls are sent to.
fn reached(effects: &[Effect]) -> Vec<EngineKey> {
    let sends = effects.iter().filter_map(|it| match it {
        Effect::Send(send) => Some(send.engine.key),
        _ => None,
    });
    sends.collect()
}

/// Has a stream's prompt be read; gives the reading call, and what follows.
fn generated(world: &mut World, id: &str) -> (Send, Vec<Effect>) {
    let (_, reading) = world.first_call(Request { id: id.into(), ..request("resumed") });
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    (reading, effects)
}

/// A prompt that was read for an engine that leaves meanwhile goes to another one, and what runs there
/// goes on.
#[test]
fn a_prompt_goes_to_another_generator() {
    let mut world = World::new();
    let (flight, running) = world.begin_stream(request("resumed"));
    let (_, reading) = world.first_call(Request { id: "second".into(), ..request("resumed") });
    world.event(Event::Statement(running.engine.key, leaving()));
    let effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    let generating = only_send(&effects);
    assert_ne!(generating.engine.key, running.engine.key);
    assert!(matches!(generating.task, Task::Decode(Prompt::Prefilled(_))));
    let effects = world.call(running.call, CallEvent::Answered(ran(200)));
    assert!(effects.contains(&Effect::Finish(flight)), "{effects:?}");
}

/// A stream that breaks at an engine that leaves goes on elsewhere; a repeat goes elsewhere too.
#[test]
fn repeats_and_resumed_streams_go_elsewhere() {
    let mut world = World::new();
    let (_, running) = world.begin_stream(request("resumed"));
    world.event(Event::Statement(running.engine.key, leaving()));
    let effects = world.call(running.call, CallEvent::Broken);
    assert!(!reached(&effects).contains(&running.engine.key), "{effects:?}");
    let (_, send) = world.first_call(request("safe"));
    let effects = world.call(send.call, CallEvent::Answered(ran_leaving(500)));
    assert_ne!(only_send(&effects).engine.key, send.engine.key);
}

/// The prompt that an engine keeps is taken from there by another one.
#[test]
fn a_kept_prompt_is_handed_over() {
    let mut world = World::new();
    let asked = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let (_, generating) = world.begin_stream(asked());
    world.call(generating.call, CallEvent::Forwarded(Some(1)));
    world.call(generating.call, CallEvent::Answered(ran_leaving(200)));
    world.event(Event::Statement(generating.engine.key, leaving()));
    let (_, effects) = world.arrive(asked());
    let again = only_send(&effects);
    assert_ne!(again.engine.key, generating.engine.key);
    assert_eq!(again.task, Task::Decode(Prompt::CachedAt(generating.engine.address)));
}

/// An engine that leaves is not asked what it keeps or whether it lives, and no prompt is freed there.
#[test]
fn nothing_aside() {
    let mut world = World::new();
    for engine in engines() {
        world.event(Event::Statement(engine.key, leaving()));
    }
    let (flight, reading) = world.first_call(request("once"));
    let mut effects = world.call(reading.call, CallEvent::Answered(prefilled("h")));
    effects.extend(world.event(Event::ClientDisconnected(flight)));
    let (_, send) = world.first_call(request("unsafe"));
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

/// Where all leave, requests are served for half of the drain, and refused at once after that.
#[test]
fn refused_at_once_where_all_leave() {
    for route in ["safe", "unsafe", "once", "resumed"] {
        let mut world = World::new();
        engines().iter().for_each(|it| {
            world.event(Event::Statement(it.key, leaving()));
        });
        world.advance(DRAIN / 2 - Duration::from_millis(1));
        let (_, effects) = world.arrive(request(route));
        only_send(&effects);
        world.advance(Duration::from_millis(2));
        let (_, effects) = world.arrive(Request { id: "late".into(), ..request(route) });
        let refusal = only_refusal(&effects);
        let is_leaving = matches!(refusal, Refusal::NotRun(_, NotRunReason::ShuttingDown, _));
        assert!(is_leaving, "{route}: {refusal:?}");
    }
}

/// An engine that is in need as well gets nothing, with a permit or without.
#[test]
fn leaving_and_limited() {
    let mut world = one_leaves();
    let limit = rate_limit::Reported::Rate(1.0);
    world.event(Event::Statement(first(None).key, Statement { limit, ..Statement::default() }));
    world.advance(Duration::from_secs(3));
    assert!(!plain_go_to(&mut world).contains(&first(None).key));
}

/// Gives the datagrams that tell of an engine that leaves, and to how many boxes.
fn told(effects: &[Effect], engine: EngineKey) -> usize {
    let tells = effects.iter().map(|it| match it {
        Effect::Announce(audience, message) => {
            let words = message.extension.iter().flat_map(|it| &it.departures);
            words.filter(|it| it.engine == engine).count() * audience.len()
        }
        _ => 0,
    });
    tells.sum()
}

/// Gives word that the first plain engine leaves in a life.
fn word(born: u64, age_ms: u32) -> Message {
    let departures = vec![Announcement { engine: first(None).key, started_at: Some(born), age_ms }];
    let extension = Extension { departures, ..Extension::default() }.non_empty();
    Message { extension, ..heartbeat(2, 1, StoreView::default()) }
}

/// A box tells the others at once, repeats it with its heartbeats, and tells a box that greets it.
#[test]
fn told_to_the_others() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let key = first(None).key;
    let effects = world.gateway.step(world.now, Event::Statement(key, leaving()));
    assert_eq!(told(&effects, key), 1);
    world.now = world.now + Duration::from_secs(1);
    let effects = world.gateway.step(world.now, Event::Tick);
    assert_eq!(told(&effects, key), 1);
    let greeting =
        Message { format: Some(Format::Permits), ..heartbeat(3, 1, StoreView::default()) };
    let effects = world.gateway.step(world.now, Event::Received(greeting));
    assert!(told(&effects, key) >= 1, "{effects:?}");
}

/// Words count with their age: what another box has known for half of the drain is over here too; word
/// of an earlier life is none, and word that comes before the list holds.
#[test]
fn words_of_others_by_age_and_life() {
    let only = |born| {
        let mut world = World::new();
        world.event(Event::Listed(vec![first(Some(born))], 20.into()));
        world
    };
    let mut world = only(100);
    world.event(Event::Received(word(100, 500)));
    world.first_call(request("safe"));
    let mut world = only(100);
    world.event(Event::Received(word(100, 1500)));
    only_refusal(&world.arrive(request("safe")).1);
    let mut world = only(200);
    world.event(Event::Received(word(100, 1500)));
    world.first_call(request("safe"));
    let mut known = World::new();
    known.event(Event::Received(word(100, 5)));
    known.event(Event::Listed(vec![first(Some(100)), engine(2, PLAIN, None)], 20.into()));
    assert!(!plain_go_to(&mut known).contains(&first(None).key));
}

/// A box that gets its engines from another one, since the store does not answer, hears with them which
/// leave: it sends them nothing, though it was told by no engine and no datagram.
#[test]
fn handed_over_to_a_box_that_starts() {
    let mut provider = one_leaves();
    provider.advance(Duration::from_secs(3));
    let mut world = World::numbered(2);
    let snapshot = provider.gateway.snapshot(SnapshotRequest::default());
    world.event(Event::SnapshotReceived(settings(1).peer, Box::new(snapshot)));
    let served = plain_go_to(&mut world);
    assert!(!served.is_empty() && !served.contains(&first(None).key), "{served:?}");
}

/// Where all readers leave, those that generate read for themselves.
#[test]
fn readers_that_leave() {
    let mut world = World::new();
    let readers: Vec<_> =
        engines().into_iter().filter(|it| it.stage == Some(Stage::Prefill)).collect();
    readers.iter().for_each(|it| {
        world.event(Event::Statement(it.key, leaving()));
    });
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(send.task, Task::Decode(Prompt::NotPrefilled));
}

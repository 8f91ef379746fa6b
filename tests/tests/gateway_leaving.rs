//! Engines that state in their answers that they are shutting down get no more requests.
//!
//! Boxes read only the engine's entry in the store. While the store was unavailable for 13 s, the
//! entry of an engine that was shutting down could not be written, and six boxes sent it 82 requests,
//! some of them 2 s after they had forwarded its statement.

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

/// The time within which all boxes learn that an engine is shutting down.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(60);

#[test]
fn draining_engine_used() {
    let mut fleet = Fleet::settled(6, 1);
    let shutdown_statement = fleet.engines_of(PLAIN)[0];
    fleet.drain([shutdown_statement]);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.statements.late(DRAIN), 0, "later than {DRAIN:?}");
}

/// Where other engines serve, all boxes have to stop as soon as one has received the statement.
#[test]
fn box_keeps_using_draining() {
    for (service, seed) in [(PLAIN, 2), (MODEL, 3)] {
        let mut fleet = Fleet::settled(6, seed);
        let shutdown_statement: Vec<_> = fleet.engines_of(service).into_iter().step_by(3).collect();
        fleet.drain(shutdown_statement);
        fleet.run(Duration::from_secs(12));
        assert_eq!(fleet.statements.late_after_first(ANNOUNCEMENT_TIME), 0, "{service}");
    }
}

/// If all engines of a service drain, they are used for a while, and never later than allowed.
#[test]
fn draining_service_unused() {
    for (service, seed) in [(PLAIN, 4), (MODEL, 5)] {
        let mut fleet = Fleet::settled(6, seed);
        let shutdown_statement = fleet.engines_of(service);
        fleet.drain(shutdown_statement.clone());
        let from = fleet.now();
        fleet.run(DRAIN / 2);
        let got: usize = shutdown_statement
            .iter()
            .map(|it| fleet.statements.arrivals_between(*it, from, fleet.now()))
            .sum();
        assert!(got >= 12, "{got} requests in the first second of {service}");
        fleet.run(Duration::from_secs(10));
        assert_eq!(fleet.statements.late(DRAIN), 0, "{service}");
    }
}

/// Restarted boxes have to learn of the shutdown from other boxes, or from the next answer, also when
/// the boxes that learned it first are gone.
#[test]
fn shutdown_lost_on_restart() {
    let mut fleet = Fleet::settled(6, 6);
    let shutdown_statement = fleet.engines_of(PLAIN)[0];
    fleet.drain([shutdown_statement]);
    fleet.run(Duration::from_secs(1));
    let from = fleet.now();
    for number in 0..6 {
        fleet.restart([number]);
        fleet.run(Duration::from_secs(2));
    }
    let got = fleet.statements.arrivals_between(shutdown_statement, from, fleet.now());
    assert_eq!(got, 0, "from boxes that others could inform");
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.statements.late(ANNOUNCEMENT_TIME), 0);
}

/// Partitioned boxes each have to learn of the shutdown from an answer of their own.
#[test]
fn partitioned_box_uses_draining() {
    let mut fleet = Fleet::settled(6, 7);
    (0..6).for_each(|number| fleet.partition([number], number));
    fleet.drain([fleet.engines_of(PLAIN)[0]]);
    fleet.run(Duration::from_secs(8));
    fleet.partition(0..6, 0);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.statements.late(ANNOUNCEMENT_TIME), 0);
}

/// If a quarter of the datagrams is lost, all boxes have to know within a few heartbeats.
#[test]
fn shutdown_announcement_lost() {
    let mut fleet = Fleet::settled(6, 8);
    fleet.lost = 0.25;
    let shutdown_statement = fleet.engines_of(MODEL)[15];
    fleet.drain([shutdown_statement]);
    fleet.run(Duration::from_secs(4));
    let from = fleet.now();
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.statements.arrivals_between(shutdown_statement, from, fleet.now()), 0);
}

/// A new incarnation under the same id has to be used again.
#[test]
fn restarted_engine_unused() {
    let mut fleet = Fleet::settled(6, 9);
    let shutdown_statement = fleet.engines_of(PLAIN)[0];
    fleet.drain([shutdown_statement]);
    fleet.run(Duration::from_secs(2));
    fleet.crash_all([shutdown_statement]);
    fleet.run(Duration::from_secs(6));
    fleet.set_limit([shutdown_statement], Some(100.0));
    let from = fleet.now();
    fleet.run(Duration::from_secs(5));
    assert!(fleet.rate_limits.arrivals_between(shutdown_statement, from, fleet.now()) > 20);
}

/// Returns a statement that the engine is shutting down.
fn shutdown_statement() -> Statement {
    Statement { is_leaving: true, ..Statement::default() }
}

/// Returns an answer whose engine is shutting down.
fn ran_during_shutdown(status: u16) -> Answer {
    Answer { statement: shutdown_statement(), ..ran(status) }
}

/// Sends plain requests, each answered at once; returns the engines that they were sent to.
fn plain_serving_engines(world: &mut World) -> Vec<EngineKey> {
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

/// Returns the first plain engine with a start time.
fn first(start: Option<u64>) -> Engine {
    Engine { started_at: start, ..engine(1, PLAIN, None) }
}

/// Makes a box with two plain engines, the first of which, started at 100, is shutting down.
fn world_with_draining_engine() -> World {
    let mut world = World::new();
    world.event(Event::Listed(vec![first(Some(100)), engine(2, PLAIN, None)], 20.into()));
    world.event(Event::Statement(first(None).key, shutdown_statement()));
    assert!(!plain_serving_engines(&mut world).contains(&first(None).key));
    world
}

/// Neither a ready entry, nor a list, nor the entry's removal and return, nor an earlier answer may
/// withdraw the statement: only a later incarnation does.
#[test]
fn shutdown_withdrawn_early() {
    let mut world = world_with_draining_engine();
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
        Event::Statement(key, Statement { born: Some(50), ..shutdown_statement() }),
    ];
    for event in events {
        world.event(event.clone());
        world.advance(Duration::from_millis(400));
        assert!(!plain_serving_engines(&mut world).contains(&key), "after {event:?}");
    }
    world.event(put(first(Some(200)), 28));
    assert!(plain_serving_engines(&mut world).contains(&key));
}

/// Another engine at the same address has to be used.
#[test]
fn address_successor_unused() {
    let mut world = world_with_draining_engine();
    let address = first(None).address;
    let other = Engine { address, started_at: Some(300), ..engine(3, PLAIN, None) };
    let gone = EngineChange::Left(first(None).id, 21.into());
    world.event(Event::Changed(vec![gone, EngineChange::Put(other.clone(), 22.into())]));
    assert!(plain_serving_engines(&mut world).contains(&other.key));
}

/// An answer to an earlier incarnation must not affect the later one, nor a 421 any engine.
#[test]
fn foreign_answer_applied() {
    let mut world = World::new();
    world.event(Event::Listed(vec![first(Some(100))], 20.into()));
    let (_, early) = world.first_call(request("safe"));
    world.event(Event::Changed(vec![EngineChange::Put(first(Some(200)), 21.into())]));
    world.call(early.call, CallEvent::Answered(ran_during_shutdown(200)));
    let (_, moved) = world.first_call(request("safe"));
    let answer = Answer { execution: Execution::Replaced, ..ran_during_shutdown(421) };
    world.call(moved.call, CallEvent::Answered(answer));
    world.event(Event::Changed(vec![EngineChange::Put(first(Some(300)), 22.into())]));
    world.first_call(request("safe"));
}

/// The statement counts in every answer: runs, failures, rejections, prefills and stream heads.
#[test]
fn shutdown_answer_ignored() {
    let kinds: [(&str, CallEvent); 6] = [
        ("safe", CallEvent::Answered(ran_during_shutdown(200))),
        ("safe", CallEvent::Answered(ran_during_shutdown(500))),
        ("safe", CallEvent::Answered(Answer { statement: shutdown_statement(), ..rejected() })),
        ("safe", CallEvent::Answered(ran_during_shutdown(503))),
        (
            "resumed",
            CallEvent::Answered(Answer { statement: shutdown_statement(), ..prefilled("h") }),
        ),
        ("resumed", CallEvent::Answered(Answer { statement: shutdown_statement(), ..rejected() })),
    ];
    for (route, event) in kinds {
        let mut world = World::new();
        let (_, send) = world.first_call(request(route));
        let mut effects = world.call(send.call, event.clone());
        for number in 0..8 {
            let id = format!("request-{number}");
            effects.extend(world.arrive(Request { id: id.into(), ..request(route) }).1);
        }
        assert!(!called_engines(&effects).contains(&send.engine.key), "{event:?}");
    }
    let mut world = World::new();
    let (_, prefill_call) = world.first_call(request("resumed"));
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    let decode_call = only_send(&effects);
    world.call(decode_call.call, CallEvent::Began(ran_during_shutdown(200)));
    let (_, effects) = prefilled_request(&mut world, "second");
    assert!(!called_engines(&effects).contains(&decode_call.engine.key));
}

/// Returns the engines that calls are sent to.
fn called_engines(effects: &[Effect]) -> Vec<EngineKey> {
    let sends = effects.iter().filter_map(|it| match it {
        Effect::Send(send) => Some(send.engine.key),
        _ => None,
    });
    sends.collect()
}

/// Prefills a stream's prompt; returns the prefill call and the effects that follow.
fn prefilled_request(world: &mut World, id: &str) -> (Send, Vec<Effect>) {
    let (_, prefill_call) = world.first_call(Request { id: id.into(), ..request("resumed") });
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    (prefill_call, effects)
}

/// A prompt prefilled for an engine that begins to drain goes to another one, and running calls
/// continue.
#[test]
fn prompt_sent_to_draining() {
    let mut world = World::new();
    let (request_key, running) = world.begin_stream(request("resumed"));
    let (_, prefill_call) = world.first_call(Request { id: "second".into(), ..request("resumed") });
    world.event(Event::Statement(running.engine.key, shutdown_statement()));
    let effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    let decode_call = only_send(&effects);
    assert_ne!(decode_call.engine.key, running.engine.key);
    assert!(matches!(decode_call.task, Task::Decode(Prompt::Prefilled(_))));
    let effects = world.call(running.call, CallEvent::Answered(ran(200)));
    assert!(effects.contains(&Effect::Finish(request_key)), "{effects:?}");
}

/// A stream that breaks at a draining engine, and a repeat, have to go to another engine.
#[test]
fn retry_sent_to_draining() {
    let mut world = World::new();
    let (_, running) = world.begin_stream(request("resumed"));
    world.event(Event::Statement(running.engine.key, shutdown_statement()));
    let effects = world.call(running.call, CallEvent::Broken);
    assert!(!called_engines(&effects).contains(&running.engine.key), "{effects:?}");
    let (_, send) = world.first_call(request("safe"));
    let effects = world.call(send.call, CallEvent::Answered(ran_during_shutdown(500)));
    assert_ne!(only_send(&effects).engine.key, send.engine.key);
}

/// Another engine has to fetch the prompt that a draining engine caches.
#[test]
fn cached_prompt_abandoned() {
    let mut world = World::new();
    let new_request = || Request { prompt: Some(PromptKey(7)), ..request("resumed") };
    let (_, decode_call) = world.begin_stream(new_request());
    world.call(decode_call.call, CallEvent::Forwarded(Some(1)));
    world.call(decode_call.call, CallEvent::Answered(ran_during_shutdown(200)));
    world.event(Event::Statement(decode_call.engine.key, shutdown_statement()));
    let (_, effects) = world.arrive(new_request());
    let again = only_send(&effects);
    assert_ne!(again.engine.key, decode_call.engine.key);
    assert_eq!(again.task, Task::Decode(Prompt::CachedAt(decode_call.engine.address)));
}

/// A draining engine is neither queried nor probed, and no prompt is freed there.
#[test]
fn draining_engine_queried() {
    let mut world = World::new();
    for engine in engines() {
        world.event(Event::Statement(engine.key, shutdown_statement()));
    }
    let (request_key, prefill_call) = world.first_call(request("once"));
    let mut effects = world.call(prefill_call.call, CallEvent::Answered(prefilled("h")));
    effects.extend(world.event(Event::ClientDisconnected(request_key)));
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

/// If all engines drain, requests are served for half of the drain and refused at once after it.
#[test]
fn refusal_delayed_during_drain() {
    for route in ["safe", "unsafe", "once", "resumed"] {
        let mut world = World::new();
        engines().iter().for_each(|it| {
            world.event(Event::Statement(it.key, shutdown_statement()));
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

/// A draining engine that is rate-limited as well gets nothing, with a permit or without.
#[test]
fn limited_draining_engine_used() {
    let mut world = world_with_draining_engine();
    let limit = rate_limit::Reported::Rate(1.0);
    world.event(Event::Statement(first(None).key, Statement { limit, ..Statement::default() }));
    world.advance(Duration::from_secs(3));
    assert!(!plain_serving_engines(&mut world).contains(&first(None).key));
}

/// Returns how many announcements of the shutdown are sent, summed over the receiving boxes.
fn announcement_count(effects: &[Effect], engine: EngineKey) -> usize {
    let tells = effects.iter().map(|it| match it {
        Effect::Announce(audience, message) => {
            let announcements = message.extension.iter().flat_map(|it| &it.departures);
            announcements.filter(|it| it.engine == engine).count() * audience.len()
        }
        _ => 0,
    });
    tells.sum()
}

/// Returns an announcement that an incarnation of the first plain engine is shutting down.
fn shutdown_announcement(start: u64, age_ms: u32) -> Message {
    let departures =
        vec![Announcement { engine: first(None).key, started_at: Some(start), age_ms }];
    let extension = Extension { departures, ..Extension::default() }.non_empty();
    Message { extension, ..heartbeat(2, 1, StoreView::default()) }
}

/// A box has to announce the shutdown at once, with its heartbeats, and to a box that greets it.
#[test]
fn shutdown_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let key = first(None).key;
    let effects = world.gateway.step(world.now, Event::Statement(key, shutdown_statement()));
    assert_eq!(announcement_count(&effects, key), 1);
    world.now = world.now + Duration::from_secs(1);
    let effects = world.gateway.step(world.now, Event::Tick);
    assert_eq!(announcement_count(&effects, key), 1);
    let greeting =
        Message { format: Some(Format::Permits), ..heartbeat(3, 1, StoreView::default()) };
    let effects = world.gateway.step(world.now, Event::Received(greeting));
    assert!(announcement_count(&effects, key) >= 1, "{effects:?}");
}

/// Announcements count from their age: half of the drain may be over on arrival. One of an earlier
/// incarnation is ignored, and one that arrives before the list is kept.
#[test]
fn stale_announcement_applied() {
    let only = |start| {
        let mut world = World::new();
        world.event(Event::Listed(vec![first(Some(start))], 20.into()));
        world
    };
    let mut world = only(100);
    world.event(Event::Received(shutdown_announcement(100, 500)));
    world.first_call(request("safe"));
    let mut world = only(100);
    world.event(Event::Received(shutdown_announcement(100, 1500)));
    only_refusal(&world.arrive(request("safe")).1);
    let mut world = only(200);
    world.event(Event::Received(shutdown_announcement(100, 1500)));
    world.first_call(request("safe"));
    let mut known = World::new();
    known.event(Event::Received(shutdown_announcement(100, 5)));
    known.event(Event::Listed(vec![first(Some(100)), engine(2, PLAIN, None)], 20.into()));
    assert!(!plain_serving_engines(&mut known).contains(&first(None).key));
}

/// A box that gets its engines from a peer's snapshot has to learn from it which are shutting down,
/// without an answer or a datagram that says so.
#[test]
fn shutdown_missing_in_snapshot() {
    let mut provider = world_with_draining_engine();
    provider.advance(Duration::from_secs(3));
    let mut world = World::numbered(2);
    let snapshot = provider.gateway.snapshot(SnapshotRequest::default());
    world.event(Event::SnapshotReceived(settings(1).peer, Box::new(snapshot)));
    let served = plain_serving_engines(&mut world);
    assert!(!served.is_empty() && !served.contains(&first(None).key), "{served:?}");
}

/// If all prefill engines drain, decode engines have to prefill the prompts themselves.
#[test]
fn draining_prefill_engines_used() {
    let mut world = World::new();
    let readers: Vec<_> =
        engines().into_iter().filter(|it| it.stage == Some(Stage::Prefill)).collect();
    readers.iter().for_each(|it| {
        world.event(Event::Statement(it.key, shutdown_statement()));
    });
    let (_, send) = world.first_call(request("resumed"));
    assert_eq!(send.task, Task::Decode(Prompt::NotPrefilled));
}

/// A release of a large site drains hundreds of engines at once. A box that starts meanwhile has to
/// learn of all of them.
#[test]
fn snapshot_omits_draining() {
    let mut world = World::new();
    let announcement = |number: u64| Announcement {
        engine: EngineKey::of(&format!("engine-{number}")),
        started_at: None,
        age_ms: 0,
    };
    let departures: Vec<_> = (0..500).map(announcement).collect();
    let extension = Extension { departures, ..Extension::default() }.non_empty();
    let message = Message { extension, ..heartbeat(2, 1, StoreView::default()) };
    world.event(Event::Received(message));
    let snapshot = world.gateway.snapshot(SnapshotRequest::default());
    assert_eq!(snapshot.departures.len(), 500);
}

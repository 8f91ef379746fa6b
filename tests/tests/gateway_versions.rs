//! The ways on which a stream changes its engine, at one box before engines of two software versions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, NotRunReason, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::message::StoreView;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_gateway::route::{Route, RouteKind};
use hollyspoke_gateway::version::SoftwareVersion;
use hollyspoke_tests::gateway::{
    MODEL, World, configuration_of, engine, heartbeat, only_refusal, only_send, prefilled, ran,
    request, route,
};
use hollyspoke_tests::migration::{self, leaving, transfers};

/// Returns an engine of a version.
fn versioned(number: u8, stage: Stage, version: &str) -> Engine {
    let version = Some(SoftwareVersion::new(version));
    Engine { version, ..engine(number, MODEL, Some(stage)) }
}

/// Lists engines: prefill engines of the first version, decode engines of the given ones.
fn list(world: &mut World, versions: &[&str]) {
    let prefill = [11, 12].map(|it| versioned(it, Stage::Prefill, "v1"));
    let decode = (21..).zip(versions).map(|(number, it)| versioned(number, Stage::Decode, it));
    world.event(Event::Listed(prefill.into_iter().chain(decode).collect(), 20.into()));
}

/// Replaces all engines by ones of a version.
fn release(world: &mut World, version: &str) {
    let prefill = [11, 12].map(|it| versioned(it, Stage::Prefill, version));
    let decode = [21, 22].map(|it| versioned(it, Stage::Decode, version));
    world.event(Event::Listed(prefill.into_iter().chain(decode).collect(), 21.into()));
}

/// Returns a box before decode engines of the given versions.
fn world(versions: &[&str]) -> World {
    let mut world = World::new();
    list(&mut world, versions);
    world
}

/// Begins a stream up to an event.
fn begin(world: &mut World, route: &str) -> (RequestKey, Send) {
    let (key, decode) = world.begin_stream(request(route));
    world.call(decode.call, CallEvent::Forwarded(Some(1)));
    (key, decode)
}

/// An engine that gave the head and no event binds nobody.
#[test]
fn head_binds_version() {
    let mut world = world(&["v1", "v2"]);
    let (_, first) = world.begin_stream(request("resumed"));
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    assert_ne!(second.engine.version, first.engine.version);
}

#[test]
fn broken_stream_changes_version() {
    let mut world = world(&["v1", "v1", "v2", "v2"]);
    for _ in 0..12 {
        let (_, first) = begin(&mut world, "resumed");
        let second = only_send(&world.call(first.call, CallEvent::Broken));
        assert_eq!(second.engine.version, first.engine.version);
        assert_ne!(second.engine.key, first.engine.key);
        world.call(second.call, CallEvent::Began(ran(200)));
        world.call(second.call, CallEvent::Answered(ran(200)));
        world.advance(Duration::from_secs(20));
        list(&mut world, &["v1", "v1", "v2", "v2"]);
    }
}

/// Where no engine of the version is left, the answer is broken off at once.
#[test]
fn last_engine_of_version_replaced() {
    let mut world = world(&["v1", "v2"]);
    let (key, first) = begin(&mut world, "resumed");
    world.event(Event::Changed(vec![EngineChange::Left(first.engine.id.clone(), 21.into())]));
    let effects = world.call(first.call, CallEvent::Broken);
    assert!(effects.contains(&Effect::Abort(key)), "{effects:?}");
}

/// An engine that has restarted with another version since it was called writes no event that the
/// client gets.
#[test]
fn restarted_engine_continues() {
    let mut world = world(&["v1", "v1"]);
    let (_, first) = begin(&mut world, "resumed");
    let second = only_send(&world.call(first.call, CallEvent::Broken));
    let version = Some(SoftwareVersion::new("v2"));
    let restarted = Engine { started_at: Some(9), version, ..(*second.engine).clone() };
    world.event(Event::Changed(vec![EngineChange::Put(restarted, 21.into())]));
    let effects = world.call(second.call, CallEvent::Began(ran(200)));
    assert!(effects.contains(&Effect::Cancel(second.call)), "{effects:?}");
    assert!(!effects.iter().any(|it| matches!(it, Effect::Resume(..))), "{effects:?}");
}

/// If the engine may have restarted before the first event, nobody knows which version began the
/// stream, so that it goes on nowhere.
#[test]
fn restarted_engine_begins() {
    let mut world = world(&["v1", "v1"]);
    let (key, first) = world.begin_stream(request("resumed"));
    let restarted = Engine { started_at: Some(9), ..(*first.engine).clone() };
    world.event(Event::Changed(vec![EngineChange::Put(restarted, 21.into())]));
    world.call(first.call, CallEvent::Forwarded(Some(1)));
    let effects = world.call(first.call, CallEvent::Broken);
    assert!(effects.contains(&Effect::Abort(key)), "{effects:?}");
}

/// Returns the version of the engine at an address in a world before `v1`, `v2` and `v2`.
fn version_at(address: SocketAddr) -> &'static str {
    if address == versioned(21, Stage::Decode, "v1").address { "v1" } else { "v2" }
}

#[test]
fn moved_stream_changes_version() {
    let mut moves = 0;
    for fillers in 0..5 {
        let mut world = migration::world(Features { migration: true, ..Features::NONE });
        list(&mut world, &["v1", "v2", "v2"]);
        for _ in 0..fillers {
            world.begin_stream(request("once"));
        }
        let (_, decode) = world.begin_stream(request("once"));
        let mut effects = world.event(leaving(&decode.engine));
        effects.extend(world.advance(Duration::from_millis(150)));
        for transfer in transfers(&effects) {
            assert_eq!(version_at(transfer.source.address), "v2");
            assert_eq!(version_at(transfer.target), "v2");
            moves += 1;
        }
    }
    assert!(moves > 0, "no stream was moved");
}

#[test]
fn backup_changes_version() {
    let mut world = migration::world(Features { backups: true, ..Features::NONE });
    list(&mut world, &["v1", "v2", "v2"]);
    let mut backups = 0;
    for _ in 0..6 {
        let (_, decode) = begin(&mut world, "once");
        let version = decode.engine.version.as_ref().map(SoftwareVersion::name);
        assert!(decode.backup.is_none() || version == Some("v2"), "{decode:?}");
        backups += u32::from(decode.backup.is_some());
    }
    assert!(backups > 0);
}

/// A prompt is prefilled at any version: pools that are split by version refuse no new stream.
#[test]
fn split_pools_refuse_streams() {
    let mut world = world(&["v2", "v2"]);
    let (_, prefill) = world.first_call(request("resumed"));
    assert_eq!(prefill.task, Task::Prefill);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    assert_ne!(decode.engine.version, prefill.engine.version);
}

/// Returns the request of a client that takes a stream up.
fn resuming(resumed_id: Option<&str>) -> Request {
    let resumed_id = resumed_id.map(Into::into);
    Request { id: "second".into(), last_event: Some(1), resumed_id, ..request("resumed") }
}

/// The box that began a stream knows it without asking anybody.
#[test]
fn own_stream_forgotten() {
    let mut world = world(&["v1", "v1", "v2", "v2"]);
    let (key, first) = begin(&mut world, "resumed");
    world.event(Event::ClientDisconnected(key));
    for _ in 0..6 {
        let (key, effects) = world.arrive(resuming(Some("request-resumed")));
        let prefill = only_send(&effects);
        let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
        assert_eq!(decode.engine.version, first.engine.version);
        world.event(Event::ClientDisconnected(key));
    }
}

/// Returns a box before two decode engines whose starts are listed, and two streams, one at each.
fn streams_at_two_engines() -> (World, [(RequestKey, Send); 2]) {
    let mut world = World::new();
    let started_at = Some(LISTED_START);
    let prefill = [11, 12].map(|it| versioned(it, Stage::Prefill, "v1"));
    let decode = [21, 22].map(|it| Engine { started_at, ..versioned(it, Stage::Decode, "v1") });
    world.event(Event::Listed(prefill.into_iter().chain(decode).collect(), 20.into()));
    let streams = [begin(&mut world, "resumed"), begin(&mut world, "resumed")];
    assert_ne!(streams[0].1.engine.key, streams[1].1.engine.key);
    (world, streams)
}

/// The start of engines as it is listed.
const LISTED_START: u64 = 5;

/// Lets the connection of a stream break at each engine, the first stream's last, and the engine of
/// the second one answer a probe between. Returns whether the first stream goes on at that engine.
fn goes_on_after(probe: Probe) -> bool {
    let (mut world, [(_, first), (second_key, second)]) = streams_at_two_engines();
    world.call(second.call, CallEvent::Broken);
    world.event(Event::ClientDisconnected(second_key));
    world.event(Event::Probed(second.engine.key, probe));
    let effects = world.call(first.call, CallEvent::Broken);
    effects.iter().any(|it| matches!(it, Effect::Send(it) if it.engine.key == second.engine.key))
}

/// An engine that has told a later start than its entry shows may have another version.
#[test]
fn told_restart_continues() {
    assert!(!goes_on_after(Probe::Alive(Some(LISTED_START + 1))));
}

/// A connection that was reset at a sound engine keeps no stream from it.
#[test]
fn sound_engine_distrusted() {
    for told in [Some(LISTED_START), Some(LISTED_START - 1), None] {
        assert!(goes_on_after(Probe::Alive(told)), "{told:?}");
    }
}

/// A stream that an engine begins after it has told a later start than its entry shows goes on
/// nowhere.
#[test]
fn told_restart_begins() {
    let (mut world, [_, (_, second)]) = streams_at_two_engines();
    world.event(Event::Probed(second.engine.key, Probe::Alive(Some(LISTED_START + 1))));
    let (key, third) = (0..4)
        .map(|_| begin(&mut world, "resumed"))
        .find(|(_, it)| it.engine.key == second.engine.key)
        .expect("it is used for new streams");
    let effects = world.call(third.call, CallEvent::Broken);
    assert!(effects.contains(&Effect::Abort(key)), "{effects:?}");
}

/// Lets a client send a stream and leave. Returns the engine that decodes it, and those probed for it.
fn stream_and_probes(world: &mut World) -> (EngineKey, Vec<EngineKey>) {
    let known = world.probed.len();
    let (key, decode) = begin(world, "resumed");
    world.event(Event::ClientDisconnected(key));
    (decode.engine.key, world.probed.split_off(known))
}

/// Returns a box before one decode engine whose start is listed.
fn world_with_start() -> World {
    let mut world = World::new();
    let started_at = Some(LISTED_START);
    let decode = Engine { started_at, ..versioned(21, Stage::Decode, "v1") };
    let prefill = versioned(11, Stage::Prefill, "v1");
    world.event(Event::Listed(vec![prefill, decode], 20.into()));
    world
}

/// An engine that gets streams is asked for its start, but not for each stream.
#[test]
fn stream_asks_for_start() {
    let mut world = world_with_start();
    let (engine, asked) = stream_and_probes(&mut world);
    assert_eq!(asked, [engine]);
    world.event(Event::Probed(engine, Probe::Alive(Some(LISTED_START))));
    for _ in 0..5 {
        world.advance(Duration::from_millis(100));
        assert_eq!(stream_and_probes(&mut world), (engine, Vec::new()));
    }
    world.advance(Duration::from_secs(1));
    assert_eq!(stream_and_probes(&mut world), (engine, vec![engine]));
}

/// A probe that began before a stream was sent may have met the engine while it was down, and the stream
/// meets it when it is back with another version.
#[test]
fn earlier_probe_trusted() {
    let mut world = world_with_start();
    let (engine, asked) = stream_and_probes(&mut world);
    assert_eq!(asked, [engine]);
    assert_eq!(stream_and_probes(&mut world), (engine, Vec::new()));
    let known = world.probed.len();
    world.event(Event::Probed(engine, Probe::NotConnected));
    assert_eq!(world.probed[known..], [engine]);
    world.event(Event::Probed(engine, Probe::NotConnected));
    assert_eq!(world.probed[known..], [engine]);
}

/// How long after its attempt has ended a client takes its stream up.
const LATE: Duration = Duration::from_secs(60);

/// Begins a stream whose client leaves.
fn begin_and_leave(world: &mut World) -> Send {
    let (key, first) = begin(world, "resumed");
    world.event(Event::ClientDisconnected(key));
    first
}

/// Checks that a stream that a client takes up reaches no engine.
fn check_refused(world: &mut World, request: Request) {
    let (_, mut effects) = world.arrive(request);
    effects.extend(world.advance(Duration::from_secs(1)));
    assert!(!effects.iter().any(|it| matches!(it, Effect::Send(_))), "{effects:?}");
    assert!(matches!(only_refusal(&effects), Refusal::NotRun(..)), "{effects:?}");
}

/// A client may come back later than its attempts last: its stream still goes on.
#[test]
fn late_client_refused() {
    let mut world = world(&["v1", "v1", "v2", "v2"]);
    let first = begin_and_leave(&mut world);
    world.advance(LATE);
    let (_, effects) = world.arrive(resuming(Some("request-resumed")));
    let prefill = only_send(&effects);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    assert_eq!(decode.engine.version, first.engine.version);
}

/// The version that began a stream has left before its client comes back.
#[test]
fn late_client_mixes_versions() {
    let mut world = world(&["v1", "v1"]);
    begin_and_leave(&mut world);
    release(&mut world, "v2");
    world.advance(LATE);
    check_refused(&mut world, resuming(Some("request-resumed")));
}

/// What a client has left, or a route allows now, is not how long ago a stream may have begun.
#[test]
fn short_deadline_mixes_versions() {
    let mut world = world(&["v1", "v1"]);
    let timeout = Duration::from_secs(3);
    let resumed = Route { resumable: true, timeout, ..route("resumed", RouteKind::Stream, MODEL) };
    world.event(Event::Configured(Arc::new(configuration_of(2, vec![resumed]))));
    release(&mut world, "v2");
    world.advance(Duration::from_secs(10));
    let request = Request { deadline: Some(Duration::from_secs(2)), ..resuming(Some("unknown")) };
    check_refused(&mut world, request);
}

/// A stream that all boxes have forgotten is refused, not mixed.
#[test]
fn forgotten_stream_mixes_versions() {
    let mut world = world(&["v1", "v1"]);
    begin_and_leave(&mut world);
    release(&mut world, "v2");
    world.advance(Duration::from_secs(3600));
    check_refused(&mut world, resuming(Some("request-resumed")));
}

/// A stream that nobody knows is refused at once where two versions serve, and so is one that the
/// client doesn't name, or names by an id of another customer.
#[test]
fn unknown_stream_continues() {
    let mut world = world(&["v1", "v2"]);
    begin(&mut world, "resumed");
    for resumed_id in [None, Some("unknown")] {
        let (_, effects) = world.arrive(resuming(resumed_id));
        let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
        assert_eq!(reason, NotRunReason::VersionUnknown);
    }
}

/// A box that hears neither the others nor the store may have missed a new version: what it lists is
/// not taken for all that serves.
#[test]
fn isolated_box_guesses() {
    let mut world = world(&["v1", "v1"]);
    world.event(Event::Received(heartbeat(2, 1, StoreView::default())));
    let (key, effects) = world.arrive(resuming(None));
    assert_eq!(only_send(&effects).task, Task::Prefill);
    world.event(Event::ClientDisconnected(key));
    world.advance(Duration::from_secs(5));
    let (_, mut effects) = world.arrive(resuming(None));
    effects.extend(world.advance(Duration::from_millis(400)));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::VersionUnknown);
}

/// Returns a box that has heard others, and then for seconds only some of them, of which none has
/// answers of the store.
fn world_without_store(heard: &[u8], others: &[u8]) -> World {
    let mut world = world(&["v1", "v1"]);
    let lost = StoreView { has_lost_store: true, ..StoreView::default() };
    for &number in others {
        world.event(Event::Received(heartbeat(number, 1, StoreView::default())));
    }
    for sequence in 1..=6 {
        for &number in heard {
            world.event(Event::Received(heartbeat(number, sequence, lost)));
        }
        world.advance(Duration::from_secs(1));
    }
    world
}

/// Boxes that are cut off together hear each other, but neither the store nor anyone who does.
#[test]
fn isolated_boxes_guess() {
    let mut world = world_without_store(&[2, 3], &[4, 5]);
    check_refused(&mut world, resuming(None));
}

/// While the store answers nobody, nobody learns of a new version either.
#[test]
fn store_outage_refuses_streams() {
    let mut world = world_without_store(&[2, 3, 4], &[]);
    let (_, effects) = world.arrive(resuming(None));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

/// A box without answers of the store hears of a new version from one that has them.
#[test]
fn box_without_store_refuses_streams() {
    let mut world = world_without_store(&[2, 3], &[4, 5]);
    world.event(Event::Received(heartbeat(4, 2, StoreView::default())));
    let (_, effects) = world.arrive(resuming(None));
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

/// Engines whose version isn't known, from a box that doesn't pass it on, begin streams, and continue
/// none.
#[test]
fn unknown_version_continues() {
    let mut world = World::new();
    let decode = [21, 22].map(|it| versioned(it, Stage::Decode, "v1"));
    let decode = decode.map(|it| Engine { version: None, ..it });
    let prefill = versioned(11, Stage::Prefill, "v1");
    world.event(Event::Listed([prefill].into_iter().chain(decode).collect(), 20.into()));
    let (key, first) = begin(&mut world, "resumed");
    let effects = world.call(first.call, CallEvent::Broken);
    assert!(effects.contains(&Effect::Abort(key)), "{effects:?}");
}

/// Engines that name no version form a version of their own.
#[test]
fn unnamed_version_mixed() {
    let mut world = world(&["", "", "v1"]);
    for _ in 0..8 {
        let (key, first) = begin(&mut world, "resumed");
        let effects = world.call(first.call, CallEvent::Broken);
        let next = effects.iter().find_map(|it| match it {
            Effect::Send(send) => Some(send.engine.version.clone()),
            _ => None,
        });
        assert!(next.is_none_or(|it| it == first.engine.version), "{effects:?}");
        world.event(Event::ClientDisconnected(key));
        world.advance(Duration::from_secs(20));
    }
}

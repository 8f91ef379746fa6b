//! Refused clients that return when a box told them to, each with one failure.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::appointment::Announcement;
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Refusal};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{Extension, Load, Message, StoreView};
use hollyspoke_gateway::request::Request;
use hollyspoke_tests::gateway::{
    MEMORY, MODEL, World, configuration, engines, heartbeat, only_refusal, request, settings,
};
use xxhash_rust::xxh3::xxh3_64;

/// The time for which a new request waits for capacity.
const WAIT: Duration = Duration::from_millis(200);

/// The longest time that a client with the usual deadline is told.
const LONGEST: Duration = Duration::from_millis(4667);

/// Returns a box with forecasts on or off that knows the usual deadline, and whose engines another
/// box has filled.
fn full_world(appointments: bool) -> World {
    let features = Features { appointments, ..Features::NONE };
    let gateway = Gateway::new(Settings { features, ..settings(1) });
    let mut world = World::of(gateway);
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines(), 10.into()));
    for _ in 0..3 {
        let (key, _) = world.first_call(request("once"));
        world.event(Event::ClientDisconnected(key));
    }
    fill(&mut world, 1, true);
    world
}

/// Passes the heartbeat of a box that fills the decode engines, or leaves them empty.
fn fill(world: &mut World, sequence: u64, is_full: bool) -> Vec<Effect> {
    let held_tokens = if is_full { MEMORY as u32 } else { 0 };
    let load = Load { held_tokens, ..Load::default() };
    let loads = ["engine-21", "engine-22"].map(|it| (EngineKey::of(it), load));
    let message = Message { loads: loads.to_vec(), ..heartbeat(3, sequence, StoreView::default()) };
    world.event(Event::Received(message))
}

/// Returns a heartbeat of box 2 with the load that it told to return.
fn announcement(sequence: u64, in_ms: u32, units: u32) -> Event {
    let service = xxh3_64(MODEL.as_bytes());
    let appointments = vec![Announcement { service, priority: 1, in_ms, units }];
    let extension = Extension { appointments, ..Extension::default() }.non_empty();
    Event::Received(Message { extension, ..heartbeat(2, sequence, StoreView::default()) })
}

/// Passes a request that is refused after its wait, and returns the time told.
fn refuse(world: &mut World, request: Request) -> Duration {
    let (_, effects) = world.arrive(request);
    assert_eq!(effects, []);
    let Refusal::NotRun(_, NotRunReason::Overloaded, after) = only_refusal(&world.advance(WAIT))
    else {
        panic!("not refused for lack of capacity")
    };
    after
}

/// Returns the log lines and announced loads of an event and of the time after it.
fn observe(world: &mut World, duration: Duration) -> (Vec<LogEvent>, Vec<Announcement>) {
    let (mut lines, mut announced) = (Vec::new(), Vec::new());
    let end = world.now + duration;
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_micros(1)).min(end);
        for effect in world.gateway.step(world.now, Event::Tick) {
            match effect {
                Effect::Log(line) => lines.push(line),
                Effect::Announce(_, message) => {
                    announced.extend(message.extension.map_or(vec![], |it| it.appointments));
                }
                _ => {}
            }
        }
    }
    (lines, announced)
}

/// Returns a request as its client sends it again with the time that it has left.
fn returned(left: Duration) -> Request {
    Request { deadline: Some(left), ..request("once") }
}

/// A lost announcement left the load that is due to return unknown until it had returned.
#[test]
fn lost_announcement() {
    let mut world = full_world(true);
    world.event(announcement(1, 400, 10_000_000));
    let after = refuse(&mut world, request("once"));
    let heartbeat = Duration::from_millis(350);
    let (_, lost) = observe(&mut world, heartbeat);
    let (_, next) = observe(&mut world, heartbeat);
    let units = |announced: &[Announcement]| announced.iter().map(|it| it.units).max();
    assert_eq!(units(&lost), Some(5400));
    assert_eq!(units(&next), Some(5400), "the next heartbeat makes up for a lost one");
    assert!(next.iter().all(|it| it.in_ms <= after.as_millis() as u32 + 125));
}

/// When a box died, the load that it had told to return was forgotten, and others were told to
/// return at the same time.
#[test]
fn promiser_dies() {
    let told_after = |has_announced: bool| {
        let mut world = full_world(true);
        if has_announced {
            world.event(announcement(1, 3700, 10_000_000));
        }
        let (_, log) = (0..10).fold((2, Vec::new()), |(sequence, mut log), _| {
            fill(&mut world, sequence, true);
            log.extend(observe(&mut world, Duration::from_millis(330)).0);
            (sequence + 1, log)
        });
        let is_death = |it: &LogEvent| matches!(it, LogEvent::Peers { timed_out, .. } if !timed_out.is_empty());
        assert_eq!(log.iter().any(is_death), has_announced);
        fill(&mut world, 20, true);
        refuse(&mut world, request("once"))
    };
    assert!(told_after(false) < Duration::from_secs(1));
    assert!(told_after(true) > LONGEST / 3);
}

/// A client that returned early was still expected later.
#[test]
fn early_return() {
    let mut world = full_world(true);
    world.event(announcement(1, 400, 10_000_000));
    let after = refuse(&mut world, request("once"));
    assert!(after > Duration::from_secs(1), "no capacity is forecast: {after:?}");
    world.arrive(request("once"));
    let (_, announced) = observe(&mut world, Duration::from_millis(350));
    assert_eq!(announced, []);
}

/// A client that returned late was refused again as soon as a new one.
#[test]
fn late_return() {
    let mut world = full_world(true);
    let after = refuse(&mut world, request("once"));
    for sequence in 2..9 {
        world.advance(Duration::from_millis(300));
        fill(&mut world, sequence, true);
    }
    assert!(after < Duration::from_millis(1500), "it is late: {after:?}");
    let (_, effects) = world.arrive(returned(Duration::from_secs(12)));
    assert_eq!(effects, []);
    assert_eq!(world.advance(WAIT), [], "it waits longer than a new one");
    let mut effects = fill(&mut world, 9, false);
    effects.extend(world.advance(Duration::from_millis(50)));
    assert!(matches!(effects[..], [Effect::Send(_)]), "{effects:?}");
}

/// Returns the outcome that is logged of a client's return.
fn outcome(lines: &[LogEvent]) -> Option<(&'static str, Option<Duration>)> {
    lines.iter().find_map(|it| match it {
        LogEvent::Returned { outcome, waited, .. } => Some((*outcome, *waited)),
        _ => None,
    })
}

/// Nobody could see how clients fared that returned.
#[test]
fn refused_twice() {
    let mut world = full_world(true);
    refuse(&mut world, request("once"));
    world.arrive(returned(Duration::from_secs(12)));
    let (lines, _) = observe(&mut world, Duration::from_millis(800));
    assert_eq!(outcome(&lines), Some(("refused: overloaded", None)));
    let is_told = |it: &LogEvent| matches!(it, LogEvent::ToldToReturn { .. });
    assert!(lines.iter().any(is_told));
}

/// A client was told a time at which a run is of no use to it any more.
#[test]
fn deadline_near() {
    let mut world = full_world(true);
    refuse(&mut world, request("once"));
    let short = Duration::from_millis(3000);
    let (_, effects) = world.arrive(returned(short));
    assert_eq!(effects, []);
    let effects = world.advance(Duration::from_millis(600));
    let Refusal::NotRun(_, _, after) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert!(after <= (short - Duration::from_millis(540)) / 3, "{after:?}");
}

/// With forecasts off, boxes told other times than before, or announced and logged them.
#[test]
fn feature_off() {
    let mut world = full_world(false);
    world.event(announcement(1, 400, 10_000_000));
    let after = refuse(&mut world, request("once"));
    let mean = Duration::from_secs(2);
    assert!(after >= mean.mul_f64(0.8) && after <= mean.mul_f64(1.3), "{after:?}");
    let (lines, announced) = observe(&mut world, Duration::from_millis(400));
    assert_eq!(announced, []);
    world.arrive(returned(Duration::from_secs(12)));
    let (more, _) = observe(&mut world, WAIT);
    assert!(lines.iter().chain(&more).any(|it| matches!(it, LogEvent::Ended { .. })));
    let is_new =
        |it: &LogEvent| matches!(it, LogEvent::ToldToReturn { .. } | LogEvent::Returned { .. });
    assert!(!lines.iter().chain(&more).any(is_new), "as before, it waits no longer than a new one");
}

//! The grace period of a planned stop counts from when the process was told, not from when it could
//! handle the signal.

use std::time::Duration;

use hollyspoke_gateway::effect::{NotRunReason, Refusal};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_tests::gateway::{World, only_refusal, ran, request};

/// The grace period of the worlds.
const GRACE: Duration = Duration::from_secs(8);

/// How long the process stands still.
const PAUSE: Duration = Duration::from_secs(3);

/// Lets the process stand still. A suspension of the machine is a pause, too.
fn pause(world: &mut World, is_suspension: bool) {
    world.now = world.now + PAUSE;
    let event = if is_suspension { Event::Suspended(PAUSE) } else { Event::Paused(PAUSE) };
    world.event(event);
}

/// Tells the process to stop, and returns what is left of the grace period.
fn stop(world: &mut World) -> Duration {
    world.event(Event::Stop);
    world.gateway.grace_left(world.now)
}

/// The process goes on and handles what waited, the signal among the last.
#[test]
fn stop_behind_pause_takes_whole_grace() {
    for is_suspension in [false, true] {
        let mut world = World::new();
        pause(&mut world, is_suspension);
        for _ in 0..5 {
            world.advance(Duration::from_millis(40));
        }
        assert!(stop(&mut world) <= GRACE - PAUSE, "{is_suspension}");
        world.advance(Duration::from_millis(1900));
        let (_, effects) = world.arrive(request("unsafe"));
        let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
        assert_eq!(reason, NotRunReason::Stopping);
    }
}

/// What the rest of the period allows is served, and clients that hold on to the address of the box are
/// refused for as long as behind any other signal.
#[test]
fn stop_behind_pause_ends_early() {
    let mut world = World::new();
    pause(&mut world, false);
    let left = stop(&mut world);
    world.advance(left.mul_f64(0.5));
    let mut short = request("safe");
    short.deadline = Some(Duration::from_millis(500));
    let (_, send) = world.first_call(short);
    world.call(send.call, CallEvent::Answered(ran(200)));
    world.advance(left.mul_f64(0.4));
    let (_, effects) = world.arrive(request("safe"));
    only_refusal(&effects);
    assert!(!world.gateway.is_done(world.now));
    world.advance(Duration::from_secs(1));
    assert!(world.gateway.is_done(world.now));
}

/// The signal may have come during the first of two pauses with little between them.
#[test]
fn stop_behind_two_pauses_counts_from_second() {
    let mut world = World::new();
    pause(&mut world, false);
    world.advance(Duration::from_millis(50));
    pause(&mut world, true);
    assert!(stop(&mut world) <= GRACE - PAUSE * 2);
}

/// A signal that came after a pause was handled as soon as it came.
#[test]
fn stop_long_after_pause_loses_grace() {
    let mut world = World::new();
    pause(&mut world, false);
    for _ in 0..10 {
        world.advance(Duration::from_millis(100));
    }
    assert!(stop(&mut world) >= GRACE - Duration::from_millis(100));
}

/// Time in which the process stands still after the signal is part of the grace period, and another
/// signal begins no new one.
#[test]
fn pause_or_second_signal_extends_grace() {
    for is_suspension in [false, true] {
        let mut world = World::new();
        let left = stop(&mut world);
        pause(&mut world, is_suspension);
        assert_eq!(stop(&mut world), left - PAUSE, "{is_suspension}");
    }
}

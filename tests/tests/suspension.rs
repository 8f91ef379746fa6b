//! Machines that are suspended for seconds: the steady clock does not count that time.

use std::rc::Rc;
use std::time::{Duration, Instant};

use hollyspoke_clock::Clock;
use hollyspoke_gateway::effect::{Effect, Refusal};
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_tests::gateway::{World, only_refusal, request};
use hollyspoke_tests::platform::{
    Action, Script, ask, client_head, engine, local, node, status, store, whole,
};

/// A box that was away takes nothing for fresh that it has read before: it reads both kinds again.
#[test]
fn store_is_read_again() {
    let mut world = World::new();
    world.now = world.now + Duration::from_secs(6);
    let effects = world.event(Event::Suspended(Duration::from_secs(6)));
    assert!(effects.contains(&Effect::Read(Kind::Configuration)), "{effects:?}");
    assert!(effects.contains(&Effect::Read(Kind::Engines)), "{effects:?}");
}

/// A request whose time passed meanwhile is ended at once.
#[test]
fn deadlines_pass() {
    let mut world = World::new();
    let (_, call) = world.first_call(request("safe"));
    world.now = world.now + Duration::from_secs(20);
    let effects = world.event(Event::Suspended(Duration::from_secs(20)));
    assert!(effects.contains(&Effect::Cancel(call.call)), "{effects:?}");
    assert_eq!(only_refusal(&effects), Refusal::TimedOut);
}

/// The clock goes on by the time of a suspension, and timers ring that much sooner.
#[test]
fn clock_stops() {
    let clock = Clock::default();
    let before = clock.now();
    clock.add_suspension(Duration::from_secs(5));
    let after = clock.now();
    assert!(after.since(before) >= Duration::from_secs(5));
    let rings = clock.instant(after + Duration::from_secs(1));
    let rest = rings.into_std().saturating_duration_since(Instant::now());
    assert!(rest <= Duration::from_secs(1), "{rest:?}");
}

/// A machine that is only busy was not suspended: between the readings of the two clocks other work
/// may run for long.
#[test]
fn busy_is_not_suspended() {
    let clock = Clock::default();
    for round in 0..20_000 {
        if round % 200 == 0 {
            std::thread::yield_now();
        }
        assert_eq!(clock.take_suspension(), None);
    }
}

/// The connection to the store died while the machine was away, and an engine was replaced. Nothing
/// is waited for that was begun before: the box knew of it 2.3 s later without a word of the
/// suspension, when its watch was over by the steady clock.
#[test]
fn store_connection_is_given_up() {
    local(async {
        let store = store().await;
        store.configure(1);
        let answering = |text: &'static str| -> Script {
            Rc::new(move |it| vec![Action::Send(whole(it, text))])
        };
        let first = engine(answering("first")).await;
        store.list("e-1", &first, "plain", None);
        let node = node(&store).await;
        let question = client_head("GET", "/safe/x", "id-1", "");
        assert_eq!(status(&ask(node.front, &question).await), "200");
        // By then it follows the store.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        store.stall_open_connections();
        let second = engine(answering("second")).await;
        store.list("e-2", &second, "plain", None);
        store.remove("servers", "e-1");
        node.node.handle_suspension(Duration::from_secs(5));
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(ask(node.front, &question).await.ends_with("second"));
    });
}

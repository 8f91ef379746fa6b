//! Announcements between boxes.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, Task};
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::gateway::Gateway;
use hollyspoke_gateway::message::{Load, Message, Readiness, StoreView};
use hollyspoke_tests::gateway::{self, MEMORY, World, request, settings};

/// Returns a heartbeat of another box that knows nothing of the store.
fn heartbeat(number: u8, sequence: u64) -> Message {
    gateway::heartbeat(number, sequence, StoreView::default())
}

/// Returns a box's address for callers.
fn caller_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8000))
}

#[test]
fn greeting_unanswered() {
    let mut first = Gateway::new(settings(1));
    let mut second = Gateway::new(settings(2));
    let now = Time::from_millis(1000);
    let seeds = vec![settings(2).peer];
    let effects = first.step(now, Event::Seeds(seeds));
    let told = last_announcement(&effects);
    assert_eq!(told.0, [settings(2).peer]);
    let effects = second.step(now, Event::Received(told.1));
    let (to, answer) = self::last_announcement(&effects);
    assert!(to.contains(&settings(1).peer));
    first.step(now, Event::Received(answer));
    assert!(first.fronts(None).is_empty(), "neither knows a configuration");
}

/// Seeds may start last: until one answers they have to be greeted often.
#[test]
fn seed_greeted_rarely() {
    let mut node = Gateway::new(settings(1));
    let seed = settings(2).peer;
    node.step(Time::from_millis(1000), Event::Seeds(vec![seed]));
    let mut greetings = 0;
    for step in 1..=40 {
        let effects = node.step(Time::from_millis(1000 + step * 10), Event::Tick);
        greetings += effects.iter().filter(|it| matches!(it, Effect::Announce(..))).count();
    }
    assert!((3..=5).contains(&greetings), "{greetings} within 0.4 s");
    node.step(Time::from_millis(1410), Event::Received(heartbeat(2, 1)));
    let due = node.next_due();
    assert!(due > Time::from_millis(1510), "it waits for its own heartbeat: {due:?}");
}

/// Boxes that greet each other at once need no answers; one that starts after a greeting does.
#[test]
fn crossed_greetings_answered() {
    let other = settings(2).peer;
    let answers = |pause: u64| {
        let mut node = Gateway::new(settings(1));
        node.step(Time::from_millis(1000), Event::Seeds(vec![other]));
        let effects = node.step(Time::from_millis(1001 + pause), Event::Received(heartbeat(2, 1)));
        effects.iter().any(|it| matches!(it, Effect::Announce(to, _) if *to == [other]))
    };
    assert!(!answers(20));
    assert!(answers(200));
}

/// A new box has to learn many others from the first one that it greets.
#[test]
fn new_box_learns_few() {
    let mut world = World::new();
    for number in 2..=80 {
        world.event(Event::Received(heartbeat(number, 1)));
    }
    let effects = world.gateway.step(world.now, Event::Received(heartbeat(99, 1)));
    let (to, answer) = last_announcement(&effects);
    assert_eq!(to, [settings(99).peer]);
    assert!(answer.peers.len() >= 60, "{} named", answer.peers.len());
}

#[test]
fn dead_box_listed() {
    let mut world = World::new();
    for number in [2, 3, 4] {
        world.event(Event::Received(heartbeat(number, 1)));
    }
    assert_eq!(world.gateway.fronts(None).len(), 4);
    world.advance(Duration::from_millis(700));
    for number in [3, 4] {
        world.event(Event::Received(heartbeat(number, 2)));
    }
    world.advance(Duration::from_millis(1000));
    assert_eq!(
        world.gateway.fronts(None),
        [caller_address(1), caller_address(3), caller_address(4)]
    );
}

#[test]
fn stopping_box_listed() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1)));
    let stopping = Message { readiness: Readiness::Stopping, ..heartbeat(2, 2) };
    world.event(Event::Received(stopping));
    assert_eq!(world.gateway.fronts(None), [caller_address(1)]);
}

/// If most boxes time out at once, this box may be the one that is partitioned.
#[test]
fn isolated_box_drops_peers() {
    let mut world = World::new();
    for number in [2, 3, 4, 5] {
        world.event(Event::Received(heartbeat(number, 1)));
    }
    world.advance(Duration::from_secs(3));
    assert_eq!(world.gateway.fronts(None).len(), 5);
}

#[test]
fn late_datagram_applied() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 5)));
    let stale = Message { readiness: Readiness::Stopping, ..heartbeat(2, 4) };
    world.event(Event::Received(stale));
    assert_eq!(world.gateway.fronts(None).len(), 2);
}

#[test]
fn peer_load_ignored() {
    let mut world = World::new();
    let full = Load { prefill_tokens: 0, calls: 9, held_tokens: MEMORY as u32 };
    let loads = ["engine-21", "engine-22"].map(|it| (EngineKey::of(it), full));
    let message = Message { loads: loads.to_vec(), ..heartbeat(2, 1) };
    world.event(Event::Received(message));
    let (_, effects) = world.arrive(request("once"));
    assert_eq!(effects, [], "it waits");
    let effects = world.event(Event::Received(heartbeat(2, 2)));
    let sent = effects.iter().any(|it| matches!(it, Effect::Send(it) if it.task == Task::Prefill));
    assert!(sent, "the capacity is free: {effects:?}");
}

#[test]
fn dead_peer_load_kept() {
    let mut world = World::new();
    let full = Load { prefill_tokens: 0, calls: 9, held_tokens: MEMORY as u32 };
    let loads = ["engine-21", "engine-22"].map(|it| (EngineKey::of(it), full));
    let message = Message { loads: loads.to_vec(), ..heartbeat(2, 1) };
    world.event(Event::Received(message));
    world.advance(Duration::from_secs(2));
    let (_, send) = world.first_call(request("once"));
    assert_eq!(send.task, Task::Prefill);
}

#[test]
fn stream_announced_late() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1)));
    let now = world.now;
    let arrived = Event::Arrived(hollyspoke_gateway::request::RequestKey(900), request("once"));
    let effects = world.gateway.step(now, arrived);
    let (to, message) = last_announcement(&effects);
    assert_eq!(to, [SocketAddr::from(([10, 0, 0, 2], 7000))]);
    assert!(message.loads.iter().any(|(_, load)| load.prefill_tokens == 5000));
}

/// Returns the last datagram among effects and its receivers.
fn last_announcement(effects: &[Effect]) -> (Vec<SocketAddr>, Message) {
    let mut found = effects.iter().filter_map(|it| match it {
        Effect::Announce(to, message) => Some((to.clone(), (**message).clone())),
        _ => None,
    });
    found.next_back().expect("a datagram")
}

/// With many boxes heartbeats are sent less often, and the timeout is longer.
#[test]
fn large_site_peer_dropped() {
    let mut world = World::new();
    for number in 0..=255 {
        let message = Message {
            sender: SocketAddr::from(([10, 9, 0, number], 7000)),
            front: SocketAddr::from(([10, 9, 0, number], 8000)),
            ..heartbeat(2, 1)
        };
        world.event(Event::Received(message));
    }
    assert_eq!(world.gateway.fronts(None).len(), 257);
    let beats = |world: &mut World, duration: u64| {
        let end = world.now + Duration::from_millis(duration);
        let mut beats = 0;
        while world.now < end {
            world.now = world.now + Duration::from_millis(10);
            let effects = world.gateway.step(world.now, Event::Tick);
            beats += effects.iter().filter(|it| matches!(it, Effect::Announce(..))).count();
        }
        beats
    };
    assert!(beats(&mut world, 2700) <= 4, "900 ms each");
    let mut live = heartbeat(3, 2);
    live.front = caller_address(3);
    world.event(Event::Received(live));
    assert!(world.gateway.fronts(None).contains(&caller_address(3)));
}

/// Returns the number of datagrams among effects that announce changed load.
fn change_count(effects: &[Effect]) -> usize {
    let is_change = |it: &&Effect| matches!(it, Effect::Announce(_, it) if !it.is_whole);
    effects.iter().filter(is_change).count()
}

/// Lets time pass, and counts the datagrams that announce changed load.
fn change_count_within(world: &mut World, duration: Duration) -> usize {
    let end = world.now + duration;
    let mut count = 0;
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_micros(1)).min(end);
        count += change_count(&world.gateway.step(world.now, Event::Tick));
    }
    count
}

/// A datagram to each box for every plain call is too much; engines report their calls themselves.
#[test]
fn plain_calls_sent_separately() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1)));
    world.advance(Duration::from_millis(360));
    for number in 1..=5 {
        let request = hollyspoke_tests::gateway::request("safe");
        let key = hollyspoke_gateway::request::RequestKey(100 + number);
        let effects = world.gateway.step(world.now, Event::Arrived(key, request));
        assert_eq!(change_count(&effects), 0);
    }
    assert_eq!(change_count_within(&mut world, Duration::from_millis(7)), 0);
    assert_eq!(change_count_within(&mut world, Duration::from_millis(2)), 1);
    assert_eq!(change_count_within(&mut world, Duration::from_millis(100)), 0);
}

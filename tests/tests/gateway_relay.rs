//! One box of each remote data centre relays announcements, so that few bytes cross between data
//! centres.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::message::{DataCentreKey, Message, StoreView};
use hollyspoke_tests::gateway::{World, heartbeat, request, settings};

/// Returns a heartbeat of a box in the given data centre.
fn heartbeat_from(number: u8, sequence: u64, data_centre: &str) -> Message {
    Message {
        data_centre: DataCentreKey::of(data_centre),
        ..heartbeat(number, sequence, StoreView::default())
    }
}

/// Returns a box's address for its peers.
fn peer(number: u8) -> SocketAddr {
    settings(number).peer
}

/// Makes box 1 of `north` that knows boxes 2 and 3 of `north`, 11 to 18 of `south` and 21 of
/// `east`.
fn world() -> World {
    let mut world = World::new();
    for (numbers, data_centre) in [(2..=3, "north"), (11..=18, "south"), (21..=21, "east")] {
        for number in numbers {
            world.event(Event::Received(heartbeat_from(number, 1, data_centre)));
        }
    }
    world
}

/// Returns the datagrams of a step with their receivers.
fn announcements(world: &mut World, event: Event) -> Vec<(Vec<SocketAddr>, Message)> {
    let effects = world.gateway.step(world.now, event);
    let announcements = effects.into_iter().filter_map(|it| match it {
        Effect::Announce(nodes, message) => Some((nodes, *message)),
        _ => None,
    });
    announcements.collect()
}

#[test]
fn redundant_remote_datagrams() {
    let mut world = world();
    let arrival = Event::Arrived(hollyspoke_gateway::request::RequestKey(0), request("once"));
    let announcements = announcements(&mut world, arrival);
    let direct: Vec<_> = announcements.iter().filter(|it| !it.1.is_relayed).collect();
    assert_eq!(direct.len(), 1);
    let nodes: BTreeSet<_> = direct[0].0.iter().copied().collect();
    assert_eq!(nodes, BTreeSet::from([peer(2), peer(3), peer(21)]));
    let relayed: Vec<_> = announcements.iter().filter(|it| it.1.is_relayed).collect();
    assert_eq!(relayed.len(), 1);
    assert_eq!(relayed[0].0.len(), 1, "one of the eight: {relayed:?}");
    assert_eq!(relayed[0].1.loads, direct[0].1.loads);
}

#[test]
fn datagram_relayed_twice() {
    let mut world = world();
    let message = Message { is_relayed: true, ..heartbeat_from(11, 2, "south") };
    let announcements = announcements(&mut world, Event::Received(message));
    let relayed: Vec<_> = announcements.iter().filter(|it| it.1.sender == peer(11)).collect();
    assert_eq!(relayed.len(), 1);
    assert_eq!(relayed[0].0, [peer(2), peer(3)]);
    assert!(!relayed[0].1.is_relayed, "no box relays it again");
}

/// Changes of a box use one relay and arrive in order; its heartbeats use all in turn, so that a dead
/// relay does not make the box look dead.
#[test]
fn single_relay_dependency() {
    let mut world = world();
    let mut relays = BTreeSet::new();
    for sequence in 2..40 {
        for (numbers, data_centre) in [(2..=3, "north"), (11..=18, "south"), (21..=21, "east")] {
            for number in numbers {
                world.event(Event::Received(heartbeat_from(number, sequence, data_centre)));
            }
        }
        world.now = world.now + Duration::from_millis(350);
        for (nodes, message) in announcements(&mut world, Event::Tick) {
            if message.is_relayed && message.is_whole {
                relays.extend(nodes);
            }
        }
    }
    assert!(relays.len() >= 6, "{relays:?}");
}

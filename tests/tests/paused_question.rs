//! A box that was paused while it asked for a grant must not use a grant that was made meanwhile,
//! since the owner may have given the capacity to another request.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event};
use hollyspoke::key::Ticket;
use hollyspoke::message::{Ask, Grant, Message, Stage};
use hollyspoke::node::{Node, PAUSE_THRESHOLD};
use hollyspoke::site::UpstreamId;
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::generate;

/// Returns a box that does not own the engines, and the entry of the box that owns them.
fn front() -> (Node, hollyspoke::member::Entry) {
    for number in 1..50 {
        let mut node = Node::new(Time::ZERO, settings(0));
        let site = Versioned { version: 1, site: Plan::default().site() };
        node.step(Time::ZERO, Event::Site(Arc::new(site)));
        let other = Node::new(Time::ZERO, settings(number)).entry().clone();
        node.step(Time::ZERO, Event::Seen(other.clone()));
        node.step(Time::ZERO, Event::Tick);
        if node.status().pools.is_empty() {
            return (node, other);
        }
    }
    panic!("none of fifty boxes owns the engines instead of the first");
}

/// Returns the request for a grant among effects.
fn ask_of(effects: &[Effect]) -> Option<&Ask> {
    effects.iter().find_map(|it| match it {
        Effect::Send { message, .. } => match &**message {
            Message::Ask(ask) => Some(ask),
            _ => None,
        },
        _ => None,
    })
}

/// Returns the owner's grant for a request.
fn granted(ask: &Ask) -> Message {
    Message::Granted(Grant {
        shard: ask.shard,
        ticket: ask.ticket,
        prefill: UpstreamId::of("prefill-0"),
        decode: UpstreamId::of("decode-0"),
        tokens: ask.prompt_tokens + ask.max_tokens,
        max_tokens: ask.max_tokens,
        stage: Stage::Prefill,
    })
}

/// Returns whether a prefill is started under a ticket.
fn starts_prefill(effects: &[Effect], expected: Ticket) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Prefill { ticket, .. } if *ticket == expected))
}

/// After a pause beyond the threshold, the box must ask again under a new ticket.
#[test]
fn stale_grant_used() {
    for pause in [Duration::from_millis(100), PAUSE_THRESHOLD + Duration::from_millis(100)] {
        let (mut node, other) = front();
        let arrival = Box::new(generate(1, 100, 10, 10));
        let effects = node.step(Time::ZERO, Event::Arrive { call: CallId(1), arrival });
        let ask = ask_of(&effects).expect("the owner is not asked").clone();
        let now = Time::ZERO + pause;
        let message = Box::new(granted(&ask));
        let effects = node.step(now, Event::Peer { from: other.incarnation, message });
        let was_paused = pause > PAUSE_THRESHOLD;
        assert_eq!(
            starts_prefill(&effects, ask.ticket),
            !was_paused,
            "after {pause:?}: {effects:#?}"
        );
        if was_paused {
            let second = ask_of(&effects).expect("the owner is not asked again");
            assert_ne!(second.ticket, ask.ticket);
        }
    }
}

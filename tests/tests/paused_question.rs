//! A box that was paused while its question waited takes no grant made for it meanwhile.

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

/// Makes a box for which another one owns the engines; gives the other one's entry too.
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
    panic!("one of fifty boxes ranks before the first");
}

/// Finds the question among effects.
fn question(effects: &[Effect]) -> Option<&Ask> {
    effects.iter().find_map(|it| match it {
        Effect::Send { message, .. } => match &**message {
            Message::Ask(ask) => Some(ask),
            _ => None,
        },
        _ => None,
    })
}

/// Makes the owner's grant for a question.
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

/// Tells whether a prefill is begun under a ticket.
fn prefills(effects: &[Effect], wanted: Ticket) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Prefill { ticket, .. } if *ticket == wanted))
}

/// The question's ticket is given up with the pause; its grant is given back unused.
#[test]
fn late_grant() {
    for pause in [Duration::from_millis(100), PAUSE_THRESHOLD + Duration::from_millis(100)] {
        let (mut node, other) = front();
        let arrival = Box::new(generate(1, 100, 10, 10));
        let effects = node.step(Time::ZERO, Event::Arrive { call: CallId(1), arrival });
        let ask = question(&effects).expect("the owner is asked").clone();
        let now = Time::ZERO + pause;
        let message = Box::new(granted(&ask));
        let effects = node.step(now, Event::Peer { from: other.incarnation, message });
        let was_paused = pause > PAUSE_THRESHOLD;
        assert_eq!(prefills(&effects, ask.ticket), !was_paused, "after {pause:?}: {effects:#?}");
        if was_paused {
            let again = question(&effects).expect("the owner is asked again");
            assert_ne!(again.ticket, ask.ticket);
        }
    }
}

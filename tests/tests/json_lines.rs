//! The reducer runs under another driver as it is: events and effects as lines of JSON.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::key::Incarnation;
use hollyspoke::node::Node;
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::generate;

/// Makes a box.
fn node() -> Node {
    Node::new(Time::ZERO, settings(0))
}

/// The events of one request from its arrival to its end.
fn events(ticket: hollyspoke::key::Ticket) -> Vec<Event> {
    let site = Arc::new(Versioned { version: 1, site: Plan::default().site() });
    let arrival = Box::new(generate(1, 100, 2, 2));
    let upstream = |reply| Event::Upstream { ticket, reply };
    vec![
        Event::Site(site),
        Event::Tick,
        Event::Arrive { call: CallId(1), arrival },
        upstream(Reply::Prefilled),
        upstream(Reply::Imported),
        upstream(Reply::Token { seq: 0, text: "a ".into() }),
        upstream(Reply::Token { seq: 1, text: "b ".into() }),
        upstream(Reply::Finished { reason: "stop".into() }),
    ]
}

/// Events and effects survive their way through JSON, and two boxes with the same settings that
/// see the same events give the same effects.
#[test]
fn same_effects() -> serde_json::Result<()> {
    let ticket = hollyspoke::key::Ticket { front: Incarnation(1), number: 1 };
    let (mut direct, mut through) = (node(), node());
    let mut all = Vec::new();
    for (place, event) in events(ticket).into_iter().enumerate() {
        let now = Time::ZERO + Duration::from_millis(place as u64);
        let line = serde_json::to_string(&event)?;
        let expected = direct.step(now, event);
        let effects = through.step(now, serde_json::from_str(&line)?);
        assert_eq!(effects, expected);
        let lines = serde_json::to_string(&effects)?;
        let back: Vec<Effect> = serde_json::from_str(&lines)?;
        assert_eq!(back, expected);
        all.extend(back);
    }
    let replies = all.iter().filter(|it| matches!(it, Effect::Reply { .. })).count();
    assert_eq!(replies, 3, "two tokens and the end");
    Ok(())
}

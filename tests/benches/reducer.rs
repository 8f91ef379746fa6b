//! The reducer's cost for each event, at 30, 300 and 3,000 upstreams.

use std::sync::Arc;
use std::time::Duration;

use criterion::Criterion;
use hollyspoke::config::Versioned;
use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::node::Node;
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::generate;

/// Makes a box with a number of upstreams.
fn node(upstreams: usize) -> Node {
    let plan = Plan::unbounded(upstreams);
    let mut node = Node::new(Time::ZERO, settings(0));
    let site = Arc::new(Versioned { version: 1, site: plan.site() });
    node.step(Time::ZERO, Event::Site(site));
    node.step(Time::ZERO, Event::Tick);
    node
}

/// Runs a whole request of a number of tokens; gives the events that it took.
fn request(node: &mut Node, now: &mut Time, number: u64, tokens: u32) -> u32 {
    let mut step = |event| {
        *now = *now + Duration::from_micros(1);
        node.step(*now, event)
    };
    let arrival = Box::new(generate(number, 1000, tokens, tokens));
    let effects = step(Event::Arrive { call: CallId(number), arrival });
    let ticket = effects.iter().find_map(|it| match it {
        Effect::Prefill { ticket, .. } => Some(*ticket),
        _ => None,
    });
    let Some(ticket) = ticket else { panic!("the request was not granted") };
    let mut upstream = |reply| step(Event::Upstream { ticket, reply });
    upstream(Reply::Prefilled);
    upstream(Reply::Imported);
    for seq in 0..tokens {
        upstream(Reply::Token { seq, text: "word ".into() });
    }
    upstream(Reply::Finished { reason: "stop".into() });
    tokens + 4
}

/// Measures a request of no tokens, a request of 100, and a tick.
fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    for upstreams in [30, 300, 3000] {
        for tokens in [1, 100] {
            let mut node = node(upstreams);
            let (mut now, mut number) = (Time::ZERO, 0);
            let name = format!("request of {tokens} tokens, {upstreams} upstreams");
            criterion.bench_function(&name, |bench| {
                bench.iter(|| {
                    number += 1;
                    request(&mut node, &mut now, number, tokens)
                });
            });
        }
        let mut node = node(upstreams);
        let mut now = Time::ZERO;
        criterion.bench_function(&format!("tick, {upstreams} upstreams"), |bench| {
            bench.iter(|| {
                now = now + Duration::from_millis(20);
                node.step(now, Event::Tick)
            });
        });
    }
    criterion.final_summary();
}

//! A site of one box, whose clock and events a test controls.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event, Reply, Report};
use hollyspoke::key::Ticket;
use hollyspoke::node::Node;
use hollyspoke::site::{Site, UpstreamId};
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::{TICK_INTERVAL, generate};

/// The tokens requested of each stream.
pub const MAX_TOKENS: u32 = 10;

/// A box that is front and owner.
#[derive(Debug)]
pub struct SingleBox {
    /// The reducer.
    node: Node,
    /// The time.
    now: Time,
}

impl SingleBox {
    /// Starts the box with the default site, and waits until it grants engines.
    pub fn start() -> SingleBox {
        SingleBox::start_with(Plan::default().site())
    }

    /// Starts the box with a site, and waits until it grants engines.
    pub fn start_with(site: Site) -> SingleBox {
        let mut single = SingleBox { node: Node::new(Time::ZERO, settings(0)), now: Time::ZERO };
        let site = Versioned { version: 1, site };
        single.step(Duration::ZERO, Event::Site(Arc::new(site)));
        single.run(Duration::from_secs(1));
        single
    }

    /// Delivers an event after a time without any, and returns the effects.
    pub fn step(&mut self, after: Duration, event: Event) -> Vec<Effect> {
        self.now = self.now + after;
        self.node.step(self.now, event)
    }

    /// Ticks for a time, answers the polls of engines, and returns the other effects.
    pub fn run(&mut self, duration: Duration) -> Vec<Effect> {
        let end = self.now + duration;
        let mut effects = Vec::new();
        while self.now < end {
            for effect in self.step(TICK_INTERVAL, Event::Tick) {
                match effect {
                    Effect::Poll { engine, .. } => effects.extend(self.poll(engine)),
                    other => effects.push(other),
                }
            }
        }
        effects
    }

    /// Delivers a request for tokens.
    pub fn generate(&mut self, call: CallId) -> Vec<Effect> {
        let arrival = Box::new(generate(call.0, 100, MAX_TOKENS, MAX_TOKENS));
        self.step(Duration::ZERO, Event::Arrive { call, arrival })
    }

    /// Begins a stream that has no tokens yet, and returns its ticket.
    ///
    /// # Panics
    ///
    /// If the box starts no prefill.
    pub fn begin_stream(&mut self) -> Ticket {
        let effects = self.generate(CallId(u64::MAX));
        let begun = effects.iter().find_map(|it| match it {
            Effect::Prefill { ticket, .. } => Some(*ticket),
            _ => None,
        });
        let ticket = begun.expect("a prefill begins");
        for reply in [Reply::Prefilled, Reply::Imported] {
            self.step(Duration::ZERO, Event::Upstream { ticket, reply });
        }
        ticket
    }

    /// Delivers a reply to an attempt.
    pub fn reply(&mut self, ticket: Ticket, reply: Reply) -> Vec<Effect> {
        self.step(Duration::ZERO, Event::Upstream { ticket, reply })
    }

    /// Answers the poll of an idle engine.
    fn poll(&mut self, engine: UpstreamId) -> Vec<Effect> {
        let report = Report { used_tokens: 0, streams: Vec::new(), leaving: false, state: None };
        self.step(Duration::ZERO, Event::Polled { engine, report: Some(report) })
    }
}

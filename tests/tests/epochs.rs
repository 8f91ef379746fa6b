//! A call runs again after the epoch of its key was dropped, or the table of keys grows unbounded.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::effect::{CallerReply, Effect};
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::home::{EPOCH_DURATION, KEPT_EPOCHS};
use hollyspoke::key::{Incarnation, Key, Ticket};
use hollyspoke::node::Node;
use hollyspoke::outcome::Answer;
use hollyspoke::outcome::ProblemKind;
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::hold;

/// A box with a simulated clock.
struct Fixture {
    /// The reducer.
    node: Node,
    /// The simulated time.
    now: Time,
    /// The number of the last connection.
    last_call: u64,
}

impl Fixture {
    /// Returns a box with a plain service.
    fn new() -> Fixture {
        let mut fixture =
            Fixture { node: Node::new(Time::ZERO, settings(0)), now: Time::ZERO, last_call: 0 };
        let site = Versioned { version: 1, site: Plan::default().site() };
        fixture.step(Event::Site(Arc::new(site)));
        fixture
    }

    /// Applies an event to the box.
    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.node.step(self.now, event)
    }

    /// Sends a call under a key; returns its ticket if it was run, and the reply, if any.
    fn send(&mut self, key: Key) -> (Option<Ticket>, Option<CallerReply>) {
        self.last_call += 1;
        let mut arrival = Box::new(hold(1));
        arrival.key = Some(key);
        let effects = self.step(Event::Arrive { call: CallId(self.last_call), arrival });
        let (mut ticket, mut answer) = (None, None);
        for effect in effects {
            match effect {
                Effect::Call { ticket: it, .. } => ticket = Some(it),
                Effect::Reply { reply, .. } => answer = Some(reply),
                _ => {}
            }
        }
        (ticket, answer)
    }

    /// Sends a call under a new key, and answers it.
    fn run(&mut self, key: Key) {
        let (ticket, _) = self.send(key);
        let ticket = ticket.expect("the call of a new key was not run");
        let answer = Answer { status: 200, headers: Vec::new(), body: Arc::from([]) };
        self.step(Event::Upstream { ticket, reply: Reply::Answered(answer) });
    }

    /// Advances the clock, with a tick each second.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_secs(1);
            self.step(Event::Tick);
        }
    }
}

/// Returns a key whose home is the box.
fn key(epoch: u32, nonce: u64) -> Key {
    Key { home: Incarnation(1), epoch, nonce }
}

/// A key gets its answer again while its epoch is kept. Afterwards its outcome is unknown, so the
/// call must not run.
#[test]
fn dropped_key_reruns() {
    let mut fixture = Fixture::new();
    fixture.run(key(1, 7));
    fixture.advance(EPOCH_DURATION * (KEPT_EPOCHS - 1));
    let (ticket, reply) = fixture.send(key(1, 7));
    assert!(ticket.is_none() && matches!(reply, Some(CallerReply::Answer(_))), "{reply:?}");
    fixture.advance(EPOCH_DURATION * 3);
    for nonce in [7, 8] {
        let (ticket, reply) = fixture.send(key(1, nonce));
        let Some(CallerReply::Problem(problem)) = reply else { panic!("{reply:?}") };
        assert!(ticket.is_none() && problem.kind == ProblemKind::Unknown, "{problem:?}");
    }
}

/// The table must hold only the keys of the kept epochs.
#[test]
fn key_table_grows() {
    let mut fixture = Fixture::new();
    let mut max_keys = 0;
    for round in 0..60 {
        let epoch = fixture.node.status().epoch;
        (0..10).for_each(|it| fixture.run(key(epoch, round * 10 + it)));
        fixture.advance(Duration::from_secs(15));
        max_keys = max_keys.max(fixture.node.status().keys);
    }
    // Ten keys arrive every 15 s, which is twice per epoch.
    let bound = 20 * (KEPT_EPOCHS as usize + 2);
    assert!(max_keys <= bound, "{max_keys} keys are kept, {bound} are allowed");
}

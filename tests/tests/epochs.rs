//! Keys of dropped epochs are never run again, and the table of keys stays bounded.

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

/// A box with its clock.
struct Fixture {
    /// The reducer.
    node: Node,
    /// Its clock.
    now: Time,
    /// The number of the last connection.
    last_call: u64,
}

impl Fixture {
    /// Makes a box with a plain service.
    fn new() -> Fixture {
        let mut fixture =
            Fixture { node: Node::new(Time::ZERO, settings(0)), now: Time::ZERO, last_call: 0 };
        let site = Versioned { version: 1, site: Plan::default().site() };
        fixture.step(Event::Site(Arc::new(site)));
        fixture
    }

    /// Feeds an event.
    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.node.step(self.now, event)
    }

    /// Sends a hold under a key; gives its ticket if it was run, and the reply if there was one.
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

    /// Sends a hold and has it answered.
    fn run(&mut self, key: Key) {
        let (ticket, _) = self.send(key);
        let ticket = ticket.expect("a new key is run");
        let answer = Answer { status: 200, headers: Vec::new(), body: Arc::from([]) };
        self.step(Event::Upstream { ticket, reply: Reply::Answered(answer) });
    }

    /// Lets time pass.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_secs(1);
            self.step(Event::Tick);
        }
    }
}

/// Makes a key of the box.
fn key(epoch: u32, nonce: u64) -> Key {
    Key { home: Incarnation(1), epoch, nonce }
}

/// While its epoch is kept a key gets its answer again; afterwards nobody can tell, and it is not
/// run.
#[test]
fn dropped_epoch() {
    let mut fixture = Fixture::new();
    fixture.run(key(1, 7));
    fixture.pass(EPOCH_DURATION * (KEPT_EPOCHS - 1));
    let (ticket, reply) = fixture.send(key(1, 7));
    assert!(ticket.is_none() && matches!(reply, Some(CallerReply::Answer(_))), "{reply:?}");
    fixture.pass(EPOCH_DURATION * 3);
    for nonce in [7, 8] {
        let (ticket, reply) = fixture.send(key(1, nonce));
        let Some(CallerReply::Problem(problem)) = reply else { panic!("{reply:?}") };
        assert!(ticket.is_none() && problem.kind == ProblemKind::Unknown, "{problem:?}");
    }
}

/// The table holds what came in the kept epochs and no more.
#[test]
fn bounded_table() {
    let mut fixture = Fixture::new();
    let mut most = 0;
    for round in 0..60 {
        let epoch = fixture.node.status().epoch;
        (0..10).for_each(|it| fixture.run(key(epoch, round * 10 + it)));
        fixture.pass(Duration::from_secs(15));
        most = most.max(fixture.node.status().keys);
    }
    // Ten keys each 15 s, two rounds an epoch.
    let bound = 20 * (KEPT_EPOCHS as usize + 2);
    assert!(most <= bound, "{most} keys were kept, and {bound} are enough");
}

//! Streams of sound engines whose front's declaration reaches the owner late.

use std::time::Duration;

use hollyspoke::event::CallId;
use hollyspoke::time::Time;
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, Sending, World, generate};

/// When the request is sent.
const SENT_AT: Time = Time::from_millis(3000);

/// When the owner is killed, while the stream runs.
const KILLED_AT: Time = Time::from_millis(3500);

/// The answer's length, in tokens. It takes longer than any pause.
const LENGTH: u32 = 500;

/// Returns a world of three boxes with the numbers of the owner and of the front, which streams.
fn streaming(repeatable: bool, seed: u64) -> (World, usize, usize) {
    let plan = Plan { services: 0, token_time: Duration::from_millis(20), ..Plan::default() };
    let mut world = World::new(plan.site(), 3, seed);
    world.run(SENT_AT).expect("no request yet");
    let owner = world.owner().expect("a box owns the engines");
    let front = (owner + 1) % 3;
    let mut arrival = generate(1, 100, LENGTH, LENGTH);
    arrival.repeatable = repeatable;
    let sending = Sending { call: CallId(1), request: 1, at: front, arrival };
    world.schedule_action(SENT_AT, Action::Send(Box::new(sending)));
    (world, owner, front)
}

/// Runs until the answer is complete, and returns the outcome and the number of attempts.
fn outcome(world: &mut World) -> (String, u32) {
    world.run(SENT_AT + Duration::from_secs(25)).expect("no guarantee is violated");
    let record = world.records.first().expect("the request ends");
    (record.outcome.clone(), record.attempts)
}

/// An owner's successor that the front's declaration does not reach for a time cancels no stream.
#[test]
fn late_declaration_cancels_stream() {
    for seed in 0..20 {
        let (mut world, owner, _) = streaming(true, seed);
        world.schedule_action(KILLED_AT, Action::Crash(owner));
        world.schedule_action(KILLED_AT, Action::MessageFaults(1.0, 0.0));
        let arrives_at = KILLED_AT + Duration::from_millis(500 + 100 * seed);
        world.schedule_action(arrives_at, Action::MessageFaults(0.0, 0.0));
        assert_eq!(outcome(&mut world), ("done".to_owned(), 1), "seed {seed}");
    }
}

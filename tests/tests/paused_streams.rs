//! Streams of sound engines whose boxes are paused, or whose declarations arrive late. As long as
//! nobody can have revoked the grant, the stream goes on.

use std::time::Duration;

use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::generate::{RENEW_INTERVAL, TOKEN_TIMEOUT};
use hollyspoke::key::Ticket;
use hollyspoke::node::PAUSE_THRESHOLD;
use hollyspoke::pool::GRANT_TTL;
use hollyspoke::time::Time;
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, Sending, World, generate};
use hollyspoke_tests::single_box::SingleBox;

/// When the request is sent.
const SENT_AT: Time = Time::from_millis(3000);

/// When the owner is killed, while the stream runs.
const KILLED_AT: Time = Time::from_millis(3500);

/// The answer's length, in tokens. It takes longer than any pause.
const LENGTH: u32 = 500;

/// What happens to the boxes during a stream.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Whether the owner is killed.
    owner_dies: bool,
    /// Whether the third box is paused together with the front.
    both: bool,
    /// How long after [`KILLED_AT`] the pause begins.
    after: Duration,
    /// How long the pause lasts.
    pause: Duration,
}

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

/// Plays a trouble.
fn play(trouble: Trouble, repeatable: bool, seed: u64) -> (String, u32) {
    let (mut world, owner, front) = streaming(repeatable, seed);
    if trouble.owner_dies {
        world.schedule_action(KILLED_AT, Action::Crash(owner));
    }
    let paused_at = KILLED_AT + trouble.after;
    world.schedule_action(paused_at, Action::Pause(front, trouble.pause));
    if trouble.both {
        world.schedule_action(paused_at, Action::Pause((owner + 2) % 3, trouble.pause));
    }
    outcome(&mut world)
}

/// Pauses that end before the front's silence can have lasted [`GRANT_TTL`], at many moments.
fn troubles() -> impl Iterator<Item = Trouble> {
    let longest = GRANT_TTL - RENEW_INTERVAL - Duration::from_millis(100);
    let pauses = [600, 1200, 1900].map(Duration::from_millis).into_iter();
    let pauses = pauses.chain([PAUSE_THRESHOLD + Duration::from_millis(100), longest]);
    let pauses: Vec<Duration> = pauses.collect();
    (0..4u8).flat_map(move |kind| {
        let pauses = pauses.clone();
        (0..14u64).flat_map(move |step| {
            let after = Duration::from_millis(step * 250);
            let make =
                move |pause| Trouble { owner_dies: kind & 1 > 0, both: kind & 2 > 0, after, pause };
            pauses.clone().into_iter().map(make)
        })
    })
}

/// A pause during which nobody can have revoked the grant stops no stream.
#[test]
fn pause_restarts_stream() {
    let restarted: Vec<_> = troubles()
        .map(|it| (it, play(it, true, 1)))
        .filter(|(_, outcome)| *outcome != ("done".to_owned(), 1))
        .collect();
    assert!(restarted.is_empty(), "{} of all: {:#?}", restarted.len(), restarted.first());
}

/// A request that may not be repeated is answered all the same.
#[test]
fn pause_fails_unrepeatable_stream() {
    let failed: Vec<_> = troubles()
        .map(|it| (it, play(it, false, 2)))
        .filter(|(_, outcome)| *outcome != ("done".to_owned(), 1))
        .collect();
    assert!(failed.is_empty(), "{} of all: {:#?}", failed.len(), failed.first());
}

/// After a pause in which the owner did revoke the grant, the answer is completed by another
/// attempt.
#[test]
fn long_pause_loses_stream() {
    for seed in 0..20 {
        let pause = GRANT_TTL + Duration::from_millis(100 * seed);
        let after = Duration::from_millis(70 * seed);
        let trouble = Trouble { owner_dies: false, both: false, after, pause };
        let (outcome, attempts) = play(trouble, true, seed);
        assert_eq!(outcome, "done", "{trouble:?}");
        assert!(attempts <= 2, "{attempts} attempts: {trouble:?}");
    }
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

/// Returns the attempts that are stopped.
fn stopped(effects: &[Effect]) -> Vec<Ticket> {
    let stopped = effects.iter().filter_map(|it| match it {
        Effect::Cancel { ticket, .. } => Some(*ticket),
        _ => None,
    });
    stopped.collect()
}

/// Returns the attempts that are begun.
fn begun(effects: &[Effect]) -> Vec<Ticket> {
    let begun = effects.iter().filter_map(|it| match it {
        Effect::Prefill { ticket, .. } => Some(*ticket),
        _ => None,
    });
    begun.collect()
}

/// An engine is not taken for silent over a time in which the box itself was paused. After that
/// another attempt is begun, whose token stops the silent one.
#[test]
fn own_pause_counted_as_silence() {
    let mut single = SingleBox::start();
    let ticket = single.begin_stream();
    single.reply(ticket, Reply::Token { seq: 0, text: "t0".into() });
    let effects = single.step(TOKEN_TIMEOUT + Duration::from_millis(100), Event::Tick);
    assert!(stopped(&effects).is_empty() && begun(&effects).is_empty(), "{effects:#?}");
    let effects = single.run(TOKEN_TIMEOUT - Duration::from_millis(500));
    assert!(stopped(&effects).is_empty() && begun(&effects).is_empty(), "{effects:#?}");
    let effects = single.run(Duration::from_secs(1));
    let &[second] = &begun(&effects)[..] else {
        panic!("the silence after the pause is not noticed");
    };
    for reply in [Reply::Prefilled, Reply::Imported] {
        single.reply(second, reply);
    }
    let effects = single.reply(second, Reply::Token { seq: 1, text: "t1".into() });
    assert!(stopped(&effects).contains(&ticket), "the silent attempt is not stopped");
}

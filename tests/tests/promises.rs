//! Properties of the reducers: several boxes under random faults keep every promise.

use std::time::Duration;

use hollyspoke::event::CallId;
use hollyspoke::site::UpstreamId;
use hollyspoke::time::Time;
use hollyspoke_model::ledger::End;
use hollyspoke_model::load::Plan;
use hollyspoke_model::store::Faults;
use hollyspoke_model::world::{Action, Sending, World, generate, hold};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The boxes.
const BOXES: usize = 3;

/// How long requests and faults go on, in milliseconds.
const SPAN_MS: u64 = 20_000;

/// How long the site gets to recover, in milliseconds.
const QUIET_MS: u64 = 25_000;

/// A request of a scenario.
#[derive(Debug, Clone)]
struct Wanted {
    /// When it is first sent, in milliseconds.
    at: u64,
    /// The box.
    to: usize,
    /// Whether it is a call that must run at most once.
    once: bool,
    /// Whether the caller brings a key of its own.
    own_key: bool,
    /// The prompt's and the answer's length, in tokens.
    size: (u32, u32),
    /// When it is sent again, after how many milliseconds and to which box.
    again: Vec<(u64, usize)>,
    /// After how many milliseconds the first connection is closed.
    gone: Option<u64>,
}

/// A fault of a scenario.
#[derive(Debug, Clone)]
enum Fault {
    /// A box dies, and starts anew after some milliseconds.
    Crash(usize, u64),
    /// A box stands still for some milliseconds.
    Pause(usize, u64),
    /// A box stops as planned, and starts anew after some milliseconds.
    Leave(usize, u64),
    /// Two boxes are cut off from each other for some milliseconds.
    Cut(usize, usize, u64),
    /// The store has faults for some milliseconds.
    Store(Faults, u64),
    /// Messages are lost and repeated for some milliseconds.
    Noise(f64, f64, u64),
    /// An engine dies, and comes back after some milliseconds.
    Engine(usize, u64),
    /// An engine is slow for some milliseconds.
    Slow(usize, f64, u64),
    /// Engines answer no polls for some milliseconds.
    Reports(u64),
    /// Plain services refuse some calls and run others without answering, for some milliseconds.
    Services(f64, f64, u64),
    /// A configuration is accepted, and another one after some milliseconds.
    Apply(u64),
}

/// A scenario.
#[derive(Debug, Clone)]
struct Scenario {
    /// The seed of the world's chance.
    seed: u64,
    /// The requests.
    requests: Vec<Wanted>,
    /// The faults, with their times in milliseconds.
    faults: Vec<(u64, Fault)>,
}

/// Draws requests.
fn wanted() -> impl Strategy<Value = Wanted> {
    let again = prop::collection::vec((1u64..6000, 0..BOXES), 0..3);
    let gone = prop::option::weighted(0.2, 1u64..2000);
    let size = (10u32..2000, 5u32..120);
    (0..SPAN_MS, 0..BOXES, any::<bool>(), prop::bool::weighted(0.3), size, again, gone).prop_map(
        |(at, to, once, own_key, size, again, gone)| Wanted {
            at,
            to,
            once,
            own_key: own_key && once,
            size,
            again,
            gone,
        },
    )
}

/// Draws faults.
fn fault() -> impl Strategy<Value = Fault> {
    let span = 50u64..9000;
    let store = prop_oneof![
        Just(Faults { down: true, ..Faults::default() }),
        Just(Faults { lose_answers: true, ..Faults::default() }),
        Just(Faults { late: true, ..Faults::default() }),
    ];
    prop_oneof![
        (0..BOXES, span.clone()).prop_map(|(it, span)| Fault::Crash(it, span)),
        (0..BOXES, span.clone()).prop_map(|(it, span)| Fault::Pause(it, span)),
        (0..BOXES, 4000u64..9000).prop_map(|(it, span)| Fault::Leave(it, span)),
        (0..BOXES, 0..BOXES, span.clone()).prop_map(|(a, b, span)| Fault::Cut(a, b, span)),
        (store, span.clone()).prop_map(|(faults, span)| Fault::Store(faults, span)),
        (0.0..0.5, 0.0..0.5, span.clone()).prop_map(|(a, b, span)| Fault::Noise(a, b, span)),
        (0usize..4, span.clone()).prop_map(|(it, span)| Fault::Engine(it, span)),
        (0usize..4, 2.0..8.0, span.clone()).prop_map(|(it, by, span)| Fault::Slow(it, by, span)),
        span.clone().prop_map(Fault::Reports),
        (0.0..0.6, 0.0..0.6, span.clone()).prop_map(|(a, b, span)| Fault::Services(a, b, span)),
        span.prop_map(Fault::Apply),
    ]
}

/// Draws scenarios.
fn scenario(requests: usize, faults: usize) -> impl Strategy<Value = Scenario> {
    let requests = prop::collection::vec(wanted(), 1..=requests);
    let faults = prop::collection::vec((0..SPAN_MS, fault()), 0..=faults);
    (any::<u64>(), requests, faults).prop_map(|(seed, requests, faults)| Scenario {
        seed,
        requests,
        faults,
    })
}

/// Gives an engine's key by its number.
fn engine(number: usize) -> UpstreamId {
    let name = ["prefill-0", "prefill-1", "decode-0", "decode-1"][number];
    UpstreamId::of(name)
}

/// Gives a fault's beginning and end as actions.
fn actions(at: u64, fault: &Fault) -> Vec<(u64, Action)> {
    match *fault {
        Fault::Crash(it, span) => {
            vec![(at, Action::Crash(it)), (at + span, Action::Restart(it))]
        }
        Fault::Pause(it, span) => vec![(at, Action::Pause(it, Duration::from_millis(span)))],
        Fault::Leave(it, span) => {
            let kill = Action::Crash(it);
            vec![(at, Action::Leave(it)), (at + span, kill), (at + span + 10, Action::Restart(it))]
        }
        Fault::Cut(a, b, span) => {
            vec![(at, Action::Cut(a, b, true)), (at + span, Action::Cut(a, b, false))]
        }
        Fault::Store(faults, span) => {
            vec![(at, Action::Store(faults)), (at + span, Action::Store(Faults::default()))]
        }
        Fault::Noise(loss, repeat, span) => {
            vec![
                (at, Action::MessageFaults(loss, repeat)),
                (at + span, Action::MessageFaults(0.0, 0.0)),
            ]
        }
        Fault::Engine(it, span) => vec![
            (at, Action::KillEngine(engine(it))),
            (at + span, Action::ReviveEngine(engine(it))),
        ],
        Fault::Slow(it, by, span) => vec![
            (at, Action::SlowEngine(engine(it), by)),
            (at + span, Action::SlowEngine(engine(it), 1.0)),
        ],
        Fault::Reports(span) => {
            vec![(at, Action::AnswerPolls(false)), (at + span, Action::AnswerPolls(true))]
        }
        Fault::Services(refused, lost, span) => {
            let begin = Action::ServiceFaults(refused, lost);
            vec![(at, begin), (at + span, Action::ServiceFaults(0.0, 0.0))]
        }
        Fault::Apply(span) => {
            vec![(at, Action::Apply), (at + 2, Action::Apply), (at + span, Action::Apply)]
        }
    }
}

/// Gives what heals everything.
fn healing() -> Vec<Action> {
    let mut healing = vec![
        Action::Store(Faults::default()),
        Action::MessageFaults(0.0, 0.0),
        Action::AnswerPolls(true),
    ];
    for a in 0..BOXES {
        healing.push(Action::Restart(a));
        healing.extend((a + 1..BOXES).map(|b| Action::Cut(a, b, false)));
    }
    for number in 0..4 {
        healing.push(Action::ReviveEngine(engine(number)));
        healing.push(Action::SlowEngine(engine(number), 1.0));
    }
    healing
}

/// Makes the point at some milliseconds.
fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Sends one request of a scenario, and the same again with the same key.
fn send(world: &mut World, number: u64, wanted: &Wanted) -> Result<(), String> {
    let (prompt, length) = wanted.size;
    let mut arrival = match wanted.once {
        true => hold(number),
        false => generate(number, prompt, 120, length),
    };
    if wanted.own_key {
        arrival.claim = Some(format!("own-{number}"));
    } else {
        // A caller whose box is dead mints no key for it: the connection never opened.
        let Some(key) = world.key(wanted.to, number) else { return Ok(()) };
        arrival.key = Some(key);
    }
    let begun = world.now();
    let call = |place: usize| CallId(number * 10 + place as u64);
    let sending = |call, to| {
        let arrival = arrival.clone();
        Action::Send(Box::new(Sending { call, request: number, at: to, arrival }))
    };
    world.schedule_action(begun, sending(call(0), wanted.to));
    for (place, &(after, to)) in wanted.again.iter().enumerate() {
        world.schedule_action(begun + Duration::from_millis(after), sending(call(place + 1), to));
    }
    if let Some(gone) = wanted.gone {
        world.schedule_action(begun + Duration::from_millis(gone), Action::Disconnect(call(0)));
    }
    Ok(())
}

/// Plays a scenario, and checks what must hold at its end.
fn play(scenario: &Scenario) -> Result<World, String> {
    let mut world = World::new(Plan::default().site(), BOXES, scenario.seed);
    world.run(at(2000)).map_err(|it| it.to_string())?;
    for (begin, fault) in &scenario.faults {
        for (at_ms, action) in actions(2000 + begin, fault) {
            world.schedule_action(at(at_ms), action);
        }
    }
    let mut requests: Vec<(u64, &Wanted)> =
        scenario.requests.iter().enumerate().map(|(n, it)| (n as u64 + 1, it)).collect();
    requests.sort_by_key(|(_, it)| it.at);
    for (number, wanted) in requests {
        world.run(at(2000 + wanted.at)).map_err(|it| it.to_string())?;
        send(&mut world, number, wanted)?;
    }
    // The last faults end before the site is healed for good.
    world.run(at(2000 + SPAN_MS + 9500)).map_err(|it| it.to_string())?;
    for action in healing() {
        world.schedule_action(world.now(), action);
    }
    world.run(at(2000 + SPAN_MS + 9500 + QUIET_MS)).map_err(|it| it.to_string())?;
    check_end(&mut world)?;
    Ok(world)
}

/// Checks that nothing is held and nobody still waits when all is quiet.
fn check_end(world: &mut World) -> Result<(), String> {
    for number in 0..BOXES {
        let version = world.node(number).map(|it| it.site().version);
        if version != Some(world.accepted()) {
            return Err(format!("box {number} has {version:?} and not {}", world.accepted()));
        }
    }
    let held = world.held();
    if !held.is_empty() {
        return Err(format!("memory is still held: {held:?}"));
    }
    for (call, caller) in &world.ledger.callers {
        if caller.end.is_none() && !caller.gone {
            return Err(format!("call {} still waits: {caller:?}", call.0));
        }
    }
    Ok(())
}

/// Plays drawn scenarios from a fixed seed.
fn check(cases: u32, requests: usize, faults: usize) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&scenario(requests, faults), |scenario| {
        play(&scenario).map(drop).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Without faults, every request is answered.
#[test]
fn no_faults() {
    check(24, 40, 0);
}

/// One fault at a time.
#[test]
fn single_faults() {
    check(120, 30, 1);
}

/// Many faults at once and twice.
#[test]
fn many_faults() {
    check(120, 40, 10);
}

/// An engine dies under overload: every answer that had begun on it is finished on the other one,
/// whatever else waits.
#[test]
fn begun_answers_finish() -> Result<(), String> {
    for seed in 0..6 {
        let plan = Plan { memory_tokens: 20_000, ..Plan::default() };
        let mut world = World::new(plan.site(), BOXES, seed);
        world.run(at(2000)).map_err(|it| it.to_string())?;
        for number in 1..=400 {
            let arrival = generate(number, 100, 400, 400);
            let to = number as usize % BOXES;
            let sending = Sending { call: CallId(number), request: number, at: to, arrival };
            world.schedule_action(at(2000 + number * 10), Action::Send(Box::new(sending)));
        }
        world.schedule_action(at(4000), Action::KillEngine(engine(2)));
        world.run(at(40_000)).map_err(|it| it.to_string())?;
        let begun = world.ledger.callers.values().filter(|it| it.tokens > 0);
        for caller in begun {
            let whole = matches!(caller.end, Some((_, End::Complete)));
            if !whole {
                return Err(format!("seed {seed}: a begun answer was given up: {caller:?}"));
            }
        }
    }
    Ok(())
}

/// A late claim is read at another box, which passes the call on to its home, while the first
/// caller still waits there for the claim and then goes: what its going ended was the other's row.
#[test]
fn claim_read_elsewhere() -> Result<(), String> {
    for seed in 0..40 {
        let wanted = Wanted {
            at: 1000,
            to: 1,
            once: true,
            own_key: true,
            size: (10, 10),
            again: vec![(1700, 0), (4700, 1)],
            gone: Some(1865),
        };
        let late = Fault::Store(Faults { late: true, ..Faults::default() }, 1500);
        play(&Scenario { seed, requests: vec![wanted], faults: vec![(0, late)] })?;
    }
    Ok(())
}

/// Over ten thousand calls that must run once, under faults: none runs twice.
#[test]
fn ten_thousand_once() -> Result<(), String> {
    let config = Config { cases: 1, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let (mut sent, mut ran, mut twice) = (0, 0, 0);
    let mut ends = std::collections::BTreeMap::<String, usize>::new();
    while sent < 10_000 {
        let requests = prop::collection::vec(wanted(), 200);
        let faults = prop::collection::vec((0..SPAN_MS, fault()), 8);
        let drawn = (any::<u64>(), requests, faults).new_tree(&mut runner);
        let (seed, mut requests, faults) = drawn.map_err(|it| it.to_string())?.current();
        requests.iter_mut().for_each(|it| it.once = true);
        let world = play(&Scenario { seed, requests, faults })?;
        let calls: std::collections::BTreeSet<u64> =
            world.ledger.callers.values().map(|it| it.request).collect();
        for caller in world.ledger.callers.values() {
            let name = format!("{:?}", caller.end.as_ref().map(|it| &it.1));
            let name = name.split('{').next().unwrap_or_default().to_owned();
            *ends.entry(name).or_default() += 1;
        }
        sent += calls.len();
        ran += world.ledger.runs.len();
        twice += world.ledger.runs.values().filter(|it| **it > 1).count();
    }
    println!("how the calls' connections ended: {ends:?}");
    println!("{sent} calls to be run once were sent under faults, {ran} ran, {twice} ran twice");
    assert_eq!(twice, 0);
    Ok(())
}

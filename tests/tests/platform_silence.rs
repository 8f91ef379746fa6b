//! Sound engines that stand still and go on, alone or all at once: their silence ends no answer.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::budget::Bound;
use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_server::settings::Settings;
use hollyspoke_tests::platform::{
    Action, BOUND, Engine, LAST_CHUNK, Received, Script, Store, ask, chunk, client_head, engine,
    event, handle, is_whole, local, log, settings, status, store, stream_head, whole,
};

/// The number of requests in each row.
const REQUEST_COUNT: usize = 12;

/// The number of engines of each kind.
const ENGINE_COUNT: usize = 4;

/// The number of events of a stream.
const EVENT_COUNT: u64 = 6;

/// The time between two events, and the time that a plain call or a prefill takes.
const INTERVAL: Duration = Duration::from_millis(50);

/// The time from a stream's call to its first event.
const START: Duration = Duration::from_millis(150);

/// A time within the answers.
const MIDWAY: Duration = Duration::from_millis(350);

/// A time within the prefills and the plain calls.
const FIRST_CALL: Duration = Duration::from_millis(25);

/// A time after the prefills and before the first events.
const BEFORE_FIRST_EVENT: Duration = Duration::from_millis(130);

/// A silence just over the one after which a call counts as silent.
const SHORT_SILENCE: Duration = Duration::from_millis(1200);

/// A silence after which a second call would count as silent, too.
const LONG_SILENCE: Duration = Duration::from_millis(2200);

/// A box with engines that can stand still.
struct World {
    /// The box.
    node: Running,
    /// The engines.
    engines: Vec<Engine>,
    /// The engines' list.
    _store: Store,
}

/// What became of the requests of a row.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Answers that are whole.
    whole: usize,
    /// Answers that broke off.
    cut: usize,
    /// Failures.
    failed: usize,
    /// Calls that reached engines, probes left out.
    calls: usize,
}

/// Returns the script of an engine that serves all kinds of requests.
fn script() -> Script {
    Rc::new(|it| {
        if it.is_probe() {
            return vec![Action::Send(whole(it, "{}"))];
        }
        let is_prefill = it.header("x-serving-stage").is_some();
        if is_prefill || !it.line.contains("/resumed/") && !it.line.contains("/once/") {
            let answer = if is_prefill { handle(it) } else { whole(it, "done") };
            return vec![Action::Wait(INTERVAL), Action::Send(answer)];
        }
        stream(it)
    })
}

/// Returns the events of a stream after the last one that the client has.
fn stream(to: &Received) -> Vec<Action> {
    let after: u64 = to.header("last-event-id").map_or(0, |it| it.parse().unwrap());
    let mut actions = vec![Action::Wait(START), Action::Send(stream_head(to))];
    for id in after + 1..=EVENT_COUNT {
        actions.extend([Action::Send(chunk(&event(id))), Action::Wait(INTERVAL)]);
    }
    actions.push(Action::Send(LAST_CHUNK.to_vec()));
    actions
}

/// Starts a box with four engines of each kind.
async fn world(bound: Bound) -> World {
    let store = store().await;
    store.configure(1);
    let mut engines = Vec::new();
    for (service, stage) in [("plain", None), ("model", Some("prefill")), ("model", Some("decode"))]
    {
        for number in 0..ENGINE_COUNT {
            let engine = engine(script()).await;
            let id = format!("{service}-{}-{number}", stage.unwrap_or_default());
            store.list(&id, &engine, service, stage);
            engines.push(engine);
        }
    }
    let settings = Settings { bound, ..settings(store.address, Vec::new()) };
    let node = run::start(&settings, DIALECT, log()).await.expect("the ports are free");
    while node.node.with(|it| !it.is_ready() || it.engine_count() < 3 * ENGINE_COUNT) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    World { node, engines, _store: store }
}

/// Sends requests of a route, lets each `nth` engine stand still for a time, and returns what became
/// of them. The retry budget doesn't bind.
async fn play(route: &str, nth: usize, at: Duration, silence: Duration) -> Outcome {
    play_within(BOUND, route, nth, at, silence).await
}

/// Does the same with a retry budget.
async fn play_within(
    bound: Bound,
    route: &str,
    nth: usize,
    at: Duration,
    silence: Duration,
) -> Outcome {
    let world = world(bound).await;
    let front = world.node.front;
    let clients: Vec<_> = (0..REQUEST_COUNT)
        .map(|it| {
            let head = client_head("POST", &format!("/{route}/x"), &format!("{route}-{it}"), "");
            let head = head.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 9000");
            tokio::task::spawn_local(async move { ask(front, &head).await })
        })
        .collect();
    tokio::time::sleep(at).await;
    world.engines.iter().step_by(nth).for_each(|it| it.stand_still(silence));
    let mut outcome = Outcome::default();
    for client in clients {
        let answer = client.await.expect("the client ends");
        match status(&answer) {
            "200" if is_whole(&answer) => outcome.whole += 1,
            "200" => outcome.cut += 1,
            _ => outcome.failed += 1,
        }
    }
    let received = world.engines.iter().map(|it| it.received.borrow());
    let is_call = |it: &&Received| it.line.starts_with("POST");
    outcome.calls = received.map(|it| it.iter().filter(is_call).count()).sum();
    outcome
}

/// Checks that all requests are answered with as many calls as without any silence.
fn check_undisturbed(outcome: &Outcome, calls_each: usize) {
    let calls = REQUEST_COUNT * calls_each;
    assert_eq!(*outcome, Outcome { whole: REQUEST_COUNT, calls, ..Outcome::default() });
}

#[test]
fn silent_stream_begun_again() {
    local(async {
        check_undisturbed(&play("resumed", 1, MIDWAY, SHORT_SILENCE).await, 2);
    });
}

#[test]
fn silent_stream_cut() {
    local(async {
        let bound = Bound { ratio: 0.0, allowance: 0.0, ..BOUND };
        let outcome = play_within(bound, "resumed", 1, MIDWAY, SHORT_SILENCE).await;
        check_undisturbed(&outcome, 2);
    });
}

#[test]
fn silent_prefill_begun_again() {
    local(async {
        check_undisturbed(&play("resumed", 1, FIRST_CALL, LONG_SILENCE).await, 2);
    });
}

#[test]
fn silent_start_begun_again() {
    local(async {
        check_undisturbed(&play("resumed", 1, BEFORE_FIRST_EVENT, SHORT_SILENCE).await, 2);
    });
}

#[test]
fn silent_plain_call_failed() {
    local(async {
        check_undisturbed(&play("safe", 1, FIRST_CALL, LONG_SILENCE).await, 1);
    });
}

/// Half of the engines are silent: nothing is lost, whether or not it goes on elsewhere.
#[test]
fn half_silent_streams_cut() {
    local(async {
        for silence in [SHORT_SILENCE, LONG_SILENCE] {
            let outcome = play("resumed", 2, MIDWAY, silence).await;
            assert_eq!(outcome.whole, REQUEST_COUNT, "{outcome:?}");
        }
    });
}

/// A stream that may not be resumed waits for its engine.
#[test]
fn unrepeatable_stream_cut() {
    local(async {
        check_undisturbed(&play("once", 1, MIDWAY, LONG_SILENCE).await, 2);
    });
}

//! Engines that stand still for some seconds and go on with what they hold.

use std::time::Duration;

use hollyspoke::effect::{CallerReply, Effect};
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::generate::TOKEN_TIMEOUT;
use hollyspoke::key::Ticket;
use hollyspoke::layout::ShardId;
use hollyspoke::message::{Grant, Message, Stage};
use hollyspoke::outcome::Trace;
use hollyspoke::pool::POLL_INTERVAL;
use hollyspoke::site::{ServiceId, UpstreamId};
use hollyspoke::time::Time;
use hollyspoke_cli::caller::{self, Call};
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, Sending, TICK_INTERVAL, World, generate};
use hollyspoke_standin::answer;
use hollyspoke_standin::engine::Ledger;
use hollyspoke_tests::cluster::{self, Cluster, SOON};
use hollyspoke_tests::request::{CallerRequest, read_stream};
use hollyspoke_tests::single_box::SingleBox;
use hollyspoke_wire::caller::ONCE;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// When the requests are sent.
const SENT_AT: Time = Time::from_millis(3000);

/// The number of requests.
const REQUEST_COUNT: u64 = 6;

/// A prompt whose prefill and transfer take some time.
const PROMPT_TOKENS: u32 = 400;

/// The answer's length, in tokens. It takes longer than the engines stand still.
const LENGTH: u32 = 250;

/// The time for all answers, with those that are begun again.
const RUN: Duration = Duration::from_secs(40);

/// The time of a poll's answer, with the ticks around it.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// The engines of the plan.
const PREFILLS: [&str; 2] = ["prefill-0", "prefill-1"];

/// The engines of the plan that stream.
const DECODES: [&str; 2] = ["decode-0", "decode-1"];

/// The outcome of all requests.
#[derive(Debug, PartialEq, Eq)]
struct Outcome {
    /// The number of complete answers.
    complete: usize,
    /// The number of prefills that engines were sent.
    prefills: u32,
    /// The notes of boxes that an engine is out of service.
    ejections: usize,
}

/// The outcome that a silence should have: as if there had been none.
const UNHARMED: Outcome =
    Outcome { complete: REQUEST_COUNT as usize, prefills: REQUEST_COUNT as u32, ejections: 0 };

/// Starts a world of three boxes with requests at each of them.
fn begin(plan: &Plan, repeatable: bool, seed: u64) -> World {
    let mut world = World::new(plan.site(), 3, seed);
    for number in 0..REQUEST_COUNT {
        let mut arrival = generate(number, PROMPT_TOKENS, LENGTH, LENGTH);
        arrival.repeatable = repeatable;
        let at = number as usize % 3;
        let sending = Sending { call: CallId(number), request: number, at, arrival };
        let sent_at = SENT_AT + Duration::from_millis(10 * number);
        world.schedule_action(sent_at, Action::Send(Box::new(sending)));
    }
    world
}

/// Lets engines stand still for some milliseconds, and returns the outcome.
fn play(mut world: World, engines: &[&str], at: Time, millis: u64) -> Outcome {
    stand_still(&mut world, engines, at, millis);
    outcome(&mut world)
}

/// Lets engines stand still for some milliseconds.
fn stand_still(world: &mut World, engines: &[&str], at: Time, millis: u64) {
    for name in engines {
        let action = Action::StillEngine(UpstreamId::of(name), Duration::from_millis(millis));
        world.schedule_action(at, action);
    }
}

/// Returns all engines of the plan.
fn all() -> Vec<&'static str> {
    [PREFILLS, DECODES].concat()
}

/// Returns a moment at which all requests stream.
fn in_streams(seed: u64) -> Time {
    SENT_AT + Duration::from_millis(1000 + 130 * seed)
}

/// Runs to the end, and returns the outcome.
fn outcome(world: &mut World) -> Outcome {
    world.run(SENT_AT + RUN).expect("no guarantee is violated");
    Outcome {
        complete: world.records.iter().filter(|it| it.outcome == "done").count(),
        prefills: world.ledger.prefills.values().sum(),
        ejections: world.notes.iter().filter(|it| it.1.contains("out of service")).count(),
    }
}

/// Returns a plan with room for all streams at any of its engines.
fn plan() -> Plan {
    Plan { services: 0, memory_tokens: 40_000, ..Plan::default() }
}

/// A silence of all engines within the answers begins none again, and blames no engine.
#[test]
fn pool_silence_begins_streams_again() {
    for millis in [300, 2900, 3500, 4000] {
        for seed in 0..5 {
            let outcome = play(begin(&plan(), true, seed), &all(), in_streams(seed), millis);
            assert_eq!(outcome, UNHARMED, "{millis} ms, seed {seed}");
        }
    }
}

/// A silence of all engines ends no answer that may not be begun again.
#[test]
fn pool_silence_ends_streams() {
    for millis in [300, 2900, 3500, 4000] {
        for seed in 0..5 {
            let outcome = play(begin(&plan(), false, seed), &all(), in_streams(seed), millis);
            assert_eq!(outcome, UNHARMED, "{millis} ms, seed {seed}");
        }
    }
}

/// A silence of all engines before the first token fails no request that has been granted engines.
#[test]
fn pool_silence_fails_starts() {
    // Prefills end some 55 ms after they began, and transfers some 25 ms later.
    for after in [20, 60, 80, 110] {
        for (repeatable, millis) in [(true, 300), (true, 2500), (true, 3500), (false, 3500)] {
            for seed in 0..5 {
                let at = SENT_AT + Duration::from_millis(after);
                let mut world = begin(&plan(), repeatable, seed);
                stand_still(&mut world, &all(), at, millis);
                let outcome = outcome(&mut world);
                let failed = world.records.iter().filter(|it| it.outcome == "failed").count();
                let played = format!("{millis} ms, {after} ms after the start, seed {seed}");
                assert_eq!((failed, outcome.ejections), (0, 0), "{played}: {outcome:?}");
            }
        }
    }
}

/// A silence of half of the engines ends no answer, whether or not it may be repeated.
#[test]
fn half_silence_ends_streams() {
    let halves = [vec!["prefill-0", "decode-0"], vec!["decode-0"], vec!["decode-1", "prefill-0"]];
    for engines in halves {
        for (repeatable, millis) in [(true, 2900), (true, 3500), (false, 3500), (false, 4000)] {
            for seed in 0..5 {
                let world = begin(&plan(), repeatable, seed);
                let outcome = play(world, &engines, in_streams(seed), millis);
                let played = format!("{engines:?}, {millis} ms, repeatable {repeatable}");
                assert_eq!(outcome.complete, UNHARMED.complete, "{played}: {outcome:?}");
            }
        }
    }
}

/// An engine that stays silent is replaced as soon as before: after [`TOKEN_TIMEOUT`].
#[test]
fn dark_engine_keeps_streams() {
    let engine_time = Plan::default().token_time * LENGTH;
    for seed in 0..5 {
        let mut world = begin(&plan(), true, seed);
        stand_still(&mut world, &["decode-0"], in_streams(seed), RUN.as_millis() as u64);
        let outcome = outcome(&mut world);
        assert_eq!(outcome.complete, UNHARMED.complete, "seed {seed}: {outcome:?}");
        let longest = world.records.iter().map(|it| it.total).max().expect("there are answers");
        let limit = engine_time + TOKEN_TIMEOUT + Duration::from_millis(800);
        assert!(longest < limit, "an answer took {longest:?}, seed {seed}");
    }
}

/// An engine that is silent for good from a transfer on is replaced, though the first token is late.
#[test]
fn dark_engine_fails_starts() {
    for after in [20, 60, 80, 110] {
        for seed in 0..5 {
            let mut world = begin(&plan(), true, seed);
            let at = SENT_AT + Duration::from_millis(after);
            stand_still(&mut world, &["decode-0"], at, RUN.as_millis() as u64);
            let outcome = outcome(&mut world);
            let played = format!("{after} ms after the start, seed {seed}");
            assert_eq!(outcome.complete, UNHARMED.complete, "{played}: {outcome:?}");
        }
    }
}

/// An engine whose connections break is left at once.
#[test]
fn dead_engine_keeps_streams() {
    let engine_time = Plan::default().token_time * LENGTH;
    for seed in 0..5 {
        let mut world = begin(&plan(), true, seed);
        world.schedule_action(in_streams(seed), Action::KillEngine(UpstreamId::of("decode-0")));
        let outcome = outcome(&mut world);
        assert_eq!(outcome.complete, UNHARMED.complete, "seed {seed}: {outcome:?}");
        let longest = world.records.iter().map(|it| it.total).max().expect("there are answers");
        assert!(longest < engine_time + Duration::from_millis(800), "an answer took {longest:?}");
    }
}

/// Silences of any engines at any moment, beside a new configuration or the planned stop of a box,
/// fail no request and leave no memory held.
#[test]
fn drawn_silences_fail_requests() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut world = begin(&plan(), seed % 2 == 0, seed);
        for name in all() {
            let at = SENT_AT + Duration::from_millis(random.random_range(0..3500));
            stand_still(&mut world, &[name], at, random.random_range(300..4000));
        }
        let planned_at = SENT_AT + Duration::from_millis(random.random_range(0..5000));
        let planned = if random.random() { Action::Apply } else { Action::Leave(0) };
        world.schedule_action(planned_at, planned);
        let outcome = outcome(&mut world);
        let failed: Vec<_> = world.records.iter().filter(|it| it.outcome != "done").collect();
        assert!(failed.is_empty(), "seed {seed}: {outcome:?} {failed:#?}");
        assert!(world.held().is_empty(), "seed {seed}: {:?}", world.held());
    }
}

/// Streams whose silent engine nothing can replace for lack of memory go on.
#[test]
fn full_pool_ends_silent_streams() {
    // Three streams fill one engine.
    let plan = Plan { services: 0, memory_tokens: 2000, ..Plan::default() };
    for seed in 0..5 {
        let outcome = play(begin(&plan, true, seed), &["decode-0"], in_streams(seed), 3500);
        assert_eq!(outcome.complete, UNHARMED.complete, "seed {seed}: {outcome:?}");
    }
}

/// Silences of an engine that lie far apart, with complete answers between them, do not eject it.
#[test]
fn recovered_engine_ejected() {
    let mut world = World::new(plan().site(), 3, 1);
    for round in 0..4 {
        let begins_at = SENT_AT + Duration::from_secs(20) * round;
        for (part, after) in [0, 10].map(Duration::from_secs).into_iter().enumerate() {
            let number = u64::from(round) * 2 + part as u64;
            let arrival = generate(number, PROMPT_TOKENS, LENGTH, LENGTH);
            let sending = Sending { call: CallId(number), request: number, at: 0, arrival };
            world.schedule_action(begins_at + after, Action::Send(Box::new(sending)));
        }
        world.run(begins_at + Duration::from_secs(1)).expect("no guarantee is violated");
        let (engine, ..) = *world.held().first().expect("a stream runs");
        let still = Action::StillEngine(engine, Duration::from_secs(6));
        world.schedule_action(world.now(), still);
        world.run(begins_at + Duration::from_secs(19)).expect("no guarantee is violated");
    }
    let outcome = outcome(&mut world);
    assert_eq!((outcome.complete, outcome.ejections), (8, 0), "{outcome:?}");
}

/// An engine that is out of service for its silence is back once it answers a poll.
#[test]
fn speaking_engine_stays_out() {
    for millis in [3500, 4000, 6000] {
        for seed in 0..5 {
            let mut world = begin(&plan(), true, seed);
            let at = in_streams(seed);
            stand_still(&mut world, &["decode-0"], at, millis);
            let speaks_at = at + Duration::from_millis(millis);
            world.run(speaks_at + POLL_INTERVAL + ANSWER_TIME).expect("no guarantee is violated");
            let owner =
                world.owner().and_then(|it| world.node(it)).expect("a box owns the engines");
            let pool = &owner.status().pools[0];
            let states: Vec<&str> = pool.engines.iter().map(|it| it.state.as_str()).collect();
            assert_eq!(states, ["live"; 4], "{millis} ms, seed {seed}");
        }
    }
}

/// Returns a box with a stream that has brought one token and then fell silent, and the tickets of
/// its attempt and of the one that was begun beside it.
fn silent_stream() -> (SingleBox, Ticket, Ticket) {
    let mut single = SingleBox::start();
    let first = single.begin_stream();
    single.reply(first, token(0));
    let effects = single.run(TOKEN_TIMEOUT + Duration::from_millis(100));
    let &[second] = &begun(&effects)[..] else { panic!("no other attempt is begun") };
    (single, first, second)
}

/// Returns the attempts that are begun.
fn begun(effects: &[Effect]) -> Vec<Ticket> {
    let begun = effects.iter().filter_map(|it| match it {
        Effect::Prefill { ticket, .. } => Some(*ticket),
        _ => None,
    });
    begun.collect()
}

/// Returns a token.
fn token(seq: u32) -> Reply {
    Reply::Token { seq, text: format!("t{seq}").into() }
}

/// Returns whether an attempt is stopped.
fn stops(effects: &[Effect], attempt: Ticket) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Cancel { ticket, .. } if *ticket == attempt))
}

/// Returns the caller's tokens.
fn delivered(effects: &[Effect]) -> Vec<String> {
    let tokens = effects.iter().filter_map(|it| match it {
        Effect::Reply { reply: CallerReply::Token(text), .. } => Some(text.to_string()),
        _ => None,
    });
    tokens.collect()
}

/// Returns the outcomes of the requests that ended.
fn outcomes(effects: &[Effect]) -> Vec<String> {
    let outcomes = effects.iter().filter_map(|it| match it {
        Effect::Record(record) => Some(record.outcome.clone()),
        _ => None,
    });
    outcomes.collect()
}

/// A silent stream that goes on is kept, whatever the other attempt has reached before a token.
#[test]
fn resumed_stream_dropped() {
    for reached in [vec![], vec![Reply::Prefilled], vec![Reply::Prefilled, Reply::Imported]] {
        let (mut single, first, second) = silent_stream();
        for reply in reached {
            let effects = single.reply(second, reply);
            assert!(!stops(&effects, first), "the stream is stopped before it is replaced");
        }
        let effects = single.reply(first, token(1));
        assert!(stops(&effects, second) && !stops(&effects, first), "{effects:#?}");
        assert_eq!(delivered(&effects), ["t1"]);
        assert!(delivered(&single.reply(second, token(1))).is_empty());
        assert_eq!(delivered(&single.reply(first, token(2))), ["t2"]);
        let effects = single.reply(first, Reply::Finished { reason: "stop".into() });
        assert_eq!(outcomes(&effects), ["done"]);
    }
}

/// The token that comes next is delivered once, when it comes from both attempts.
#[test]
fn token_delivered_twice() {
    let (mut single, first, second) = silent_stream();
    single.reply(second, Reply::Prefilled);
    single.reply(second, Reply::Imported);
    let effects = single.reply(second, token(1));
    assert!(stops(&effects, first) && !stops(&effects, second), "{effects:#?}");
    assert_eq!(delivered(&effects), ["t1"]);
    assert!(delivered(&single.reply(first, token(1))).is_empty());
    assert_eq!(delivered(&single.reply(second, token(2))), ["t2"]);
}

/// A silent engine that breaks off its stream leaves the other attempt, and one that breaks off the
/// other attempt leaves the stream.
#[test]
fn broken_attempt_ends_both() {
    let broken = || Reply::Failed { detail: "it broke".to_owned(), trace: Trace::clean() };
    let (mut single, first, second) = silent_stream();
    let effects = single.reply(first, broken());
    assert!(outcomes(&effects).is_empty() && !stops(&effects, second), "{effects:#?}");
    single.reply(second, Reply::Prefilled);
    single.reply(second, Reply::Imported);
    assert_eq!(delivered(&single.reply(second, token(1))), ["t1"]);

    let (mut single, first, second) = silent_stream();
    let effects = single.reply(second, broken());
    assert!(outcomes(&effects).is_empty() && !stops(&effects, first), "{effects:#?}");
    assert_eq!(delivered(&single.reply(first, token(1))), ["t1"]);
}

/// A late copy of the silent attempt's grant begins nothing while another attempt waits for engines.
#[test]
fn repeated_grant_begins_attempt() {
    let mut single = SingleBox::start();
    let first = single.begin_stream();
    single.reply(first, token(0));
    single.run(TOKEN_TIMEOUT - Duration::from_millis(100));
    for name in all() {
        let engine = UpstreamId::of(name);
        single.step(Duration::ZERO, Event::Polled { engine, report: None });
    }
    for _ in 0..4 {
        let effects = single.step(TICK_INTERVAL, Event::Tick);
        assert_eq!(begun(&effects), [], "a replacement is granted while all engines are silent");
    }
    let service = ServiceId::of("llm");
    let grant = Grant {
        shard: ShardId { service, part: 0 },
        ticket: first,
        prefill: UpstreamId::of("prefill-0"),
        decode: UpstreamId::of("decode-0"),
        tokens: 110,
        max_tokens: 10,
        stage: Stage::Prefill,
    };
    let message = Box::new(Message::Granted(grant));
    let effects = single.step(Duration::ZERO, Event::Peer { from: first.front, message });
    assert_eq!(begun(&effects), [], "the first attempt is begun again");
    assert_eq!(delivered(&single.reply(first, token(1))), ["t1"]);
}

/// An engine whose streams stall is not ejected if it is the one that completes them.
#[test]
fn only_engine_ejected() {
    let mut site = Plan { prefills: 1, ..Plan::default() }.site();
    for engine in site.engines.iter_mut().filter(|it| it.name == "decode-1") {
        engine.leaving = true;
    }
    let mut single = SingleBox::start_with(site);
    for round in 0..4 {
        let first = single.begin_stream();
        single.reply(first, token(0));
        let effects = single.run(TOKEN_TIMEOUT + Duration::from_millis(100));
        let &[second] = &begun(&effects)[..] else { panic!("no replacement in round {round}") };
        single.reply(second, Reply::Prefilled);
        single.reply(second, Reply::Imported);
        let effects = single.reply(second, token(1));
        assert!(stops(&effects, first), "round {round}: {effects:#?}");
        single.step(Duration::ZERO, Event::Gone(CallId(u64::MAX)));
    }
}

/// A caller that leaves a silent stream leaves both attempts.
#[test]
fn left_stream_runs_on() {
    let (mut single, first, second) = silent_stream();
    let effects = single.step(Duration::ZERO, Event::Gone(CallId(u64::MAX)));
    assert!(stops(&effects, first) && stops(&effects, second), "{effects:#?}");
}

/// Freezes the processes of all engines for 3.5 s.
async fn freeze_engines(cluster: &Cluster) {
    let engines = || cluster.prefills.iter().chain(&cluster.decodes);
    engines().for_each(|it| it.signal(Signal::SIGSTOP));
    tokio::time::sleep(Duration::from_millis(3500)).await;
    engines().for_each(|it| it.signal(Signal::SIGCONT));
}

/// All engine processes are frozen for 3.5 s: each answer is completed by the attempt that began it.
#[tokio::test]
async fn frozen_engines_end_streams() -> eyre::Result<()> {
    let plan = cluster::Plan { boxes: 3, token_ms: 20, ..cluster::Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let callers = [true, false].map(|once| {
        let address = cluster.boxes[usize::from(once)].address().to_owned();
        let prompt = format!("frozen {once}");
        tokio::spawn(async move {
            let mut request = CallerRequest::generate(&prompt, 150, true);
            if once {
                request = request.header(ONCE, "true");
            }
            let (text, ended) = read_stream(request.begin(&address).await?).await;
            eyre::Ok((text == answer::whole(&prompt, 150), ended))
        })
    });
    let streams = "the streams do not begin";
    cluster.wait_engines(streams, |it| it.iter().map(|e| e.decodes).sum::<u64>() == 2).await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    freeze_engines(&cluster).await;
    for caller in callers {
        assert_eq!(caller.await??, (true, true), "an answer was ended");
    }
    let ledgers = cluster.engines().await;
    let begun: u64 = ledgers.iter().map(|it| it.decodes).sum();
    assert_eq!(begun, 2, "an answer was begun again");
    cluster.wait_memory_free(SOON).await?;
    Ok(())
}

/// The caller of the command line neither leaves nor sends a request again while engines are frozen.
#[tokio::test]
async fn frozen_engines_repeat_call() -> eyre::Result<()> {
    let plan = cluster::Plan { boxes: 3, token_ms: 20, ..cluster::Plan::default() };
    let cluster = Cluster::start(plan).await?;
    let mut caller = cluster.caller("frozen");
    let request = CallerRequest::generate("frozen", 150, true);
    let call = Call {
        method: request.method,
        path: request.path,
        headers: Vec::new(),
        body: request.body.into(),
        once: false,
    };
    let answer = tokio::spawn(async move {
        match caller.send(&call).await {
            caller::Outcome::Answer(response) => Ok(read_stream(response).await),
            other => Err(eyre::eyre!("no answer: {other:?}")),
        }
    });
    let decodes = |it: &[Ledger]| it.iter().map(|it| it.decodes).sum::<u64>();
    cluster.wait_engines("the stream does not begin", |it| decodes(it) == 1).await?;
    freeze_engines(&cluster).await;
    assert_eq!(answer.await??, (answer::whole("frozen", 150), true));
    assert_eq!(decodes(&cluster.engines().await), 1, "the answer was begun again");
    Ok(())
}

//! Requests that crash the engines that run them and are sent again by clients, to any box.

use std::time::Duration;

use hollyspoke_gateway::effect::Refusal;
use hollyspoke_gateway::engine::{EngineKey, Stage};
use hollyspoke_tests::crashes::{Harmful, Sharing};
use hollyspoke_tests::faults::{Fault, inject};
use hollyspoke_tests::fleet::Fleet;

/// The time after the third crash within which all boxes learn of it.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// The number of repeats allowed after that, in total over all boxes.
const MAX_REPEATS_COUNT: usize = 3;

/// How long a harmful request keeps arriving.
const TROUBLE_DURATION: Duration = Duration::from_secs(20);

/// A stream that may be resumed, twice a second.
const STREAM: Harmful =
    Harmful { route: "resumed", every: Duration::from_millis(500), crashes_on_prefill: false };

/// The harmful requests of each scenario.
const HARMFUL_REQUESTS: [Harmful; 5] = [
    STREAM,
    Harmful { crashes_on_prefill: true, ..STREAM },
    Harmful { route: "once", ..STREAM },
    Harmful { route: "safe", ..STREAM },
    Harmful { route: "unsafe", ..STREAM },
];

/// Returns six boxes in steady service that begin to receive a harmful request.
fn troubled(harmful: Harmful, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(6, seed);
    fleet.harmful = Some(harmful);
    fleet
}

/// Runs a scenario with each harmful request and several seeds, and checks that none reaches engines
/// more often than allowed.
fn check_repeats(name: &str, scenario: impl Fn(&mut Fleet)) {
    let mut violations = Vec::new();
    for harmful in HARMFUL_REQUESTS {
        for seed in 1..=3 {
            let mut fleet = troubled(harmful, seed);
            scenario(&mut fleet);
            let late = fleet.crashes.late_arrivals(DETECTION_TIME).unwrap_or(0);
            let crashes = fleet.crashes.harmful_crashes.len();
            let refused = fleet.crashes.refused.len();
            let aborted = fleet.crashes.aborted.len();
            let asked = fleet.records.requests.len();
            let result = format!(
                "{name}, {harmful:?}, seed {seed}: {late} late arrivals, {crashes} crashes; of \
                 {asked} requests {refused} refused, {aborted} broken off"
            );
            println!("{result}");
            if late > MAX_REPEATS_COUNT {
                violations.push(result);
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Boxes sent a request on each time it arrived, although each engine that ran it crashed: 55 engines
/// crashed, and 26 repeats were sent later than three seconds after the third crash. In this
/// simulation it reached engines 11 to 73 times more than allowed, and up to 643 of 1,997 other
/// requests were refused.
#[test]
fn harmful_request_repeated() {
    check_repeats("six boxes", |fleet| fleet.run(TROUBLE_DURATION));
}

/// A restart of one box, or of all, lost what was known of a harmful request.
#[test]
fn quarantine_lost_on_restart() {
    check_repeats("one after the other", |fleet| {
        for number in 0..12 {
            fleet.run(Duration::from_millis(1700));
            fleet.restart([number % 6]);
        }
    });
    check_repeats("all at once", |fleet| {
        for pause in [300, 900, 1300, 2000, 4000, 5000, 6000] {
            fleet.run(Duration::from_millis(pause));
            fleet.restart(0..6);
        }
    });
}

/// Boxes that receive no announcements have to learn of a crash from the store, and those that miss
/// single datagrams from later ones.
#[test]
fn quarantine_lost_without_datagrams() {
    check_repeats("all cut off from each other", |fleet| {
        for number in 0..6 {
            fleet.partition([number], number);
        }
        fleet.run(TROUBLE_DURATION);
        fleet.partition(0..6, 0);
        fleet.run(Duration::from_secs(5));
    });
    check_repeats("halves", |fleet| {
        fleet.partition(0..3, 1);
        fleet.run(TROUBLE_DURATION);
    });
    check_repeats("lost datagrams", |fleet| {
        fleet.lost = 0.6;
        fleet.run(TROUBLE_DURATION);
    });
}

/// A harmful request that arrives rarely could crash more engines than a frequent one.
#[test]
fn rare_harmful_request() {
    for harmful in HARMFUL_REQUESTS {
        let seldom = Harmful { every: Duration::from_secs(5), ..harmful };
        let mut fleet = troubled(seldom, 1);
        fleet.run(Duration::from_secs(60));
        let late = fleet.crashes.late_arrivals(DETECTION_TIME);
        assert!(late.is_some_and(|it| it <= MAX_REPEATS_COUNT), "{late:?} with {seldom:?}");
    }
}

/// Returns the decode engines.
fn decode_engines(fleet: &Fleet) -> Vec<EngineKey> {
    let engines = fleet.engines().into_iter();
    engines.filter(|it| it.stage == Some(Stage::Decode)).map(|it| it.key).collect()
}

/// Engines crash without a cause in the requests, singly and all at once: neither single requests nor
/// one that many clients send may be quarantined.
#[test]
fn harmless_request_quarantined() {
    for (seed, popular) in [(1, "resumed"), (2, "once"), (3, "resumed"), (4, "once")] {
        let mut fleet = Fleet::settled(6, seed);
        fleet.popular = Some((popular, Duration::from_millis(70)));
        let engines = decode_engines(&fleet);
        for round in 0..40 {
            fleet.run(Duration::from_millis(400));
            fleet.crash_all([engines[round % engines.len()]]);
            if round % 10 == 9 {
                fleet.crash_all(engines.iter().copied());
            }
        }
        fleet.run(Duration::from_secs(3));
        assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "seed {seed}, {popular}");
    }
}

/// A popular request that runs beside a harmful one could be quarantined with it.
#[test]
fn popular_request_quarantined() {
    for seed in 1..=4 {
        let mut fleet = troubled(STREAM, seed);
        fleet.popular = Some(("resumed", Duration::from_millis(50)));
        fleet.run(TROUBLE_DURATION);
        assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "seed {seed}");
        assert_eq!(fleet.crashes.harmful_crashes.len(), 3, "seed {seed}");
    }
}

/// Broken connections to engines that stay alive are not crashes: no request may be quarantined for
/// them, not even one that never gets a whole answer.
#[test]
fn broken_connection_counted() {
    let mut fleet = Fleet::settled(6, 1);
    fleet.popular = Some(("once", Duration::from_millis(70)));
    let engines = decode_engines(&fleet);
    for _ in 0..100 {
        fleet.run(Duration::from_millis(100));
        fleet.reset_all(engines.iter().copied());
    }
    assert_eq!(fleet.crashes.wrongly_quarantined(), 0);
}

/// A quarantined request gets a final answer at once at every box, and is never sent to an engine
/// again.
#[test]
fn quarantined_request_sent() {
    let mut fleet = troubled(STREAM, 1);
    fleet.run(TROUBLE_DURATION);
    let arrivals = fleet.crashes.arrivals.len();
    fleet.crashes.answers.clear();
    fleet.run(TROUBLE_DURATION);
    assert_eq!(fleet.crashes.arrivals.len(), arrivals);
    let answers = &fleet.crashes.answers;
    assert!(answers.len() >= 39, "{}", answers.len());
    assert!(answers.iter().all(|(_, it)| matches!(it, Refusal::Quarantined(_))), "{answers:?}");
}

/// While one box was missing, every other box read the cases in the store every four seconds, and
/// every second after its start: of 300 boxes one loss cost 4,500 calls in a minute, and the start of
/// all boxes 1,200 more.
#[test]
fn excessive_quarantine_reads() {
    let mut fleet = Fleet::new(24, 1);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.store.case_reads, 24);
    fleet.kill([23]);
    fleet.run(Duration::from_secs(40));
    let reads = fleet.store.case_reads - 24;
    assert!((1..=33).contains(&reads), "{reads}");
}

/// Three engines crashed within 0.2 s, and all boxes were lost before the engines were back. The
/// restarted boxes read the crashes from the store and a list with the engines' next incarnations, so
/// that no later change proved the crashes. After 10 s they released the request, which crashed four
/// more engines. A shrunk case of crashes_drawn.rs.
#[test]
fn crash_proof_lost() {
    let every = Duration::from_millis(485);
    let mut fleet = Fleet::settled(6, 12);
    fleet.harmful = Some(Harmful { route: "resumed", every, crashes_on_prefill: true });
    let faults = [
        (Fault::Stop(0), 2745),
        (Fault::Crash(2), 101),
        (Fault::Restart(vec![0, 1, 2, 3, 4, 5]), 417),
        (Fault::Restart(vec![0, 1, 3, 4, 5]), 2543),
        (Fault::Datagrams(63, 226), 947),
        (Fault::Heal, 901),
        (Fault::Engines(84, 18), 2706),
    ];
    for (fault, pause) in &faults {
        inject(&mut fleet, fault);
        fleet.run(Duration::from_millis(*pause));
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.crashes.late_arrivals(DETECTION_TIME), Some(0));
}

/// Engines were replaced one each half second, and streams that had been written for seconds at three of
/// them, one after the other, were held back.
#[test]
fn replaced_engines_hold_streams() {
    let mut fleet = Fleet::resuming(6, 1);
    fleet.stream_duration = Duration::from_secs(3);
    fleet.sharing = vec![Sharing {
        route: "resumed",
        every: Duration::from_millis(50),
        parts: &["system", "folder"],
        document_count: 0,
        is_harmful: false,
    }];
    let engines = fleet.decode_engines();
    for (number, engine) in engines.iter().cycle().take(24).enumerate() {
        fleet.run(Duration::from_millis(500));
        fleet.release([*engine], if number < 12 { "v2" } else { "v3" });
    }
    assert_eq!(fleet.crashes.wrongly_quarantined(), 0);
}

//! Parts of prompts that crash the engines that write on them, whatever else the request contains.

use std::ops::RangeInclusive;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::gateway::CASES;
use hollyspoke_gateway::quarantine::Crash;
use hollyspoke_gateway::signature::Signature;
use hollyspoke_tests::crashes::Sharing;
use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::MODEL;
use serde::Deserialize;

/// The number of crashes after which a part counts as harmful.
const MAX_CRASHES: usize = 5;

/// The time after the last of them within which all boxes learn of it.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// The number of requests with the part that may reach engines after that, over all boxes.
const MAX_LATE_COUNT: usize = 3;

/// The time after the last of them from which harmless requests begin as before.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// The share of harmless requests that must begin then, compared with before.
const MIN_SHARE: f64 = 0.5;

/// How long requests with a harmful part keep arriving.
const TROUBLE_DURATION: Duration = Duration::from_secs(20);

/// Harmless requests with the first two parts of the harmful ones.
const HARMLESS: Sharing = Sharing {
    route: "resumed",
    every: Duration::from_millis(50),
    parts: &["system", "folder"],
    document_count: 0,
    is_harmful: false,
};

/// Requests with a harmful part.
const DEADLY: Sharing = Sharing {
    route: "resumed",
    every: Duration::from_millis(250),
    parts: &["system", "folder", "deadly"],
    document_count: 0,
    is_harmful: true,
};

/// Returns boxes that have served harmless requests for a while and begin to receive harmful ones.
fn troubled(boxes: usize, deadly: Sharing, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(boxes, seed);
    fleet.sharing = vec![HARMLESS];
    fleet.run(Duration::from_secs(12));
    fleet.sharing.push(deadly);
    fleet
}

/// Returns what is wrong with a run: harmful requests that reach engines, and harmless ones with the
/// same first part that don't begin.
fn violations(fleet: &Fleet, name: &str) -> Option<String> {
    let crashes = &fleet.crashes;
    let late = crashes.arrivals_after(MAX_CRASHES, DETECTION_TIME).unwrap_or(0);
    let (_, before) = fleet.records.served_of(&crashes.sharing, Time::ZERO..crashes.arrivals[0]);
    let last = crashes.harmful_crashes.get(MAX_CRASHES - 1).or(crashes.harmful_crashes.last());
    let recovered = *last.unwrap_or(&crashes.arrivals[0]) + RECOVERY_TIME;
    let (sent, after) = fleet.records.served_of(&crashes.sharing, recovered..fleet.now());
    let result = format!(
        "{name}: {} crashes, {late} late arrivals, {before:.2} of harmless requests served before, \
         {after:.2} of {sent} after, {} held",
        crashes.harmful_crashes.len(),
        crashes.wrongly_quarantined(),
    );
    println!("{result}");
    let is_recovered = sent < 20 || after >= before * MIN_SHARE;
    (late > MAX_LATE_COUNT || !is_recovered).then_some(result)
}

/// Runs a scenario with several kinds of harmful requests and seeds.
fn check(name: &str, seeds: RangeInclusive<u64>, scenario: impl Fn(&mut Fleet)) {
    let kinds = [
        ("often", DEADLY),
        ("each second", Sharing { every: Duration::from_secs(1), ..DEADLY }),
        ("first part", Sharing { parts: &["deadly", "folder"], ..DEADLY }),
        ("not repeated", Sharing { route: "once", ..DEADLY }),
    ];
    let mut violated = Vec::new();
    for (kind, deadly) in kinds {
        for boxes in [2, 6] {
            for seed in seeds.clone() {
                let mut fleet = troubled(boxes, deadly, seed);
                scenario(&mut fleet);
                let name = format!("{name}, {kind}, {boxes} boxes, seed {seed}");
                violated.extend(violations(&fleet, &name));
            }
        }
    }
    assert!(violated.is_empty(), "{}", violated.join("\n"));
}

/// Requests of which no two were alike shared one part, and crashed 95 engines: a request was known
/// again by its whole content only.
#[test]
fn harmful_part_repeated() {
    check("undisturbed", 1..=2, |fleet| fleet.run(TROUBLE_DURATION));
}

/// Boxes that were restarted had to learn of a part from the others or from the store.
#[test]
fn part_forgotten_on_restart() {
    check("one after the other", 3..=3, |fleet| {
        for number in 0..12 {
            fleet.run(Duration::from_millis(1700));
            fleet.restart([number % fleet.box_count()]);
        }
    });
    check("all at once", 4..=4, |fleet| {
        for pause in [900, 1300, 2000, 4000, 6000] {
            fleet.run(Duration::from_millis(pause));
            fleet.restart(0..fleet.box_count());
        }
        fleet.run(Duration::from_secs(5));
    });
}

/// All boxes were killed between the second and the fourth crash, and started later.
#[test]
fn part_forgotten_by_all() {
    for seed in 1..=2 {
        for crashes in 2..=4 {
            let mut fleet = troubled(6, DEADLY, seed);
            while fleet.crashes.harmful_crashes.len() < crashes {
                fleet.run(DEADLY.every + Duration::from_millis(70));
            }
            fleet.kill(0..6);
            fleet.run(Duration::from_millis(500));
            fleet.start(0..6);
            fleet.run(TROUBLE_DURATION);
            let found = violations(&fleet, &format!("killed after {crashes}, seed {seed}"));
            assert_eq!(found, None);
        }
    }
}

/// Boxes that receive no announcements have to learn of a crash from the store, and those that miss
/// single datagrams from later ones.
#[test]
fn part_unknown_without_datagrams() {
    check("all cut off from each other", 5..=5, |fleet| {
        for number in 0..fleet.box_count() {
            fleet.partition([number], number);
        }
        fleet.run(TROUBLE_DURATION);
    });
    check("halves", 6..=6, |fleet| {
        fleet.partition(0..fleet.box_count() / 2, 1);
        fleet.run(TROUBLE_DURATION);
    });
    check("lost datagrams", 7..=7, |fleet| {
        fleet.lost = 0.6;
        fleet.run(TROUBLE_DURATION);
    });
}

/// The store went back to a copy from before the trouble, and all boxes were restarted later.
#[test]
fn part_lost_with_store() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(6, seed);
        fleet.sharing = vec![HARMLESS];
        fleet.run(Duration::from_secs(12));
        let copy = fleet.store.clone();
        fleet.sharing.push(DEADLY);
        fleet.run(Duration::from_secs(8));
        fleet.store.restore(&copy);
        fleet.run(Duration::from_secs(8));
        fleet.restart(0..6);
        fleet.run(TROUBLE_DURATION);
        assert_eq!(violations(&fleet, &format!("restored, seed {seed}")), None);
    }
}

/// A case as boxes store it that know of requests only.
#[derive(Debug, Deserialize)]
struct RequestCase {
    /// The signature.
    signature: String,
    /// The crashes, by slot.
    crashes: [Option<Crash>; 3],
}

/// Boxes that know of requests only read the stored cases too; to them, that of a part is one of a
/// request that never comes.
#[test]
fn stored_part_misread() {
    let mut fleet = troubled(6, DEADLY, 1);
    fleet.run(Duration::from_secs(10));
    let stored = fleet.store.value(CASES, "requests").expect("the part is held");
    let cases: Vec<RequestCase> = serde_json::from_str(stored).expect("the list is read");
    let signature = Signature::of_part(MODEL, "deadly").text();
    let part = cases.iter().find(|it| it.signature == signature).expect("it is listed");
    assert_eq!(part.crashes.iter().flatten().count(), 3);
}

/// Requests with the part were rare, and each crash that was forgotten cost one more.
#[test]
fn rare_harmful_part() {
    for every in [5, 10] {
        let rare = Sharing { every: Duration::from_secs(every), ..DEADLY };
        let mut fleet = troubled(6, rare, 1);
        fleet.run(Duration::from_secs(every * 10));
        assert_eq!(violations(&fleet, &format!("each {every} s")), None);
    }
}

/// Two parts were harmful at the same time, and each prompt had another document besides.
#[test]
fn two_harmful_parts() {
    for seed in 1..=3 {
        let harmless = Sharing { document_count: 40, ..HARMLESS };
        let first = Sharing { document_count: 40, ..DEADLY };
        let second = Sharing { parts: &["system", "lethal"], ..first };
        let mut fleet = troubled(6, first, seed);
        fleet.sharing.extend([harmless, second]);
        fleet.run(TROUBLE_DURATION / 2);
        let arrivals = fleet.crashes.arrivals.len();
        fleet.run(TROUBLE_DURATION / 2);
        assert_eq!(fleet.crashes.arrivals.len(), arrivals, "seed {seed}");
        assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "seed {seed}");
        let held = fleet.held_parts();
        assert!(held.iter().map(|it| &**it).eq(["deadly", "lethal"]), "{held:?}, seed {seed}");
    }
}

/// Returns boxes whose requests share one popular part, another of a few and one of many documents.
fn popular(boxes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(boxes, seed);
    let rarely = Sharing { document_count: 500, ..HARMLESS };
    let often = Sharing { document_count: 8, route: "once", parts: &["system"], ..HARMLESS };
    fleet.sharing = vec![rarely, often];
    fleet.run(Duration::from_secs(8));
    fleet
}

/// Engines crashed without a cause in the prompts: one by one, a rack, all at once, again and again.
#[test]
fn harmless_part_held() {
    for seed in 1..=3 {
        let mut fleet = popular(6, seed);
        let engines = fleet.decode_engines();
        for round in 0..88 {
            fleet.run(Duration::from_millis(500));
            fleet.crash_all([engines[round % engines.len()]]);
            if round % 22 == 21 {
                fleet.crash_all(engines[..engines.len() / 3].iter().copied());
            }
        }
        fleet.crash_all(engines.iter().copied());
        fleet.run(Duration::from_secs(4));
        fleet.crash_all(engines.iter().copied());
        fleet.run(Duration::from_secs(4));
        assert_eq!(fleet.held_parts().len(), 0, "{:?}, seed {seed}", fleet.held_parts());
        assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "seed {seed}");
    }
}

/// Connections broke to engines that lived on.
#[test]
fn part_blamed_for_connections() {
    let mut fleet = popular(6, 1);
    let engines = fleet.decode_engines();
    for _ in 0..100 {
        fleet.run(Duration::from_millis(100));
        fleet.reset_all(engines.iter().copied());
    }
    assert_eq!(fleet.held_parts().len(), 0, "{:?}", fleet.held_parts());
    assert_eq!(fleet.crashes.wrongly_quarantined(), 0);
}

/// A part that crashes engines of a new version only: requests with it run at the old one.
#[test]
fn part_held_at_sound_version() {
    let mut fleet = troubled(6, DEADLY, 1);
    fleet.sound_version = Some("v1");
    fleet.run(Duration::from_secs(4));
    let engines = fleet.decode_engines();
    fleet.release(engines[..6].iter().copied(), "v2");
    fleet.run(Duration::from_secs(12));
    let crashes = fleet.crashes.harmful_crashes.len();
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes}");
    assert!(!fleet.held_parts().is_empty());
    let harmful = fleet.crashes.harmful.clone();
    let later = fleet.now();
    fleet.run(Duration::from_secs(5));
    let added = fleet.crashes.harmful.difference(&harmful).copied().collect();
    let (sent, served) = fleet.records.served_of(&added, later..fleet.now());
    assert!(sent >= 18 && served > 0.9, "{served} of {sent}");
}

/// Three versions served, and each of them could crash as many engines as one alone.
#[test]
fn crashes_counted_by_version() {
    for every in [250, 2000] {
        for seed in 1..=2 {
            let deadly = Sharing { every: Duration::from_millis(every), ..DEADLY };
            let mut fleet = Fleet::new(6, seed);
            fleet.sharing = vec![HARMLESS];
            let engines = fleet.decode_engines();
            fleet.run(Duration::from_secs(2));
            fleet.release(engines[..4].iter().copied(), "v2");
            fleet.release(engines[4..8].iter().copied(), "v3");
            fleet.run(Duration::from_secs(12));
            fleet.sharing.push(deadly);
            fleet.run(TROUBLE_DURATION + deadly.every * 5);
            assert_eq!(violations(&fleet, &format!("each {every} ms, seed {seed}")), None);
        }
    }
}

/// Engines of a new version no longer crash: the part is tried there, and held no more.
#[test]
fn part_held_at_repaired_version() {
    let mut fleet = troubled(6, DEADLY, 1);
    fleet.sound_version = Some("v2");
    fleet.run(Duration::from_secs(8));
    let engines = fleet.decode_engines();
    fleet.release(engines[..6].iter().copied(), "v2");
    fleet.run(Duration::from_secs(8));
    let crashes = fleet.crashes.harmful_crashes.len();
    assert!(crashes <= MAX_CRASHES, "{crashes}");
    let (harmful, later) = (fleet.crashes.harmful.clone(), fleet.now());
    fleet.run(Duration::from_secs(5));
    let added = fleet.crashes.harmful.difference(&harmful).copied().collect();
    let (sent, served) = fleet.records.served_of(&added, later..fleet.now());
    assert!(sent >= 18 && served > 0.9, "{served} of {sent}");
    assert_eq!(fleet.crashes.harmful_crashes.len(), crashes);
}

/// An operator releases a part; four more crashes hold it again.
#[test]
fn released_part_kept() {
    let mut fleet = troubled(6, DEADLY, 1);
    fleet.run(Duration::from_secs(10));
    let held = fleet.held_at(3);
    assert_eq!(held.len(), 1, "{held:?}");
    fleet.sharing.pop();
    fleet.release_held(3, &held[0]);
    fleet.run(Duration::from_secs(1));
    assert_eq!(fleet.held_parts().len(), 0);
    fleet.sharing.push(DEADLY);
    let before = fleet.crashes.harmful_crashes.len();
    fleet.run(Duration::from_secs(10));
    let crashes = fleet.crashes.harmful_crashes.len() - before;
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes}");
    assert_eq!(fleet.held_parts().len(), 1);
}

/// Each harmful request had the shared parts too, and harmless ones were rarer: no answer on the shared
/// parts was complete between two crashes, and some boxes had never completed one.
#[test]
fn shared_part_held() {
    for boxes in [2, 6] {
        for seed in 1..=6 {
            let mut fleet = Fleet::new(boxes, seed);
            fleet.sharing = vec![Sharing { every: Duration::from_secs(2), ..HARMLESS }];
            fleet.run(Duration::from_secs(16));
            fleet.sharing.push(DEADLY);
            fleet.run(Duration::from_secs(8));
            let held = fleet.held_parts();
            assert!(
                held.iter().map(|it| &**it).eq(["deadly"]),
                "{held:?}, {boxes} boxes, seed {seed}"
            );
            assert_eq!(fleet.crashes.wrongly_quarantined(), 0, "{boxes} boxes, seed {seed}");
        }
    }
}

/// Only the close of a connection ended streams, so that no answer was known to be complete: one crash
/// each 20 s held a popular part after the fourth.
#[test]
fn part_without_marked_answers_held() {
    let mut fleet = Fleet::new(6, 1);
    fleet.is_unmarked = true;
    fleet.sharing = vec![HARMLESS];
    fleet.run(Duration::from_secs(8));
    let engines = fleet.decode_engines();
    for &engine in engines.iter().take(6) {
        fleet.crash_all([engine]);
        fleet.run(Duration::from_secs(8));
        assert_eq!(fleet.held_parts().len(), 0, "{:?}", fleet.held_parts());
    }
    fleet.sharing.push(DEADLY);
    fleet.run(TROUBLE_DURATION);
    assert_eq!(violations(&fleet, "unmarked"), None);
}

/// A part came after 64 popular ones.
#[test]
fn last_of_many_parts_overlooked() {
    let mut names: Vec<&'static str> = (0..64).map(|it| &*format!("{it:x}").leak()).collect();
    names.push("deadly");
    let parts: &'static [&'static str] = names.leak();
    let mut fleet = Fleet::new(6, 1);
    fleet.sharing = vec![Sharing { parts: &parts[..64], ..HARMLESS }];
    fleet.run(Duration::from_secs(12));
    fleet.sharing.push(Sharing { parts, ..DEADLY });
    fleet.run(TROUBLE_DURATION);
    assert_eq!(violations(&fleet, "65th part"), None);
}

/// Two new parts always came together, and the first one that a box heard of was held in place of the
/// harmful one.
#[test]
fn companion_held_alone() {
    for name in ["novel", "a", "b", "c"] {
        let parts: &'static [&'static str] = vec!["system", name, "deadly"].leak();
        let mut fleet = troubled(6, Sharing { parts, ..DEADLY }, 1);
        fleet.run(Duration::from_secs(6));
        fleet.sharing = vec![HARMLESS, DEADLY];
        fleet.run(Duration::from_secs(10));
        let crashes = fleet.crashes.harmful_crashes.len();
        assert!(crashes <= MAX_CRASHES, "{crashes} crashes beside {name}");
    }
}

/// Requests crashed engines by their own content, and boxes that had just started knew of no answer on
/// the parts that others share with them.
#[test]
fn restart_forgets_answers() {
    let every = Duration::from_millis(500);
    let own = Sharing { parts: &["system", "folder"], every, ..DEADLY };
    let mut fleet = troubled(6, own, 1);
    fleet.run(Duration::from_secs(4));
    fleet.restart(0..6);
    fleet.run(Duration::from_secs(8));
    assert!(fleet.held_parts().is_empty(), "{:?}", fleet.held_parts());
    for number in 0..6 {
        fleet.restart([number]);
        fleet.run(Duration::from_secs(2));
    }
    assert!(fleet.held_parts().is_empty(), "{:?}", fleet.held_parts());
}

/// Boxes of an older version sent harmful requests on and on, and reported neither crashes nor answers:
/// boxes that replaced some of them held back what harmless requests share.
#[test]
fn older_boxes_hide_answers() {
    for seed in 1..=3 {
        let mut fleet = troubled(6, DEADLY, seed);
        fleet.older = (0..6).collect();
        fleet.restart(0..6);
        fleet.run(Duration::from_secs(4));
        for number in 0..6 {
            fleet.older.remove(&number);
            fleet.restart([number]);
            fleet.run(Duration::from_secs(3));
        }
        let held = fleet.held_parts();
        assert!(held.iter().all(|it| **it == *"deadly"), "seed {seed}: {held:?}");
        fleet.run(Duration::from_secs(10));
        let held = fleet.held_parts();
        assert!(held.len() == 1 && held.contains("deadly"), "seed {seed}: {held:?}");
    }
}

/// Connections to repaired engines broke while the part was tried there.
#[test]
fn broken_trial_counted_as_crash() {
    let mut fleet = troubled(6, DEADLY, 1);
    fleet.sound_version = Some("v2");
    fleet.run(Duration::from_secs(8));
    fleet.sharing.pop();
    let engines = fleet.decode_engines();
    fleet.release(engines[..6].iter().copied(), "v2");
    fleet.run(Duration::from_secs(8));
    fleet.sharing.push(Sharing { every: Duration::from_millis(500), ..DEADLY });
    for _ in 0..60 {
        fleet.run(Duration::from_millis(10));
        fleet.reset_all(engines[..6].iter().copied());
    }
    fleet.sharing = vec![HARMLESS, DEADLY];
    fleet.run(Duration::from_secs(5));
    let (harmful, later) = (fleet.crashes.harmful.clone(), fleet.now());
    fleet.run(Duration::from_secs(10));
    let added = fleet.crashes.harmful.difference(&harmful).copied().collect();
    let (sent, served) = fleet.records.served_of(&added, later..fleet.now());
    assert!(served > 0.9, "{served} of {sent}");
}

/// Requests of the same box ran at the engine of a new version on which a held part was tried.
#[test]
fn trial_at_new_version_joined() {
    let mut joined = Vec::new();
    for seed in 1..=6 {
        let mut fleet = troubled(1, DEADLY, seed);
        fleet.run(Duration::from_secs(8));
        fleet.traffic.streams = 150.0;
        fleet.crashes.joined.clear();
        let engines = fleet.decode_engines();
        for (number, version) in ["v2", "v3", "v4"].into_iter().enumerate() {
            let released = engines.iter().skip(number * 4).take(4);
            fleet.release(released.copied(), version);
            fleet.run(Duration::from_secs(5));
        }
        joined.push(fleet.crashes.joined.len());
    }
    assert!(joined.iter().all(|it| *it == 0), "{joined:?}");
}

/// A trial of a held part at a new version broke, and the next one began before its crash was confirmed.
#[test]
fn trial_at_new_version_repeated() {
    let mut added = Vec::new();
    for seed in 1..=6 {
        let mut fleet = troubled(1, DEADLY, seed);
        fleet.run(Duration::from_secs(8));
        let engines = fleet.decode_engines();
        for (number, version) in ["v2", "v3", "v4"].into_iter().enumerate() {
            let crashes = fleet.crashes.harmful_crashes.len();
            let released = engines.iter().skip(number * 4).take(4);
            fleet.release(released.copied(), version);
            fleet.run(Duration::from_secs(5));
            added.push(fleet.crashes.harmful_crashes.len() - crashes);
        }
    }
    assert!(added.iter().all(|it| *it == 1), "{added:?}");
}

/// Each of eight boxes tried a held part at each new version by itself, all at once.
#[test]
fn trial_at_new_version_by_each_box() {
    let deadly = Sharing { every: Duration::from_millis(55), ..DEADLY };
    let mut late = Vec::new();
    for seed in 1..=6 {
        let mut fleet = troubled(8, deadly, seed);
        fleet.run(Duration::from_secs(8));
        let engines = fleet.decode_engines();
        for (engine, version) in engines.into_iter().zip(["v2", "v3", "v4"]) {
            fleet.release([engine], version);
            fleet.run(Duration::from_secs(6));
        }
        late.push(fleet.crashes.arrivals_after(MAX_CRASHES, DETECTION_TIME).unwrap_or(0));
    }
    assert!(late.iter().all(|it| *it <= MAX_LATE_COUNT), "{late:?}");
}

/// A sound part was new and popular when a harmful one came with it: it was suspected until the first
/// long answer on it ended, and most requests with it were refused.
#[test]
fn new_popular_part_held() {
    for seed in 1..=3 {
        let mut fleet = Fleet::resuming(6, seed);
        fleet.stream_duration = Duration::from_secs(15);
        fleet.traffic.streams = 0.1;
        let every = Duration::from_millis(300);
        fleet.sharing = vec![Sharing { every: every * 2, ..HARMLESS }];
        fleet.run(Duration::from_secs(12));
        fleet.sharing = vec![
            Sharing { every, parts: &["novel"], ..HARMLESS },
            Sharing { parts: &["novel", "deadly"], ..DEADLY },
        ];
        fleet.run(Duration::from_secs(14));
        assert_eq!(violations(&fleet, &format!("15 s, seed {seed}")), None);
    }
}

/// The same with shorter answers and more requests: they waited for trials, and were refused as the
/// engines were not known to be sound in time.
#[test]
fn new_popular_part_refused() {
    for seed in 1..=3 {
        let mut fleet = Fleet::resuming(6, seed);
        fleet.stream_duration = Duration::from_secs(3);
        fleet.traffic.streams = 0.1;
        fleet.run(Duration::from_secs(5));
        let later = fleet.now();
        fleet.sharing = vec![
            Sharing { parts: &["novel"], ..HARMLESS },
            Sharing { parts: &["novel", "deadly"], ..DEADLY },
        ];
        fleet.run(Duration::from_secs(4));
        let (sent, served) = fleet.records.served_of(&fleet.crashes.sharing, later..fleet.now());
        assert!(served > 0.9, "{served:.2} of {sent}, seed {seed}");
    }
}

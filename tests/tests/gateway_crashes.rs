//! Requests that crash the engines that run them, and come again at any box.

use std::time::Duration;

use hollyspoke_tests::crashes::Harmful;
use hollyspoke_tests::fleet::Fleet;

/// The time after the third crash in which all boxes come to know.
const CONTACT: Duration = Duration::from_secs(3);

/// The repeats that are allowed later, over the whole time and all boxes.
const MOST_REPEATS: usize = 3;

/// How long a harmful request goes on coming.
const LASTS: Duration = Duration::from_secs(20);

/// A stream that may be resumed, twice a second.
const STREAM: Harmful =
    Harmful { route: "resumed", every: Duration::from_millis(500), when_read: false };

/// The harmful requests that are played.
const KINDS: [Harmful; 5] = [
    STREAM,
    Harmful { when_read: true, ..STREAM },
    Harmful { route: "once", ..STREAM },
    Harmful { route: "safe", ..STREAM },
    Harmful { route: "unsafe", ..STREAM },
];

/// Gives six boxes that have served for a while, and that a harmful request begins to come to.
fn troubled(harmful: Harmful, seed: u64) -> Fleet {
    let mut fleet = Fleet::settled(6, seed);
    fleet.harmful = Some(harmful);
    fleet
}

/// Plays a scenario with each kind of harmful request and some seeds, and checks that none of them
/// comes to engines more often than is allowed.
fn check_repeats(name: &str, play: impl Fn(&mut Fleet)) {
    let mut broken = Vec::new();
    for harmful in KINDS {
        for seed in 1..=3 {
            let mut fleet = troubled(harmful, seed);
            play(&mut fleet);
            let late = fleet.crashes.late_arrivals(CONTACT).unwrap_or(0);
            let crashes = fleet.crashes.caused.len();
            let refused = fleet.crashes.refused.len();
            let broken_off = fleet.crashes.broken_off.len();
            let asked = fleet.records.asked.len();
            let what = format!(
                "{name}, {harmful:?}, seed {seed}: {late} late arrivals, {crashes} crashes; of \
                 {asked} requests {refused} refused, {broken_off} broken off"
            );
            println!("{what}");
            if late > MOST_REPEATS {
                broken.push(what);
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// A request came again and again, at any box, and each engine that began to run it ended; the boxes
/// sent it on as if it had never been there. They noted `call failed` with `how=broken` and the
/// same path at one engine after the other, `repeat sent`, and `request ended` with `how=broken`;
/// 50 engines ended under one request, 23 times it was sent on later than three seconds after the
/// third. Here, with six boxes at the usual traffic, it came to engines 29 to 93 times more.
#[test]
fn harmful_request_is_held_back() {
    check_repeats("six boxes", |fleet| fleet.run(LASTS));
}

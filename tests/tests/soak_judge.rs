//! The soak's judge: what it finds, and must not find, in made-up records.

use hollyspoke_soak::judge::{Bounds, Finding, Promise, judge};
use hollyspoke_soak::keys::Caller;
use hollyspoke_soak::malformed::Flaw;
use hollyspoke_soak::observation::{
    BoxChange, Kind, LeaseEnd, MILLISECOND, Micros, Observation, RunEnd, SECOND, What, digest,
};
use hollyspoke_soak::own_run::foreign_bytes;
use hollyspoke_soak::standin::engine::event;

/// The body of all requests.
const BODY: &[u8] = b"body";

/// Makes an observation at a time in milliseconds.
fn at(millis: u64, what: What) -> Observation {
    Observation { at: 100 * SECOND + millis * MILLISECOND, what }
}

/// An attempt `r` that was sent to box 0.
fn sent(millis: u64, kind: Kind) -> Observation {
    let (attempt, path) = ("r".to_owned(), "/x/1".to_owned());
    let body = digest(BODY);
    let caller = caller("press", Some(1), 200);
    let deadline = 100 * SECOND + millis * MILLISECOND + 5 * SECOND;
    at(millis, What::Sent { attempt, kind, node: 0, path, body, after: 0, caller, deadline })
}

/// A customer's client with a key.
fn caller(customer: &str, key: Option<u64>, units: u64) -> Caller {
    Caller { customer: customer.to_owned(), key, units }
}

/// The same observation of another client.
fn by(mut it: Observation, new_caller: Caller) -> Observation {
    if let What::Sent { caller, .. } = &mut it.what {
        *caller = new_caller;
    }
    it
}

/// A run of it.
fn began(millis: u64, engine: &str) -> Observation {
    let (engine, attempt, path) = (engine.to_owned(), "r".to_owned(), "/x/1".to_owned());
    let (body, customer) = (digest(BODY), Some("press".to_owned()));
    let (is_reading, has_key, priority, copy) = (false, false, None, None);
    at(
        millis,
        What::Began { engine, attempt, path, body, is_reading, customer, has_key, priority, copy },
    )
}

/// The end of its run.
fn ended(millis: u64, engine: &str, how: RunEnd) -> Observation {
    let (engine, attempt) = (engine.to_owned(), "r".to_owned());
    at(millis, What::RunEnded { engine, attempt, how, body: 7, last_event: 0 })
}

/// Its answer.
fn answered(millis: u64, status: u16, body: u64, events: &[u64]) -> Observation {
    let (attempt, stamp) = ("r".to_owned(), Some("a".to_owned()));
    let events = events.to_vec();
    at(millis, What::Answered { attempt, status, stamp, body, events, is_own: true })
}

/// A change of box 0.
fn node(millis: u64, change: BoxChange) -> Observation {
    at(millis, What::Node { node: 0, change })
}

/// Box 0, started long ago.
fn running() -> Observation {
    node(0, BoxChange::Started)
}

/// Returns the promises that are found broken.
fn broken(observations: &[Observation]) -> Vec<Promise> {
    let found = judge(observations, &Bounds::default());
    found.iter().map(|it: &Finding| it.promise).collect()
}

#[test]
fn served_request() {
    let seen = [
        running(),
        sent(5000, Kind::Unsafe),
        began(5010, "a"),
        ended(5030, "a", RunEnd::Whole),
        answered(5031, 200, 7, &[]),
    ];
    assert_eq!(broken(&seen), []);
}

#[test]
fn second_run() {
    let twice = [running(), sent(5000, Kind::Unsafe), began(5010, "a"), began(5200, "b")];
    assert_eq!(broken(&twice), [Promise::RunsOnce]);
    let safe = [running(), sent(5000, Kind::Safe), began(5010, "a"), began(5200, "b")];
    assert_eq!(broken(&safe), []);
}

#[test]
fn run_after_refusal() {
    let seen = [running(), sent(5000, Kind::Once), answered(5010, 503, 0, &[]), began(6000, "a")];
    assert_eq!(broken(&seen), [Promise::RefusedIsNotRun]);
}

#[test]
fn altered_answer() {
    let seen = [
        running(),
        sent(5000, Kind::Safe),
        began(5010, "a"),
        ended(5030, "a", RunEnd::Whole),
        answered(5031, 200, 8, &[]),
    ];
    assert_eq!(broken(&seen), [Promise::WholeAnswer]);
}

#[test]
fn missing_event() {
    let count = 3 + digest(BODY) % 20;
    let whole: Vec<u64> = (1..=count).collect();
    let mut lacking = whole.clone();
    lacking.remove(1);
    let seen = |events: &[u64]| {
        [running(), sent(5000, Kind::Once), began(5010, "a"), answered(5900, 200, 0, events)]
    };
    assert_eq!(broken(&seen(&whole)), []);
    assert_eq!(broken(&seen(&lacking)), [Promise::EventsInOrder]);
}

#[test]
fn run_without_request() {
    assert_eq!(broken(&[running(), began(5000, "a")]), [Promise::AsAsked]);
}

#[test]
fn stop_cuts_request() {
    let cut = at(6100, What::Cut { attempt: "r".to_owned() });
    let mut seen = vec![
        running(),
        sent(5990, Kind::Once),
        began(6000, "a"),
        node(6000, BoxChange::Terminated),
        cut,
        ended(6101, "a", RunEnd::Dropped),
        node(6200, BoxChange::Ended),
    ];
    assert_eq!(broken(&seen), [Promise::StopCutsNothing]);
    seen.push(ended(6099, "a", RunEnd::Broken));
    seen.remove(5);
    assert_eq!(broken(&seen), [], "the engine broke off by itself");
}

#[test]
fn stop_without_end() {
    let late = at(20_000, What::AllRestarted);
    let seen = [running(), node(6000, BoxChange::Terminated), late];
    assert_eq!(broken(&seen), [Promise::StopCutsNothing]);
}

/// A request to box 0 for the route of one version.
fn probed(millis: u64, version: u64, status: u16) -> Observation {
    let sent: Micros = 100 * SECOND + millis * MILLISECOND;
    at(millis + 10, What::Probed { node: 0, version, sent, status })
}

#[test]
fn old_version() {
    let versions = [running(), at(0, What::Configured { version: 1 })];
    let second = at(10_000, What::Configured { version: 2 });
    let with = |probe: Observation| {
        let mut seen = versions.to_vec();
        seen.extend([second.clone(), probe]);
        broken(&seen)
    };
    assert_eq!(with(probed(12_000, 2, 404)), [], "it has four seconds");
    assert_eq!(with(probed(14_100, 2, 404)), [Promise::NewestVersion]);
    assert_eq!(with(probed(14_100, 1, 200)), [Promise::NewestVersion]);
    assert_eq!(with(probed(14_100, 1, 404)), []);
    let disturbed = at(9000, What::StoreDisturbed { span: SECOND });
    let seen =
        [versions[0].clone(), versions[1].clone(), second, disturbed, probed(14_100, 2, 404)];
    assert_eq!(broken(&seen), [], "the store was disturbed");
}

#[test]
fn several_lease_holders() {
    let order = |millis: u64, holder: &str, token: u64| {
        let (engine, stage) = ("a".to_owned(), "decode".to_owned());
        at(millis, What::Ordered { engine, holder: holder.to_owned(), token, stage })
    };
    assert_eq!(broken(&[order(0, "x", 5), order(4000, "y", 6)]), []);
    assert_eq!(broken(&[order(0, "x", 5), order(4000, "x", 5)]), []);
    assert_eq!(broken(&[order(0, "x", 5), order(1000, "y", 6)]), [Promise::OneHolder]);
    assert_eq!(broken(&[order(0, "x", 5), order(4000, "y", 4)]), [Promise::OneHolder]);
}

#[test]
fn unexpected_exit() {
    let killed = [running(), node(10, BoxChange::Killed), node(20, BoxChange::Ended)];
    assert_eq!(broken(&killed), []);
    assert_eq!(broken(&[running(), node(20, BoxChange::Ended)]), [Promise::StaysAlive]);
}

#[test]
fn memory_limit_exceeded() {
    let usage = |resident: u64| at(5, What::Usage { node: 0, resident, descriptors: 20 });
    assert_eq!(broken(&[running(), usage(20 << 20)]), []);
    assert_eq!(broken(&[running(), usage(65 << 20)]), [Promise::Bounded]);
}

/// A box finishes with a malformed request in time, unless something disturbs the box.
#[test]
fn malformed_request_kept() {
    let flawed = |span: Micros, is_done| {
        at(9000, What::Flawed { node: 0, flaw: Flaw::HalfHead, span, is_done })
    };
    assert_eq!(broken(&[running(), flawed(3 * SECOND, true)]), []);
    assert_eq!(broken(&[running(), flawed(7 * SECOND, true)]), [Promise::FlawsEnd]);
    assert_eq!(broken(&[running(), flawed(8 * SECOND, false)]), [Promise::FlawsEnd]);
    let paused = [running(), node(4000, BoxChange::Paused), node(6500, BoxChange::Resumed)];
    assert_eq!(broken(&[&paused[..], &[flawed(7 * SECOND, true)]].concat()), []);
}

#[test]
fn runs_after_disconnect() {
    let mut seen = vec![running()];
    for number in 0..4_u64 {
        let attempt = format!("r{number}");
        let (path, body) = ("/x/1".to_owned(), digest(BODY));
        let (kind, after) = (Kind::Once, 0);
        let left = attempt.clone();
        let sent = What::Sent {
            attempt: attempt.clone(),
            kind,
            node: 0,
            path: path.clone(),
            body,
            after,
            caller: caller("press", Some(1), 200),
            deadline: 110 * SECOND,
        };
        seen.push(at(5000, sent));
        let mut began = began(5010, "a");
        if let What::Began { attempt: name, .. } = &mut began.what {
            *name = attempt;
        }
        seen.push(began);
        seen.push(at(5100, What::Left { attempt: left }));
    }
    assert_eq!(broken(&seen), [Promise::MemoryFreed]);
    for number in 0..4_u64 {
        let (engine, attempt) = ("a".to_owned(), format!("r{number}"));
        let how = RunEnd::Dropped;
        seen.push(at(5200, What::RunEnded { engine, attempt, how, body: 0, last_event: 1 }));
    }
    assert_eq!(broken(&seen), []);
}

/// A version that was acknowledged.
fn configured(millis: u64, version: u64) -> Observation {
    at(millis, What::Configured { version })
}

#[test]
fn unknown_key() {
    let made_up = by(sent(5000, Kind::Safe), caller("press", None, 200));
    assert_eq!(broken(&[running(), made_up.clone(), began(5010, "a")]), [Promise::KnownKey]);
    assert_eq!(broken(&[running(), made_up, answered(5010, 401, 0, &[])]), []);
}

#[test]
fn removed_key() {
    let seen = |sent_at: u64| {
        let versions = [configured(0, 1), configured(100, 2), configured(20_000, 3)];
        let try_of = [sent(sent_at, Kind::Safe), began(sent_at + 10, "a")];
        let mut seen = vec![running()];
        seen.extend(versions);
        seen.extend(try_of);
        seen
    };
    assert_eq!(broken(&seen(22_000)), [], "within the bound");
    assert_eq!(broken(&seen(24_500)), [Promise::KnownKey]);
    let mut disturbed = seen(24_500);
    disturbed.push(node(23_000, BoxChange::Disturbed));
    assert_eq!(broken(&disturbed), []);
}

#[test]
fn known_key_refused() {
    let seen = |version: u64| {
        let refused = [sent(15_000, Kind::Safe), answered(15_010, 401, 0, &[])];
        let mut seen = vec![running(), configured(0, 1), configured(100, version)];
        seen.extend(refused);
        seen
    };
    assert_eq!(broken(&seen(2)), [Promise::KeyAccepted]);
    assert_eq!(broken(&seen(3)), [], "version 3 holds it no more");
}

#[test]
fn key_seen() {
    let mut shown = began(5010, "a");
    if let What::Began { has_key, .. } = &mut shown.what {
        *has_key = true;
    }
    let seen = [running(), sent(5000, Kind::Safe), shown];
    assert_eq!(broken(&seen), [Promise::KeyHidden]);
    let in_a_log = at(5000, What::KeyFound { place: "the log of box 0".to_owned() });
    assert_eq!(broken(&[running(), in_a_log]), [Promise::KeyHidden]);
}

#[test]
fn other_customer() {
    let town = by(sent(5000, Kind::Safe), caller("town", Some(1), 200));
    assert_eq!(broken(&[running(), town, began(5010, "a")]), [Promise::RightCustomer]);
}

/// Returns attempts of the limited customer, one each 100 ms, that all run.
fn flood(count: u64, units: u64) -> Vec<Observation> {
    let mut seen = vec![running()];
    for number in 0..count {
        let id = format!("r{number}");
        let millis = 5000 + 100 * number;
        let mut sent = by(sent(millis, Kind::Safe), caller("night", Some(1), units));
        let mut began = began(millis + 5, "a");
        if let What::Sent { attempt, .. } = &mut sent.what {
            attempt.clone_from(&id);
        }
        if let What::Began { attempt, customer, .. } = &mut began.what {
            attempt.clone_from(&id);
            *customer = Some("night".to_owned());
        }
        seen.extend([sent, began]);
    }
    seen
}

#[test]
fn customer_limit_exceeded() {
    assert_eq!(broken(&flood(200, 850)), [], "68,850 in a window where 69,500 are allowed");
    assert_eq!(broken(&flood(200, 870)), [Promise::WithinLimit]);
    // Requests that waited at an upstream that stood still count when they run.
    let mut waited = flood(200, 850);
    let (from, until) = (106 * SECOND, 109 * SECOND);
    for it in waited.iter_mut().filter(|it| matches!(it.what, What::Began { .. })) {
        it.at = if it.at >= from { it.at.max(until + 5 * MILLISECOND) } else { it.at };
    }
    waited.push(stood_still(9000));
    assert_eq!(broken(&waited), [Promise::WithinLimit]);
}

#[test]
fn refused_without_a_limit() {
    let refused = answered(5010, 429, 0, &[]);
    let free = [running(), sent(5000, Kind::Safe), refused.clone()];
    assert_eq!(broken(&free), [Promise::LimitedOnly]);
    let night = by(sent(5000, Kind::Safe), caller("night", Some(1), 200));
    assert_eq!(broken(&[running(), night, refused]), []);
}

/// Attempts with harmful paths, a second apart, each of which another upstream receives.
fn harmful(count: u64, new_path: impl Fn(u64) -> String) -> Vec<Observation> {
    let mut seen = vec![running()];
    for number in 0..count {
        let millis = 5000 + 1000 * number;
        let mut pair = [sent(millis, Kind::Safe), began(millis + 10, &format!("e-{number}"))];
        for it in &mut pair {
            match &mut it.what {
                What::Sent { attempt, path, .. } | What::Began { attempt, path, .. } => {
                    *attempt = format!("r-{number}");
                    *path = new_path(number);
                }
                _ => {}
            }
        }
        seen.extend(pair);
    }
    seen
}

/// Three runs crash upstreams, the fourth to seventh begin before all boxes have been informed, and
/// three more are allowed.
#[test]
fn harmful_request_not_quarantined() {
    let same = |count| harmful(count, |_| "/safe/harmful".to_owned());
    assert_eq!(broken(&same(10)), []);
    assert_eq!(broken(&same(11)), [Promise::HarmHeldBack]);
    let mut disturbed = same(11);
    disturbed.push(at(5000, What::StoreDisturbed { span: 20 * SECOND }));
    assert_eq!(broken(&disturbed), []);
}

/// Requests that share only a part of their prompts may crash five upstreams.
#[test]
fn harmful_part_not_quarantined() {
    let varied = |count| harmful(count, |it| format!("/once/harmful-part/{it}"));
    assert_eq!(broken(&varied(12)), []);
    assert_eq!(broken(&varied(13)), [Promise::PartHeldBack]);
    let mut disturbed = varied(13);
    disturbed.push(at(5000, What::StoreDisturbed { span: 20 * SECOND }));
    assert_eq!(broken(&disturbed), []);
}

/// Crashes under a part count once the last box of an older version has been replaced.
#[test]
fn harmful_part_beside_older_box() {
    let mut seen = harmful(13, |it| format!("/once/harmful-part/{it}"));
    let replace =
        |millis| at(millis, What::Fault { name: "Replace { node: 0 }".to_owned(), span: 0 });
    seen.push(replace(4000));
    assert_eq!(broken(&seen), [Promise::PartHeldBack]);
    seen.push(replace(60_000));
    assert_eq!(broken(&seen), []);
}

/// A quarantine of a part of prompts refuses no stream without it.
#[test]
fn harmless_stream_quarantined() {
    let refused = [running(), sent(5000, Kind::Once), answered(5010, 400, 0, &[])];
    assert_eq!(broken(&refused), [Promise::PartHeldBack]);
    let mut held = refused.clone();
    if let What::Sent { path, .. } = &mut held[1].what {
        "/once/harmful-part/1".clone_into(path);
    }
    assert_eq!(broken(&held), []);
}

/// An upstream that takes two requests a second from 4 s on, and gets one every so many milliseconds
/// until 14 s, each answered after 10 ms.
fn pressed(every: u64) -> Vec<Observation> {
    let limited = |milli| What::Limited { engine: "a".to_owned(), milli };
    let mut seen = vec![running(), at(4000, limited(2000)), at(14_000, limited(0))];
    for millis in (3000..20_000).step_by(every as usize) {
        let run =
            [sent(millis, Kind::Safe), began(millis, "a"), ended(millis + 10, "a", RunEnd::Whole)];
        seen.extend(run.map(|mut it| {
            match &mut it.what {
                What::Sent { attempt, .. }
                | What::Began { attempt, .. }
                | What::RunEnded { attempt, .. } => *attempt = format!("r-{millis}"),
                _ => {}
            }
            it
        }));
    }
    seen
}

/// Of two a second 17 are allowed in 4 s.
#[test]
fn upstream_limit_exceeded() {
    assert_eq!(broken(&pressed(250)), []);
    assert_eq!(broken(&pressed(200)), [Promise::LimitKept]);
    // A new incarnation starts without a limit.
    let mut reborn = pressed(200);
    reborn.push(at(5000, What::EngineGone { engine: "a".to_owned() }));
    assert_eq!(broken(&reborn), []);
    // Requests that waited at an upstream that stood still count when it reads them.
    let mut waited = pressed(250);
    for it in &mut waited {
        let is_run = matches!(it.what, What::Began { .. } | What::RunEnded { .. });
        if is_run && it.at >= 106 * SECOND && it.at < 108 * SECOND {
            it.at = 108 * SECOND + 5 * MILLISECOND;
        }
    }
    waited.push(stood_still(8000));
    assert_eq!(broken(&waited), [Promise::LimitKept]);
    // A box that was paused is excused for what it sent right after.
    let mut paused = pressed(200);
    for millis in (4500..14_000).step_by(2500) {
        paused.extend([node(millis, BoxChange::Paused), node(millis + 1, BoxChange::Resumed)]);
    }
    assert_eq!(broken(&paused), []);
}

/// Renames the attempt of an observation.
fn named(mut it: Observation, name: &str) -> Observation {
    match &mut it.what {
        What::Sent { attempt, .. }
        | What::Began { attempt, .. }
        | What::RunEnded { attempt, .. }
        | What::TurnedAway { attempt, .. }
        | What::AskedForRest { attempt, .. }
        | What::Answered { attempt, .. } => name.clone_into(attempt),
        _ => {}
    }
    it
}

/// A served attempt with a name of its own, sent at a time.
fn served(millis: u64, name: &str) -> Vec<Observation> {
    let seen = [
        sent(millis, Kind::Safe),
        began(millis + 1, "a"),
        ended(millis + 20, "a", RunEnd::Whole),
        answered(millis + 21, 200, 7, &[]),
    ];
    seen.into_iter().map(|it| named(it, name)).collect()
}

/// An upstream announces its shutdown at 4 s. Its box forwards that answer at 5.021 s, and sends the
/// upstream one more request that its client has sent some time later.
fn told_to_leave(later: u64) -> Vec<Observation> {
    let mut seen = vec![running(), at(4000, What::Leaving { engine: "a".to_owned() })];
    seen.extend(served(5000, "first"));
    seen.extend(served(5021 + later, "second"));
    seen
}

#[test]
fn request_to_leaving_upstream() {
    assert_eq!(broken(&told_to_leave(1990)), []);
    assert_eq!(broken(&told_to_leave(2010)), [Promise::LeavingKept]);
    // A new incarnation, or a box that was down since, is excused; a partition is no excuse.
    let mut reborn = told_to_leave(2010);
    reborn.push(at(6000, What::EngineGone { engine: "a".to_owned() }));
    assert_eq!(broken(&reborn), []);
    let mut restarted = told_to_leave(2010);
    restarted.extend([node(6000, BoxChange::Killed), node(6400, BoxChange::Started)]);
    assert_eq!(broken(&restarted), []);
    let mut cut = told_to_leave(2010);
    cut.push(node(6000, BoxChange::Disturbed));
    assert_eq!(broken(&cut), [Promise::LeavingKept]);
}

/// An upstream's entry is marked as draining at 4 s. Box 0 sends it one more request that its client has
/// sent some time later.
fn entered_to_leave(later: u64) -> Vec<Observation> {
    let mut seen = vec![running(), at(4000, What::EntryLeaving { engine: "a".to_owned() })];
    seen.extend(served(4000 + later, "late"));
    seen
}

#[test]
fn request_to_draining_entry() {
    assert_eq!(broken(&entered_to_leave(1990)), []);
    assert_eq!(broken(&entered_to_leave(2010)), [Promise::EntryKept]);
    // A new incarnation, a box that is cut off, and a box without a store are excused.
    for excuse in [
        at(6000, What::EngineGone { engine: "a".to_owned() }),
        node(2000, BoxChange::Disturbed),
        at(5000, What::StoreDisturbed { span: SECOND }),
    ] {
        let mut seen = entered_to_leave(2010);
        seen.push(excuse);
        assert_eq!(broken(&seen), []);
    }
}

/// An upstream rejects an attempt at 5.010 s and asks for a back-off of 3 s. Its box retries the attempt
/// elsewhere and sends the upstream some more requests, one each half second.
fn asked_for_rest(count: u64) -> Vec<Observation> {
    let (engine, attempt) = ("a".to_owned(), "first".to_owned());
    let refused = [
        sent(5000, Kind::Safe),
        at(
            5010,
            What::AskedForRest { engine: engine.clone(), attempt: attempt.clone(), milli: 3000 },
        ),
        at(5010, What::TurnedAway { engine, attempt }),
        answered(5020, 503, 0, &[]),
    ];
    let mut seen = vec![running()];
    seen.extend(refused.into_iter().map(|it| named(it, "first")));
    for number in 0..count {
        seen.extend(served(5800 + 500 * number, &format!("later-{number}")));
    }
    seen
}

/// The box's process was replaced before the upstream answered it.
#[test]
fn back_off_of_ended_process() {
    let mut seen = asked_for_rest(3);
    seen.insert(2, node(5001, BoxChange::Killed));
    seen.insert(3, node(5005, BoxChange::Started));
    assert_eq!(broken(&seen), []);
    let mut seen = asked_for_rest(3);
    seen.insert(1, node(4990, BoxChange::Killed));
    seen.insert(2, node(4995, BoxChange::Started));
    assert_eq!(broken(&seen), [Promise::RestKept], "the process that sent the request was told");
}

/// The box's links were muted before the upstream answered it, or the box was paused.
#[test]
fn back_off_on_lost_connection() {
    let with = |change| {
        let mut seen = asked_for_rest(3);
        seen.insert(2, node(5001, change));
        broken(&seen)
    };
    assert_eq!(with(BoxChange::Disturbed), []);
    assert_eq!(with(BoxChange::Resumed), [Promise::RestKept], "it reads the answer");
}

/// Two requests may arrive during the back-off.
#[test]
fn requests_during_back_off() {
    assert_eq!(broken(&asked_for_rest(2)), []);
    assert_eq!(broken(&asked_for_rest(3)), [Promise::RestKept]);
    let mut cut = asked_for_rest(3);
    cut.push(node(5500, BoxChange::Disturbed));
    assert_eq!(broken(&cut), []);
    // A box that did not retry the attempt may not have received the rejection.
    let mut lost = asked_for_rest(3);
    lost.retain(|it| !matches!(it.what, What::Answered { status: 503, .. }));
    assert_eq!(broken(&lost), []);
}

/// The rejection that asks for a back-off, which is observed later than the request for it, does not
/// show that its box has received it; nor does an attempt that had ended.
#[test]
fn back_off_not_received() {
    let (engine, attempt) = ("a".to_owned(), "first".to_owned());
    let mut seen = asked_for_rest(3);
    seen.retain(|it| !matches!(it.what, What::TurnedAway { .. }));
    seen.push(at(5011, What::TurnedAway { engine, attempt: attempt.clone() }));
    assert_eq!(broken(&seen), [Promise::RestKept]);
    let mut left = seen.clone();
    left.push(at(5005, What::Left { attempt: attempt.clone() }));
    assert_eq!(broken(&left), [], "its client had left");
    let mut cut = seen.clone();
    cut.push(at(5005, What::Cut { attempt }));
    assert_eq!(broken(&cut), [], "its connection had ended");
    cut.extend([node(5004, BoxChange::Killed), node(5008, BoxChange::Started)]);
    assert_eq!(broken(&cut), [], "the process that sent it had been killed");
    seen.retain(|it| !matches!(it.what, What::Answered { status: 503, .. }));
    assert_eq!(broken(&seen), [], "its box did not continue");
}

/// Requests to the next incarnation of an upstream don't count, those to the one that asked do.
#[test]
fn back_off_of_earlier_incarnation() {
    let gone = |millis| at(millis, What::EngineGone { engine: "a".to_owned() });
    let with = |ends: &[u64]| {
        let mut seen = asked_for_rest(4);
        seen.extend(ends.iter().map(|&it| gone(it)));
        broken(&seen)
    };
    assert_eq!(with(&[6000]), []);
    assert_eq!(with(&[6000, 9000]), [], "one request before its end");
    assert_eq!(with(&[6500, 9000]), [], "two requests before its end");
    assert_eq!(with(&[7000, 9000]), [Promise::RestKept], "three requests before its end");
    assert_eq!(with(&[1000]), [Promise::RestKept], "it had begun after that");
}

/// Requests that wait at an upstream that stands still count when it reads them.
#[test]
fn back_off_before_standing_still() {
    let with = |sent_at: u64, until: u64| {
        let mut seen = asked_for_rest(0);
        let since = 105_100 * MILLISECOND;
        seen.push(at(until, What::StoodStill { engine: "a".to_owned(), since }));
        for number in 0..3 {
            let run = [sent(sent_at, Kind::Safe), began(until + 5, "a")];
            seen.extend(run.map(|it| named(it, &format!("waited-{number}"))));
        }
        broken(&seen)
    };
    assert_eq!(with(5050, 7500), [Promise::RestKept], "read while it rests");
    assert_eq!(with(7000, 8100), [], "read after its rest");
}

#[test]
fn datagram_not_read() {
    let seen = [running(), at(5000, What::NotRead { node: 0, lines: 2 })];
    assert_eq!(broken(&seen), [Promise::Understood]);
}

/// A run that goes on from a copy.
fn continued(millis: u64, engine: &str, name: &str) -> Observation {
    let mut it = began(millis, engine);
    if let What::Began { copy, .. } = &mut it.what {
        *copy = Some(name.to_owned());
    }
    it
}

/// A run that goes on from a copy is the same run, once for each copy.
#[test]
fn moved_stream() {
    let seen = |runs: &[Observation]| {
        let mut seen = vec![running(), sent(5000, Kind::Once), began(5010, "a")];
        seen.push(ended(5100, "a", RunEnd::Moved));
        seen.extend_from_slice(runs);
        seen
    };
    assert_eq!(broken(&seen(&[continued(5110, "b", "c1")])), []);
    assert_eq!(broken(&seen(&[continued(5110, "b", "c1"), continued(5300, "d", "c2")])), []);
    assert_eq!(broken(&seen(&[began(5110, "b")])), [Promise::RunsOnce]);
    let twice = [continued(5110, "b", "c1"), continued(5120, "d", "c1")];
    assert_eq!(broken(&seen(&twice)), [Promise::RunsOnce]);
}

/// A stream that goes on from a copy while it still runs where it was copied.
#[test]
fn moved_stream_runs_on() {
    let seen = |ended_at| {
        let mut seen = vec![running(), sent(5000, Kind::Once), began(5010, "a")];
        let (engine, name, attempt) = ("a".to_owned(), "c1".to_owned(), "r".to_owned());
        let (is_final, is_answered) = (true, true);
        let copied = What::Transferred { engine, name, attempt, is_final, is_answered };
        seen.push(at(5050, copied));
        seen.push(continued(5110, "b", "c1"));
        seen.push(ended(ended_at, "a", RunEnd::Moved));
        seen
    };
    assert_eq!(broken(&seen(5105)), []);
    assert_eq!(broken(&seen(5600)), [Promise::RunsOnce]);
}

/// The continuation of a moved stream does not count as a retry.
#[test]
fn moves_within_the_retry_budget() {
    let mut seen = vec![running()];
    for number in 0..100_u64 {
        let name = format!("m{number}");
        let move_to = continued(5110 + number, "b", &name);
        for it in [sent(5000 + number, Kind::Once), began(5010 + number, "a"), move_to] {
            seen.push(named(it, &name));
        }
    }
    assert_eq!(broken(&seen), []);
}

/// A reservation of engine `a`.
fn reserved(millis: u64, name: &str, is_answered: bool) -> Observation {
    let (engine, name) = ("a".to_owned(), name.to_owned());
    at(millis, What::Reserved { engine, name, tokens: 500, is_answered })
}

/// A request that names a reservation.
fn presented(millis: u64, name: &str, attempt: &str) -> Observation {
    let (engine, name, attempt) = ("a".to_owned(), name.to_owned(), attempt.to_owned());
    at(millis, What::ReservationPresented { engine, name, attempt })
}

/// The end of a reservation.
fn reservation_ended(millis: u64, name: &str, how: LeaseEnd) -> Observation {
    let (engine, name) = ("a".to_owned(), name.to_owned());
    at(millis, What::ReservationEnded { engine, name, how })
}

#[test]
fn reservation_used_twice() {
    let used = [
        running(),
        reserved(5000, "x", true),
        presented(5100, "x", "r"),
        reservation_ended(5101, "x", LeaseEnd::Used),
    ];
    assert_eq!(broken(&used), []);
    let again = [&used[..], &[presented(5200, "x", "r")]].concat();
    assert_eq!(broken(&again), [Promise::ReservedOnce]);
    let other = [&used[..2], &[presented(5100, "x", "r"), presented(5110, "x", "s")]].concat();
    assert_eq!(broken(&other), [Promise::ReservedOnce]);
    let rejected = [&used[..2], &[presented(5050, "x", "r")], &used[2..]].concat();
    assert_eq!(broken(&rejected), [], "it came again after it had been rejected");
}

/// Returns whether an observation is of one of these reservations.
fn is_of(observation: &Observation, names: &[&str]) -> bool {
    match &observation.what {
        What::Reserved { name, .. } | What::ReservationEnded { name, .. } => {
            names.contains(&name.as_str())
        }
        _ => false,
    }
}

/// Reservations of which each lapses, or is dropped.
fn reservations(is_answered: bool, how: LeaseEnd) -> Vec<Observation> {
    let mut seen = vec![running()];
    for number in 0..6_u64 {
        let name = format!("x{number}");
        seen.push(reserved(5000 + number, &name, is_answered));
        seen.push(reservation_ended(7000 + number, &name, how));
    }
    seen
}

#[test]
fn reservations_that_lapse() {
    let lapsed = reservations(true, LeaseEnd::Lapsed);
    assert_eq!(broken(&lapsed), [Promise::ReservationsFreed]);
    assert_eq!(broken(&reservations(true, LeaseEnd::Dropped)), []);
    assert_eq!(broken(&reservations(false, LeaseEnd::Lapsed)), [], "their answers were lost");
    let killed = [&lapsed[..], &[node(5500, BoxChange::Killed)]].concat();
    assert_eq!(broken(&killed), [], "a box was killed");
    let still = [&lapsed[..], &[stood_still(7500)]].concat();
    assert_eq!(broken(&still), [Promise::ReservationsFreed], "the engine stood still");
    let fault = at(5500, What::Fault { name: "HoldLinks".to_owned(), span: SECOND });
    let late = [&lapsed[..], &[fault]].concat();
    assert_eq!(broken(&late), [], "answers may be late");
    let named = (0..6).map(|it| presented(5600 + it, &format!("x{it}"), &format!("r{it}")));
    let known = [late, named.collect()].concat();
    assert_eq!(broken(&known), [Promise::ReservationsFreed], "the box knows them");
}

/// Reservations that are dropped, many for each one that lapses.
#[test]
fn busy_reservations_hide_lapses() {
    let mut seen = reservations(true, LeaseEnd::Lapsed);
    for number in 0..60_u64 {
        let name = format!("y{number}");
        seen.push(reserved(5000 + number * 20, &name, true));
        seen.push(reservation_ended(5010 + number * 20, &name, LeaseEnd::Dropped));
    }
    assert_eq!(broken(&seen), [Promise::ReservationsFreed]);
    let fault = at(5500, What::Fault { name: "LoseAnswers".to_owned(), span: SECOND });
    let lossy = [&seen[..], &[fault]].concat();
    assert_eq!(broken(&lossy), [], "requests that drop them may be lost");
    let some: Vec<_> =
        seen.into_iter().filter(|it| !is_of(it, &["x2", "x3", "x4", "x5"])).collect();
    assert_eq!(broken(&some), [], "two of them");
}

/// Copies of streams that run at engine `a`, kept at engine `b`.
fn copies(is_answered: bool, how: LeaseEnd) -> Vec<Observation> {
    let mut seen = vec![running(), sent(4990, Kind::Once)];
    for number in 0..6_u64 {
        let (name, attempt) = (format!("c{number}"), "r".to_owned());
        let (engine, is_final) = ("a".to_owned(), false);
        let moved =
            What::Transferred { engine, name: name.clone(), attempt, is_final, is_answered };
        seen.push(at(5000 + number, moved));
        seen.push(at(6500 + number, What::CopyEnded { engine: "b".to_owned(), name, how }));
    }
    seen
}

#[test]
fn copies_that_lapse() {
    let lapsed = copies(true, LeaseEnd::Lapsed);
    assert_eq!(broken(&lapsed), [Promise::CopiesFreed]);
    assert_eq!(broken(&copies(true, LeaseEnd::Used)), []);
    assert_eq!(broken(&copies(false, LeaseEnd::Lapsed)), [], "their answers were lost");
    let still = [&lapsed[..], &[stood_still(7500)]].concat();
    assert_eq!(broken(&still), [Promise::CopiesFreed], "the engine stood still");
    let paused = [node(5600, BoxChange::Paused), node(5900, BoxChange::Resumed)];
    assert_eq!(broken(&[&lapsed[..], &paused].concat()), [], "the box was paused");
}

/// Requests of two customers at the same time, a tenth of those of one of them refused.
fn overload(refused: &str) -> Vec<Observation> {
    let mut seen = vec![running()];
    for number in 0..400_u64 {
        for customer in ["press", "town"] {
            let millis = 5000 + number * 10;
            let id = format!("{customer}-{number}");
            let is_refused = customer == refused && number.is_multiple_of(10);
            let status = if is_refused { 503 } else { 404 };
            let request = by(sent(millis, Kind::Once), caller(customer, Some(1), 200));
            let answer = answered(millis + 5, status, 0, &[]);
            seen.extend([named(request, &id), named(answer, &id)]);
        }
    }
    seen
}

/// The most urgent customer may be refused less often than another one, but not more often.
#[test]
fn urgent_requests_refused() {
    assert_eq!(broken(&overload("town")), []);
    assert_eq!(broken(&overload("press")), [Promise::UrgentFirst]);
    assert_eq!(broken(&overload("none")), []);
}

/// Runs of two customers with the priorities that the upstream received.
fn prioritised(press: u8, town: u8) -> Vec<Observation> {
    let mut seen = vec![running()];
    for (name, given) in [("press", press), ("town", town)] {
        let mut run = named(began(5010, "a"), name);
        if let What::Began { priority, customer, .. } = &mut run.what {
            *priority = Some(given);
            *customer = Some(name.to_owned());
        }
        let request = by(sent(5000, Kind::Once), caller(name, Some(1), 200));
        seen.extend([named(request, name), run]);
    }
    seen
}

/// The upstream may get the same priority for two ranks, but not a reversed order.
#[test]
fn priority_out_of_order() {
    assert_eq!(broken(&prioritised(0, 1)), []);
    assert_eq!(broken(&prioritised(1, 1)), []);
    assert_eq!(broken(&prioritised(2, 1)), [Promise::PriorityInOrder]);
}

/// A client that got bytes of no run shows it, whether or not its answer looks complete.
#[test]
fn foreign_bytes_missed() {
    let all: Vec<u64> = (1..=3 + digest(BODY) % 20).collect();
    let answered = answered(400, 200, 0, &all);
    let seen = [sent(0, Kind::Resumed), answered.clone()];
    assert_eq!(broken(&seen), []);
    let (attempt, excerpt) = ("r".to_owned(), "gar bage".to_owned());
    let foreign = at(300, What::Foreign { attempt, excerpt });
    let seen = [sent(0, Kind::Resumed), foreign.clone(), answered];
    assert_eq!(broken(&seen), [Promise::OwnRun]);
    assert_eq!(broken(&[sent(0, Kind::Once), foreign, cut(400)]), [Promise::OwnRun]);
}

/// Returns whether bytes are other than the events 3 to 5 of the attempt `r`.
fn has_foreign(bytes: &str, is_complete: bool) -> bool {
    foreign_bytes(bytes.as_bytes(), "r", 3..=5, is_complete).is_some()
}

#[test]
fn foreign_bytes_overlooked() {
    let [third, fourth, fifth] = [3, 4, 5].map(|it| event("r", it, "v2"));
    let whole = format!("{third}{fourth}{fifth}");
    assert!(!has_foreign(&whole, true));
    assert!(!has_foreign("", false));
    for length in 0..whole.len() {
        assert!(!has_foreign(&whole[..length], false), "{length}");
    }
    let spoilt = [
        format!("gar bage\n\n{whole}"),
        format!("{third}gar bage\n\n{fourth}{fifth}"),
        format!("{whole}gar bage"),
        format!("{whole}HTTP/1.1 200 OK\r\n\r\n{third}"),
        format!("{third}id:\n: v2\ndata: r 4\n\n"),
        format!("{third}{third}"),
        format!("{third}{fifth}"),
        format!("{third}{}", event("other", 4, "v2")),
        format!("{third}gar bage"),
        event("r", 2, "v2"),
        format!("{whole}{}", event("r", 6, "v2")),
    ];
    for bytes in spoilt {
        assert!(has_foreign(&bytes, false), "{bytes:?}");
        assert!(has_foreign(&bytes, true), "{bytes:?}");
    }
    assert!(has_foreign(&whole[..whole.len() - 1], true));
}

/// A client that has events of two software versions for one stream shows that versions were mixed,
/// unless boxes run that don't know them.
#[test]
fn mixed_software_missed() {
    let mixed = at(300, What::Mixed { attempt: "r".to_owned() });
    let seen = [sent(0, Kind::Resumed), mixed];
    assert_eq!(broken(&seen), [Promise::OneSoftware]);
    let bounds = Bounds { reads_software: false, ..Bounds::default() };
    assert_eq!(judge(&seen, &bounds), []);
}

/// Engine `a` stood still from 6 s to another time.
fn stood_still(until: u64) -> Observation {
    let since = 100 * SECOND + 6000 * MILLISECOND;
    at(until, What::StoodStill { engine: "a".to_owned(), since })
}

/// The connection of its client ended.
fn cut(millis: u64) -> Observation {
    at(millis, What::Cut { attempt: "r".to_owned() })
}

/// A stream that is dropped at engine `a`, which stood still from 6 s to 7.5 s.
fn dropped_in_silence(kind: Kind, began_at: u64, cut_at: u64) -> Vec<Observation> {
    let events = [running(), sent(5900, kind), began(began_at, "a"), cut(cut_at)];
    let resumed = [stood_still(7500), ended(7510, "a", RunEnd::Dropped)];
    [&events[..], &resumed].concat()
}

/// A request that a box ends although its upstream goes on later, whether it has begun or waits to
/// be read.
#[test]
fn silent_request_ended() {
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Once, Kind::Resumed] {
        let begun = dropped_in_silence(kind, 5950, 7000);
        assert_eq!(broken(&begun), [Promise::SilenceCutsNothing], "{kind:?}");
        let unread = dropped_in_silence(kind, 7505, 7000);
        assert_eq!(broken(&unread), [Promise::SilenceCutsNothing], "{kind:?}");
    }
    let mut failed = dropped_in_silence(Kind::Safe, 5950, 7000);
    failed[3] = answered(7000, 504, 0, &[]);
    assert_eq!(broken(&failed), [], "the upstream's own failure");
    for own in [401, 502, 503] {
        if let What::Answered { stamp, status, .. } = &mut failed[3].what {
            (*stamp, *status) = (None, own);
        }
        assert_eq!(broken(&failed), [Promise::SilenceCutsNothing], "{own}");
    }
}

/// An older box may end silent requests.
#[test]
fn silent_request_ended_by_older_box() {
    let seen = dropped_in_silence(Kind::Once, 5950, 7000);
    let bounds = Bounds { keeps_silent: false, ..Bounds::default() };
    assert_eq!(judge(&seen, &bounds), []);
}

/// Planned work is no reason to end a request.
#[test]
fn silent_request_ended_in_planned_work() {
    let with = |it: Observation| {
        let mut seen = dropped_in_silence(Kind::Resumed, 5950, 7000);
        seen.push(it);
        broken(&seen)
    };
    assert_eq!(with(configured(6500, 1)), [Promise::SilenceCutsNothing]);
    let stopped = with(node(6500, BoxChange::Terminated));
    assert_eq!(stopped, [Promise::StopCutsNothing, Promise::SilenceCutsNothing]);
    let long_before = with(node(200, BoxChange::Terminated));
    assert!(!long_before.contains(&Promise::SilenceCutsNothing), "the grace period is over");
    assert_eq!(with(node(6500, BoxChange::Disturbed)), [Promise::SilenceCutsNothing]);
    for change in [BoxChange::Killed, BoxChange::Paused] {
        assert_eq!(with(node(6500, change)), [], "{change:?}");
    }
    let fault = |name: &str| at(6500, What::Fault { name: name.to_owned(), span: 0 });
    assert_eq!(with(fault("ResetLinks { share: 10 }")), []);
    assert_eq!(with(fault("Split { count: 1 }")), [Promise::SilenceCutsNothing]);
}

/// A box may end a request whose client has waited long enough, or whose upstream itself has failed.
#[test]
fn silent_request_ended_rightly() {
    let patient = |cut_at: u64, until: u64| {
        let mut seen = dropped_in_silence(Kind::Resumed, 5950, cut_at);
        seen[4] = stood_still(until);
        seen[5] = ended(until + 10, "a", RunEnd::Dropped);
        broken(&seen)
    };
    assert_eq!(patient(9000, 10_000), [Promise::SilenceCutsNothing]);
    assert_eq!(patient(9400, 10_000), [], "nearly 3.6 s without an event");
    let mut late = dropped_in_silence(Kind::Resumed, 5950, 7000);
    if let What::Sent { deadline, .. } = &mut late[1].what {
        *deadline = 107_200 * MILLISECOND;
    }
    assert_eq!(broken(&late), [], "the deadline is near");
    let mut broke_off = dropped_in_silence(Kind::Resumed, 5950, 7520);
    broke_off[5] = ended(7510, "a", RunEnd::Broken);
    assert_eq!(broken(&broke_off), []);
    let mut crashed = dropped_in_silence(Kind::Resumed, 5950, 7520);
    crashed[5] = at(7510, What::EngineGone { engine: "a".to_owned() });
    assert_eq!(broken(&crashed), []);
    let mut later = dropped_in_silence(Kind::Resumed, 5950, 8400);
    later[5] = ended(8401, "a", RunEnd::Dropped);
    assert_eq!(broken(&later), [], "the upstream had gone on");
}

/// A silent run may be ended when another one has brought an event, and not before.
#[test]
fn silent_run_replaced() {
    let with = |last: u64| {
        let mut seen = dropped_in_silence(Kind::Resumed, 5950, 7200);
        let mut end = ended(7190, "b", RunEnd::Broken);
        if let What::RunEnded { last_event, .. } = &mut end.what {
            *last_event = last;
        }
        seen.extend([began(7000, "b"), end]);
        broken(&seen)
    };
    assert_eq!(with(3), []);
    assert_eq!(with(0), [Promise::SilenceCutsNothing]);
}

/// A prefill at an upstream.
fn reading(millis: u64, engine: &str) -> Observation {
    let mut it = began(millis, engine);
    if let What::Began { is_reading, .. } = &mut it.what {
        *is_reading = true;
    }
    it
}

/// A silent prefill may be ended when its prompt has been read elsewhere to the end, or an event has
/// come, and not as soon as another run begins.
#[test]
fn silent_prefill_replaced() {
    let with = |first: Observation, others: [Observation; 2]| {
        let mut seen = dropped_in_silence(Kind::Resumed, 5950, 7200);
        seen[2] = first;
        seen.extend(others);
        broken(&seen)
    };
    let prefill = |others| with(reading(5950, "a"), others);
    let mut spoken = ended(7190, "b", RunEnd::Broken);
    if let What::RunEnded { last_event, .. } = &mut spoken.what {
        *last_event = 1;
    }
    assert_eq!(prefill([began(7000, "b"), spoken]), []);
    assert_eq!(prefill([reading(7000, "b"), ended(7100, "b", RunEnd::Whole)]), []);
    let begun = [began(7000, "b"), ended(7190, "b", RunEnd::Dropped)];
    assert_eq!(prefill(begun), [Promise::SilenceCutsNothing], "no event came");
    let unfinished = [reading(7000, "b"), ended(7205, "b", RunEnd::Dropped)];
    assert_eq!(prefill(unfinished), [Promise::SilenceCutsNothing], "not read to the end");
    let late = [reading(7000, "b"), ended(7600, "b", RunEnd::Whole)];
    assert_eq!(prefill(late), [Promise::SilenceCutsNothing], "read after the request had ended");
    let read = [reading(7000, "b"), ended(7100, "b", RunEnd::Whole)];
    let decode = with(began(5950, "a"), read);
    assert_eq!(decode, [Promise::SilenceCutsNothing], "a prefill brings no event");
}

/// A run for a client that has left counts although its upstream stood still meanwhile.
#[test]
fn runs_after_disconnect_in_silence() {
    let seen = |resumed: bool| {
        let mut seen = vec![running()];
        for number in 0..4_u64 {
            let name = format!("r{number}");
            let left = at(6500, What::Left { attempt: name.clone() });
            let run = [sent(5000, Kind::Once), began(5010, "a"), ended(8010, "a", RunEnd::Dropped)];
            seen.extend(run.map(|it| named(it, &name)));
            seen.push(left);
        }
        seen.extend(resumed.then(|| stood_still(8000)));
        broken(&seen)
    };
    assert_eq!(seen(true), [Promise::MemoryFreed]);
    assert_eq!(seen(false), [Promise::MemoryFreed]);
}

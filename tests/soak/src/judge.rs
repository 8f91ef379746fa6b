//! Checks the promises of the system against the observations, with one function for each promise.

mod customers;
mod harm;
mod intake;
mod leases;
mod ranks;
mod records;
mod silence;
mod terms;

use std::collections::BTreeMap;
use std::fmt;

use crate::observation::{BoxChange, Kind, MILLISECOND, Micros, Observation, RunEnd, SECOND, What};
use crate::standin::engine::event_count;
use records::{Attempt, Records};

/// A promise of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A request that may not be repeated runs at most once.
    RunsOnce,
    /// A client receives the whole answer to its own request.
    WholeAnswer,
    /// The events of a stream arrive in order, without gaps or duplicates.
    EventsInOrder,
    /// A request that was rejected as not run has not run and never will.
    RefusedIsNotRun,
    /// Upstreams run only the requests that clients sent, unaltered.
    AsAsked,
    /// Retries stay within their budget.
    RepeatsBounded,
    /// A planned stop cuts off no request and ends in time.
    StopCutsNothing,
    /// The newest configuration is in force in time, and no older one afterwards.
    NewestVersion,
    /// Upstreams stop working for clients that have disconnected.
    MemoryFreed,
    /// An engine accepts orders from one lease holder at a time, in the order of their tokens.
    OneHolder,
    /// After the loss of all boxes requests are served again in time.
    Recovers,
    /// No process ends unexpectedly.
    StaysAlive,
    /// Resident memory and open descriptors of a box are bounded.
    Bounded,
    /// A box answers malformed or unfinished requests, or closes their connections, in time.
    FlawsEnd,
    /// No request runs with an unknown key, or with one that was removed some time ago.
    KnownKey,
    /// A known key is not rejected.
    KeyAccepted,
    /// Clients' keys are never in what upstreams receive, in logs or in metrics.
    KeyHidden,
    /// Upstreams receive the name of the customer whose key the client sent.
    RightCustomer,
    /// A customer's usage over all boxes stays within its limit.
    WithinLimit,
    /// Only customers with a limit are rejected as over limit.
    LimitedOnly,
    /// A request that crashes its upstreams is quarantined after the third crash.
    HarmHeldBack,
    /// A part of prompts that crashes upstreams is quarantined after the fifth crash, and no request
    /// without it is.
    PartHeldBack,
    /// An upstream that announces a rate limit receives no more than that from all boxes together.
    LimitKept,
    /// An upstream that announces its shutdown receives no more requests.
    LeavingKept,
    /// An upstream whose entry in the store is marked as draining receives no more requests.
    EntryKept,
    /// A box sends no requests to an upstream that asked it to back off.
    RestKept,
    /// A reservation serves one request.
    ReservedOnce,
    /// Boxes drop reservations that they do not use.
    ReservationsFreed,
    /// Boxes free copies of streams' memory that they do not use.
    CopiesFreed,
    /// Engines receive priorities in the order of the customers' ranks.
    PriorityInOrder,
    /// More urgent customers are not refused more often than less urgent ones.
    UrgentFirst,
    /// Boxes can decode the messages of other boxes, also of another version.
    Understood,
    /// The events of a stream come from engines of one software version.
    OneSoftware,
    /// A box ends no request because its upstream is silent.
    SilenceCutsNothing,
    /// A client receives no other bytes than the events of its stream's own run, in order.
    OwnRun,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The time of the observation that shows it.
    pub at: Micros,
    /// The promise that is broken.
    pub promise: Promise,
    /// A description for the verdict.
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.what)
    }
}

/// The limits that the promises are checked with.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Retries allowed for each request.
    pub repeat_ratio: f64,
    /// Retries allowed in addition to the ratio.
    pub repeat_allowance: f64,
    /// The window in which retries and requests are counted.
    pub repeat_window: Micros,
    /// The time within which a stopped process must end.
    pub grace: Micros,
    /// The time within which a configuration must be applied everywhere.
    pub apply_within: Micros,
    /// The time without disruption after which deadlines apply to a box.
    pub contact: Micros,
    /// The minimum time between orders of two holders to one engine.
    pub order_pause: Micros,
    /// The time after the loss of all boxes within which requests must be served again.
    pub recover_within: Micros,
    /// The maximum resident memory of a box, in bytes; the requirement is 64 MB.
    pub resident: u64,
    /// The maximum number of open descriptors of a box. Production machines allow 4,100, but this
    /// test has few clients.
    pub descriptors: u64,
    /// Whether all boxes understand upstreams' limits, shutdowns and back-off; an older version
    /// does not.
    pub reads_terms: bool,
    /// Whether all boxes know engines' software versions; an older version does not.
    pub reads_software: bool,
    /// Whether all boxes keep calls that are only silent; an older version does not.
    pub keeps_silent: bool,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            repeat_ratio: 0.2,
            repeat_allowance: 50.0,
            repeat_window: 10 * SECOND,
            grace: 8 * SECOND,
            apply_within: 4 * SECOND,
            contact: 3 * SECOND,
            order_pause: 3 * SECOND,
            recover_within: 5 * SECOND,
            resident: 64 << 20,
            descriptors: 1000,
            reads_terms: true,
            reads_software: true,
            keeps_silent: true,
        }
    }
}

/// The time within which an upstream must stop working for a client that disconnected: the
/// documented half second, and as much again for a loaded machine.
const LEFT_WITHIN: Micros = SECOND;

/// The time after a request's last byte within which a stopping box may close the connection
/// without an answer, with a margin for a loaded machine.
const UNREAD_WITHIN: Micros = 600 * MILLISECOND;

/// The time within which a box must finish with a malformed request: the head timeout, which is 3 s
/// in these configurations and 5 s at a box that has none yet, and a second for a loaded machine.
const FLAW_WITHIN: Micros = 6 * SECOND;

/// The margin on the grace period of a stopped process, for a loaded machine.
const STOP_MARGIN: Micros = SECOND;

/// How long requests are counted after the deadline for recovery.
const RECOVERY_COUNTED: Micros = 3 * SECOND;

/// The minimum number of requests for a verdict on recovery.
const MIN_RECOVERY_REQUEST_COUNT: usize = 8;

/// The minimum number of runs without a client for a finding. A few may begin before the
/// disconnection reaches the upstream.
const MIN_LATE_RUN_COUNT: usize = 3;

/// The statuses by which a box states that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks observations, given in any order, and returns the findings, earliest first.
pub fn judge(observations: &[Observation], bounds: &Bounds) -> Vec<Finding> {
    let records = Records::of(observations);
    let checks = [
        runs_once,
        whole_answer,
        events_in_order,
        refused_is_not_run,
        as_asked,
        repeats_bounded,
        stop_cuts_nothing,
        newest_version,
        memory_freed,
        one_holder,
        recovers,
        stays_alive,
        bounded,
        flaws_end,
        customers::known_key,
        customers::key_accepted,
        customers::key_hidden,
        customers::right_customer,
        customers::within_limit,
        customers::limited_only,
        harm::held_back,
        harm::others_accepted,
        intake::limit_kept,
        terms::leaving_kept,
        terms::entry_kept,
        terms::rest_kept,
        leases::used_once,
        leases::reservations_freed,
        leases::copies_freed,
        leases::stopped_first,
        ranks::priority_in_order,
        ranks::urgent_first,
        understood,
        one_software,
        silence::cuts_nothing,
        own_run,
    ];
    let mut findings: Vec<_> = checks.iter().flat_map(|it| it(&records, bounds)).collect();
    findings.sort_by_key(|it| (it.at, it.promise));
    findings
}

/// Creates a finding.
fn finding(promise: Promise, at: Micros, what: impl Into<String>) -> Finding {
    Finding { at, promise, what: what.into() }
}

/// Checks that requests that must not be repeated run at most once. A run that goes on from a copy of
/// a stream's memory is the same run.
fn runs_once(records: &Records, _: &Bounds) -> Vec<Finding> {
    let once = records.attempts.values().filter(|it| it.kind.runs_once());
    let twice = once.filter_map(|attempt| {
        let runs = leases::own_runs(attempt);
        let second = runs.get(1)?;
        let engines: Vec<_> = runs.iter().map(|it| it.engine.as_str()).collect();
        let what = format!("{} ran at {}", attempt.id, engines.join(", "));
        Some(finding(Promise::RunsOnce, second.began, what))
    });
    twice.collect()
}

/// Checks that plain answers are complete and belong to their client's request.
fn whole_answer(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in records.attempts.values() {
        let Some(answer) = attempt.answer.as_ref().filter(|it| it.status == 200) else { continue };
        let broken = |what: &str| {
            let what = format!("{}: {what}", attempt.id);
            finding(Promise::WholeAnswer, answer.at, what)
        };
        let Some(stamp) = &answer.stamp else {
            findings.push(broken("a success without a signature"));
            continue;
        };
        if !answer.is_own {
            findings.push(broken("an answer that names another request"));
            continue;
        }
        if attempt.kind.is_stream() {
            continue;
        }
        let mut runs = attempt.runs.iter().filter(|it| it.engine == *stamp);
        let is_known = runs.any(|it| it.end.is_none_or(|end| end.body == answer.body));
        if !is_known {
            findings.push(broken("not what the upstream sent"));
        }
    }
    findings
}

/// Checks that streams are complete and in order.
fn events_in_order(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in records.attempts.values().filter(|it| it.kind.is_stream()) {
        let Some(answer) = attempt.answer.as_ref().filter(|it| it.status == 200) else { continue };
        let expected: Vec<u64> = (attempt.after + 1..=event_count(attempt.body)).collect();
        if answer.events != expected {
            let what = format!("{}: events {:?}", attempt.id, answer.events);
            findings.push(finding(Promise::EventsInOrder, answer.at, what));
        }
    }
    findings
}

/// Checks that requests that were rejected as not run have not run.
fn refused_is_not_run(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for attempt in records.attempts.values().filter(|it| it.kind.runs_once()) {
        let Some(answer) = &attempt.answer else { continue };
        let run = attempt.runs.iter().find(|it| !it.is_reading);
        if NOT_RUN_STATUSES.contains(&answer.status)
            && let Some(run) = run
        {
            let what = format!("{}: {} though {} ran it", attempt.id, answer.status, run.engine);
            findings.push(finding(Promise::RefusedIsNotRun, answer.at, what));
        }
    }
    findings
}

/// Checks that upstreams run only what clients sent, unaltered.
fn as_asked(records: &Records, _: &Bounds) -> Vec<Finding> {
    let unknown = records.unknown_runs.iter().map(|(id, run)| {
        finding(Promise::AsAsked, run.began, format!("{} ran {id}, which nobody sent", run.engine))
    });
    let altered = records.attempts.values().flat_map(|attempt| {
        let other =
            attempt.runs.iter().filter(|it| it.path != attempt.path || it.body != attempt.body);
        other.map(|run| {
            let what = format!("{} ran {} as {}", run.engine, attempt.id, run.path);
            finding(Promise::AsAsked, run.began, what)
        })
    });
    unknown.chain(altered).collect()
}

/// Checks that retries stay within their budget.
fn repeats_bounded(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for is_stream in [false, true] {
        let of_service = || records.attempts.values().filter(|it| it.kind.is_stream() == is_stream);
        let requests: Vec<Micros> = of_service().map(|it| it.sent).collect();
        let mut repeats: Vec<Micros> = of_service().flat_map(Attempt::repeats).collect();
        repeats.sort_unstable();
        let window = bounds.repeat_window;
        let within = |times: &[Micros], end: Micros| {
            times.iter().filter(|&&it| it <= end && it + window > end).count()
        };
        for &at in &repeats {
            let ends = [at, at.saturating_sub(window / 2), at.saturating_sub(window)];
            let most = ends.iter().map(|&end| within(&requests, end)).max().unwrap_or(0);
            let allowed = most as f64 * bounds.repeat_ratio + bounds.repeat_allowance;
            let spent = within(&repeats, at);
            if spent as f64 > allowed {
                let what = format!("{spent} repeats in a window where {allowed:.0} are allowed");
                findings.push(finding(Promise::RepeatsBounded, at, what));
                break;
            }
        }
    }
    findings
}

/// Checks that a planned stop cuts off no request and ends in time.
fn stop_cuts_nothing(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (&node, changes) in &records.nodes {
        for (index, &(stopped, change)) in changes.iter().enumerate() {
            if change != BoxChange::Terminated {
                continue;
            }
            let ended = changes[index..].iter().find(|it| it.1 == BoxChange::Ended).map(|it| it.0);
            let latest = stopped + bounds.grace + STOP_MARGIN;
            if ended.is_none_or(|it| it > latest) && records.last > latest {
                let what = format!("box {node} has not ended in time");
                findings.push(finding(Promise::StopCutsNothing, latest, what));
            }
            let until = ended.unwrap_or(latest);
            let cut = records.attempts.values().filter(|it| it.node == node);
            let cut = cut.filter(|it| is_cut_by_stop(records, it, stopped, until, bounds));
            findings.extend(cut.map(|it| {
                let what = format!("{} was cut by the stop of box {node}", it.id);
                finding(Promise::StopCutsNothing, stopped, what)
            }));
        }
    }
    findings
}

/// Returns whether a planned stop cut off a request that the box had accepted.
fn is_cut_by_stop(
    records: &Records,
    attempt: &Attempt,
    stopped: Micros,
    until: Micros,
    bounds: &Bounds,
) -> bool {
    let Some(cut) = attempt.cut.filter(|&it| it >= stopped && it <= until + SECOND) else {
        return false;
    };
    let from = attempt.sent.min(stopped).saturating_sub(bounds.contact);
    if records.is_disturbed(attempt.node, from, cut) {
        return false;
    }
    let runs = || attempt.runs.iter().filter(|it| !it.is_reading);
    let is_upstreams = runs().any(|it| records.broke_off(it));
    let was_taken = runs().next().is_some() || cut > attempt.sent + UNREAD_WITHIN;
    was_taken && !is_upstreams
}

/// Checks that the newest configuration is applied in time, and that older ones are gone.
fn newest_version(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for probe in &records.probes {
        let from = probe.sent.saturating_sub(bounds.contact + bounds.apply_within);
        let is_disturbed = records.is_disturbed(probe.node, from, probe.at)
            || records.is_store_disturbed(from, probe.at);
        if is_disturbed {
            continue;
        }
        let due = records.versions.iter().filter(|it| it.0 + bounds.apply_within <= probe.sent);
        let newest_due = due.map(|it| it.1).max().unwrap_or(0);
        let seen = records.versions.iter().filter(|it| it.0 <= probe.at);
        let newest = seen.map(|it| it.1).max().unwrap_or(0);
        let lacks = probe.version == newest_due && newest == newest_due && probe.status == 404;
        let keeps = probe.version < newest_due && probe.status == 200;
        if lacks || keeps {
            let problem = if lacks { "lacks" } else { "still serves" };
            let what = format!("box {} {problem} version {}", probe.node, probe.version);
            findings.push(finding(Promise::NewestVersion, probe.at, what));
        }
    }
    findings
}

/// Checks that upstreams stop working for clients that have disconnected.
fn memory_freed(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings: Vec<_> = records
        .still_active
        .iter()
        .map(|(at, engine, runs)| {
            let what = format!("{engine} has {runs} runs though all clients are gone");
            finding(Promise::MemoryFreed, *at, what)
        })
        .collect();
    let mut left = 0;
    let mut late = Vec::new();
    for attempt in records.attempts.values() {
        let Some(gone) = attempt.left else { continue };
        let from = gone.saturating_sub(bounds.contact);
        if records.is_disturbed(attempt.node, from, gone + LEFT_WITHIN) {
            continue;
        }
        for run in attempt.runs.iter().filter(|it| it.began <= gone + LEFT_WITHIN) {
            let end = run.end.map(|it| it.at);
            let is_gone = records.engine_ends.contains_key(&run.engine);
            if is_gone || end.is_some_and(|it| it <= gone) {
                continue;
            }
            left += 1;
            if end.is_none_or(|it| it > gone + LEFT_WITHIN) {
                late.push((gone, format!("{} runs {}", run.engine, attempt.id)));
            }
        }
    }
    if late.len() >= MIN_LATE_RUN_COUNT && late.len() * 4 > left {
        let (at, first) = &late[0];
        let what =
            format!("{} of {left} runs went on for clients that had left: {first}", late.len());
        findings.push(finding(Promise::MemoryFreed, *at, what));
    }
    findings
}

/// Checks that an engine accepts orders from one lease holder at a time, with rising tokens.
fn one_holder(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (engine, orders) in &records.orders {
        for pair in orders.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            let is_other = before.holder != after.holder;
            let is_soon = after.at < before.at + bounds.order_pause;
            let is_older = after.token < before.token;
            if is_older || (is_other && (is_soon || after.token == before.token)) {
                let what = format!(
                    "{engine}: {} with token {} after {} with token {}",
                    after.holder, after.token, before.holder, before.token
                );
                findings.push(finding(Promise::OneHolder, after.at, what));
            }
        }
    }
    findings
}

/// Checks that requests are served again after the loss of all boxes.
fn recovers(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    let requests = records.attempts.values().filter(|it| it.kind != Kind::Probe);
    for &restarted in &records.restarts {
        let from = restarted + bounds.recover_within;
        let until = from + RECOVERY_COUNTED;
        if records.disruptions_within(restarted, until) || records.last < until {
            continue;
        }
        let sent: Vec<_> =
            requests.clone().filter(|it| it.sent >= from && it.sent < until).collect();
        let served = sent.iter().filter(|it| it.is_served()).count();
        if sent.len() >= MIN_RECOVERY_REQUEST_COUNT && served * 4 < sent.len() {
            let what = format!("{served} of {} requests served", sent.len());
            findings.push(finding(Promise::Recovers, until, what));
        }
    }
    findings
}

/// Checks that no process ends unexpectedly.
fn stays_alive(records: &Records, _: &Bounds) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (&node, changes) in &records.nodes {
        let mut is_expected = true;
        for &(at, change) in changes {
            match change {
                BoxChange::Started => is_expected = false,
                BoxChange::Killed | BoxChange::Terminated => is_expected = true,
                BoxChange::Ended if !is_expected => {
                    let what = format!("the process of box {node} ended by itself");
                    findings.push(finding(Promise::StaysAlive, at, what));
                }
                _ => {}
            }
        }
    }
    findings
}

/// Checks the limits on memory and descriptors; reports the first excess of each box.
fn bounded(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mut worst: BTreeMap<usize, Finding> = BTreeMap::new();
    for usage in &records.usages {
        if usage.resident > bounds.resident || usage.descriptors > bounds.descriptors {
            let (resident, descriptors) = (usage.resident >> 10, usage.descriptors);
            let what = format!("box {}: {resident} KB, {descriptors} descriptors", usage.node);
            worst.entry(usage.node).or_insert_with(|| finding(Promise::Bounded, usage.at, what));
        }
    }
    worst.into_values().collect()
}

/// Checks that undisturbed boxes finish with malformed requests in time.
fn flaws_end(records: &Records, _: &Bounds) -> Vec<Finding> {
    let late = records.flawed.iter().filter(|it| {
        let is_late = !it.is_done || it.span > FLAW_WITHIN;
        is_late && !records.is_disturbed(it.node, it.at.saturating_sub(it.span), it.at)
    });
    let findings = late.map(|it| {
        let (node, flaw, span) = (it.node, it.flaw, it.span / MILLISECOND);
        let what = format!("{flaw}: box {node} was not done with it within {span} ms");
        finding(Promise::FlawsEnd, it.at, what)
    });
    findings.collect()
}

/// Checks that boxes can decode what other boxes send.
fn understood(records: &Records, _: &Bounds) -> Vec<Finding> {
    let not_read = records.not_read.iter();
    let findings = not_read.map(|&(at, node, lines)| {
        let what = format!("box {node} says in {lines} lines that a datagram was not read");
        finding(Promise::Understood, at, what)
    });
    findings.collect()
}

/// Checks that no client has received events of two software versions for one stream.
fn one_software(records: &Records, bounds: &Bounds) -> Vec<Finding> {
    let mixed = records.mixed.iter().filter(|_| bounds.reads_software);
    let findings = mixed.map(|(at, attempt)| {
        let what = format!("{attempt}: events of two software versions");
        finding(Promise::OneSoftware, *at, what)
    });
    findings.collect()
}

/// Checks that clients received only the events of their streams' own runs.
fn own_run(records: &Records, _: &Bounds) -> Vec<Finding> {
    let findings = records.foreign.iter().map(|(at, attempt, excerpt)| {
        finding(Promise::OwnRun, *at, format!("{attempt}: {excerpt:?} is not of its run"))
    });
    findings.collect()
}

impl Records {
    /// Returns whether the upstream itself ended a run.
    fn broke_off(&self, run: &records::Run) -> bool {
        let is_broken = run.end.is_some_and(|it| it.how == RunEnd::Broken);
        is_broken || self.engine_ends.contains_key(&run.engine)
    }
}

/// Counts the requests that were sent in each second by their outcome, for the report.
pub fn seconds(observations: &[Observation]) -> Vec<Second> {
    let records = Records::of(observations);
    let Some(first) = observations.iter().map(|it| it.at).min() else { return Vec::new() };
    let mut seconds: Vec<Second> = Vec::new();
    for attempt in records.attempts.values().filter(|it| it.kind != Kind::Probe) {
        let index = (attempt.sent.saturating_sub(first) / SECOND) as usize;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        seconds[index].count(attempt);
    }
    seconds
}

/// The requests that were sent in one second, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Served within a second.
    pub served: u32,
    /// Served after more than a second.
    pub late: u32,
    /// Rejected as not run.
    pub refused: u32,
    /// Failed, cut off, or never sent.
    pub broken: u32,
}

impl Second {
    /// Counts a request, unless its client disconnected on purpose before it was served.
    fn count(&mut self, attempt: &Attempt) {
        let refused =
            attempt.answer.as_ref().is_some_and(|it| NOT_RUN_STATUSES.contains(&it.status));
        match &attempt.answer {
            Some(answer) if attempt.is_served() && answer.at < attempt.sent + SECOND => {
                self.served += 1;
            }
            Some(_) if attempt.is_served() => self.late += 1,
            _ if attempt.left.is_some() => {}
            _ if refused => self.refused += 1,
            _ => self.broken += 1,
        }
    }
}

/// Returns the start, duration and name of each fault, for the report.
pub fn faults(observations: &[Observation]) -> Vec<(Micros, Micros, String)> {
    let found = observations.iter().filter_map(|it| match &it.what {
        What::Fault { name, span } => Some((it.at, *span, name.clone())),
        _ => None,
    });
    found.collect()
}

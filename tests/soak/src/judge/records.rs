//! The observations, grouped by subject for the checks.

use std::collections::BTreeMap;

use crate::keys::Caller;
use crate::malformed::Flaw;
use crate::observation::{
    BoxChange, Kind, LeaseEnd, MILLISECOND, Micros, Observation, RunEnd, What,
};

use super::leases::own_runs;
use super::terms::{Leaving, Rest};

/// How long after an upstream has resumed it still reads what was sent to it before.
pub(super) const READS_WITHIN: Micros = 300 * MILLISECOND;

/// The end of a run.
#[derive(Debug, Clone, Copy)]
pub(super) struct End {
    /// When the run ended.
    pub(super) at: Micros,
    /// The outcome.
    pub(super) how: RunEnd,
    /// The digest of the plain body that was sent.
    pub(super) body: u64,
    /// The last event of a stream, whether it was sent in this run or before.
    pub(super) last_event: u64,
}

/// A run at an upstream.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The upstream.
    pub(super) engine: String,
    /// When it began.
    pub(super) began: Micros,
    /// The path that the upstream received.
    pub(super) path: String,
    /// The digest of the body that the upstream received.
    pub(super) body: u64,
    /// Whether the run is a prefill for another engine.
    pub(super) is_reading: bool,
    /// The customer that the upstream received, if any.
    pub(super) customer: Option<String>,
    /// Whether the request to the upstream contained a client's key.
    pub(super) has_key: bool,
    /// The priority that the upstream received, if any.
    pub(super) priority: Option<u8>,
    /// The copy from which it goes on, if it does.
    pub(super) copy: Option<String>,
    /// Its end, if observed.
    pub(super) end: Option<End>,
}

/// A reservation at an engine.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    /// When it was made.
    pub(super) at: Micros,
    /// Whether its answer was sent, and in time.
    pub(super) is_answered: bool,
    /// The requests that named it, with their times.
    pub(super) presented: Vec<(Micros, String)>,
    /// When and how it ended.
    pub(super) end: Option<(Micros, LeaseEnd)>,
}

/// A copy of a stream's memory.
#[derive(Debug, Clone)]
pub(super) struct Copy {
    /// When it was first answered for.
    pub(super) at: Micros,
    /// The id of the attempt.
    pub(super) attempt: String,
    /// Whether all answers about it were sent, and in time.
    pub(super) is_answered: bool,
    /// When and how it ended at each engine that kept it.
    pub(super) ends: Vec<(Micros, LeaseEnd)>,
}

/// An answer that a client received.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    /// When it was complete.
    pub(super) at: Micros,
    /// The status.
    pub(super) status: u16,
    /// The id of the upstream that signed it.
    pub(super) stamp: Option<String>,
    /// The digest of a plain body.
    pub(super) body: u64,
    /// The numbers of a stream's events.
    pub(super) events: Vec<u64>,
    /// Whether all parts of it name this attempt.
    pub(super) is_own: bool,
}

/// An attempt of a client to get an answer.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    /// Its id.
    pub(super) id: String,
    /// The kind of request.
    pub(super) kind: Kind,
    /// The box.
    pub(super) node: usize,
    /// The path.
    pub(super) path: String,
    /// The digest of the body.
    pub(super) body: u64,
    /// The number of events that the client had already received.
    pub(super) after: u64,
    /// The customer and key that sent it.
    pub(super) caller: Caller,
    /// When it was sent.
    pub(super) sent: Micros,
    /// When its client gives up.
    pub(super) deadline: Micros,
    /// The answer.
    pub(super) answer: Option<Answer>,
    /// When its connection ended without an answer.
    pub(super) cut: Option<Micros>,
    /// When its client disconnected on purpose.
    pub(super) left: Option<Micros>,
    /// Its runs, in order.
    pub(super) runs: Vec<Run>,
    /// When upstreams rejected it.
    pub(super) rejections: Vec<Micros>,
    /// The upstreams that rejected it, in the same order.
    pub(super) rejected_by: Vec<String>,
}

impl Attempt {
    /// Returns whether it was answered with status 200.
    pub(super) fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|it| it.status == 200)
    }

    /// Returns its arrivals at upstreams after the first. The first prefill for another engine does
    /// not count, nor does the run that goes on from a copy.
    pub(super) fn repeats(&self) -> Vec<Micros> {
        let runs = own_runs(self).into_iter().map(|it| it.began);
        let mut runs: Vec<_> = runs.chain(self.rejections.iter().copied()).collect();
        runs.sort_unstable();
        let readings = self.runs.iter().filter(|it| it.is_reading);
        let mut readings: Vec<_> = readings.map(|it| it.began).collect();
        readings.sort_unstable();
        runs.into_iter().skip(1).chain(readings.into_iter().skip(1)).collect()
    }
}

/// An order to an engine.
#[derive(Debug, Clone)]
pub(super) struct Order {
    /// When it was accepted.
    pub(super) at: Micros,
    /// The lease holder that issued it.
    pub(super) holder: String,
    /// The fencing token.
    pub(super) token: u64,
}

/// A request for the route of one version.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    /// When it was answered.
    pub(super) at: Micros,
    /// When it was sent.
    pub(super) sent: Micros,
    /// The box.
    pub(super) node: usize,
    /// The version.
    pub(super) version: u64,
    /// The status.
    pub(super) status: u16,
}

/// A malformed request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flawed {
    /// When the box had finished with it, or the wait for the box ended.
    pub(super) at: Micros,
    /// The box.
    pub(super) node: usize,
    /// The flaw.
    pub(super) flaw: Flaw,
    /// How long it took.
    pub(super) span: Micros,
    /// Whether the box had finished with it.
    pub(super) is_done: bool,
}

/// A sample of a process's resource usage.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    /// When it was taken.
    pub(super) at: Micros,
    /// The box.
    pub(super) node: usize,
    /// Resident memory, in bytes.
    pub(super) resident: u64,
    /// Open descriptors.
    pub(super) descriptors: u64,
}

/// All observations, grouped by subject.
#[derive(Debug, Default)]
pub(super) struct Records {
    /// The attempts by id.
    pub(super) attempts: BTreeMap<String, Attempt>,
    /// Runs of requests that nobody sent.
    pub(super) unknown_runs: Vec<(String, Run)>,
    /// The changes of each box's process, in order.
    pub(super) nodes: BTreeMap<usize, Vec<(Micros, BoxChange)>>,
    /// The start, end and name of each fault.
    pub(super) faults: Vec<(Micros, Micros, String)>,
    /// The start and end of each time in which the store was disturbed.
    pub(super) store_disturbed: Vec<(Micros, Micros)>,
    /// When the store acknowledged each version.
    pub(super) versions: Vec<(Micros, u64)>,
    /// The requests for single versions' routes.
    pub(super) probes: Vec<Probe>,
    /// The orders to each engine.
    pub(super) orders: BTreeMap<String, Vec<Order>>,
    /// The reservations by name.
    pub(super) reservations: BTreeMap<String, Reservation>,
    /// The copies by name, without backups.
    pub(super) copies: BTreeMap<String, Copy>,
    /// The limits that upstreams announced, in thousandths of a request a second, and when.
    pub(super) limits: BTreeMap<String, Vec<(Micros, u64)>>,
    /// When each upstream announced its shutdown, in each of its incarnations.
    pub(super) leavings: BTreeMap<String, Vec<Leaving>>,
    /// When each upstream's entry was marked as draining, in each of its incarnations.
    pub(super) entry_leavings: BTreeMap<String, Vec<Leaving>>,
    /// The back-offs that upstreams asked for.
    pub(super) rests: Vec<Rest>,
    /// The attempts that brought a stream's events from a second software version, and when.
    pub(super) mixed: Vec<(Micros, String)>,
    /// The attempts with bytes that are not of their run, and the first of these bytes.
    pub(super) foreign: Vec<(Micros, String, String)>,
    /// Boxes that could not decode datagrams of others, and the number of log lines that say so.
    pub(super) not_read: Vec<(Micros, usize, usize)>,
    /// When upstreams' processes ended, in order.
    pub(super) engine_ends: BTreeMap<String, Vec<Micros>>,
    /// The start and end of each time in which an upstream's process was paused, in order.
    pub(super) stand_stills: BTreeMap<String, Vec<(Micros, Micros)>>,
    /// Active runs after the last client had disconnected.
    pub(super) still_active: Vec<(Micros, String, u64)>,
    /// When all boxes had been restarted after the loss of all.
    pub(super) restarts: Vec<Micros>,
    /// Where clients' keys were found that must not be there.
    pub(super) keys_found: Vec<(Micros, String)>,
    /// The malformed requests.
    pub(super) flawed: Vec<Flawed>,
    /// The samples of processes' resource usage.
    pub(super) usages: Vec<Usage>,
    /// The time of the last observation.
    pub(super) last: Micros,
}

impl Records {
    /// Groups observations, which may be in any order.
    pub(super) fn of(observations: &[Observation]) -> Records {
        let mut sorted: Vec<_> = observations.iter().collect();
        sorted.sort_by_key(|it| it.at);
        let mut records = Records::default();
        // Attempts are applied first, since an upstream may see one before its client records it.
        for it in &sorted {
            records.apply_sent(it);
        }
        for it in sorted {
            records.apply(it);
            records.last = records.last.max(it.at);
        }
        records
    }

    /// Applies an observation of an attempt that was sent; ignores all others.
    fn apply_sent(&mut self, it: &Observation) {
        let What::Sent { attempt, kind, node, path, body, after, caller, deadline } = &it.what
        else {
            return;
        };
        let attempt = Attempt {
            id: attempt.clone(),
            kind: *kind,
            node: *node,
            path: path.clone(),
            body: *body,
            after: *after,
            caller: caller.clone(),
            sent: it.at,
            deadline: *deadline,
            answer: None,
            cut: None,
            left: None,
            runs: Vec::new(),
            rejections: Vec::new(),
            rejected_by: Vec::new(),
        };
        self.attempts.insert(attempt.id.clone(), attempt);
    }

    /// Applies all other observations.
    fn apply(&mut self, it: &Observation) {
        let at = it.at;
        match &it.what {
            What::Answered { attempt, status, stamp, body, events, is_own } => {
                let (stamp, events) = (stamp.clone(), events.clone());
                let (status, body, is_own) = (*status, *body, *is_own);
                let answer = Answer { at, status, stamp, body, events, is_own };
                self.with(attempt, |it| it.answer = Some(answer));
            }
            What::Mixed { attempt } => self.mixed.push((at, attempt.clone())),
            What::Foreign { attempt, excerpt } => {
                self.foreign.push((at, attempt.clone(), excerpt.clone()));
            }
            What::Cut { attempt } => self.with(attempt, |it| it.cut = Some(at)),
            What::Left { attempt } => self.with(attempt, |it| it.left = Some(at)),
            What::TurnedAway { engine, attempt } => self.with(attempt, |it| {
                it.rejections.push(at);
                it.rejected_by.push(engine.clone());
            }),
            What::Limited { engine, milli } => {
                self.limits.entry(engine.clone()).or_default().push((at, *milli));
            }
            What::Leaving { engine } => {
                let leaving = Leaving { since: at, until: Micros::MAX };
                self.leavings.entry(engine.clone()).or_default().push(leaving);
            }
            What::EntryLeaving { engine } => {
                let leaving = Leaving { since: at, until: Micros::MAX };
                self.entry_leavings.entry(engine.clone()).or_default().push(leaving);
            }
            What::AskedForRest { engine, attempt, milli } => self.rests.push(Rest {
                engine: engine.clone(),
                attempt: attempt.clone(),
                at,
                span: milli * MILLISECOND,
            }),
            What::NotRead { node, lines } => self.not_read.push((at, *node, *lines)),
            What::Began {
                engine,
                attempt,
                path,
                body,
                is_reading,
                customer,
                has_key,
                priority,
                copy,
            } => {
                let run = Run {
                    engine: engine.clone(),
                    began: at,
                    path: path.clone(),
                    body: *body,
                    is_reading: *is_reading,
                    customer: customer.clone(),
                    has_key: *has_key,
                    priority: *priority,
                    copy: copy.clone(),
                    end: None,
                };
                match self.attempts.get_mut(attempt) {
                    Some(known) => known.runs.push(run),
                    None => self.unknown_runs.push((attempt.clone(), run)),
                }
            }
            What::RunEnded { engine, attempt, how, body, last_event } => {
                let end = End { at, how: *how, body: *body, last_event: *last_event };
                self.with(attempt, |it| end_run(&mut it.runs, engine, end));
            }
            What::Reserved { name, is_answered, .. } => {
                let (is_answered, presented) = (*is_answered, Vec::new());
                let reservation = Reservation { at, is_answered, presented, end: None };
                self.reservations.insert(name.clone(), reservation);
            }
            What::ReservationPresented { name, attempt, .. } => {
                if let Some(reservation) = self.reservations.get_mut(name) {
                    reservation.presented.push((at, attempt.clone()));
                }
            }
            What::ReservationEnded { name, how, .. } => {
                if let Some(reservation) = self.reservations.get_mut(name) {
                    reservation.end = Some((at, *how));
                }
            }
            What::Transferred { name, attempt, is_answered, .. } => {
                let attempt = attempt.clone();
                let new = Copy { at, attempt, is_answered: true, ends: Vec::new() };
                let copy = self.copies.entry(name.clone()).or_insert(new);
                copy.is_answered &= is_answered;
            }
            What::CopyEnded { name, how, .. } => {
                if let Some(copy) = self.copies.get_mut(name) {
                    copy.ends.push((at, *how));
                }
            }
            What::Ordered { engine, holder, token, .. } => {
                let order = Order { at, holder: holder.clone(), token: *token };
                self.orders.entry(engine.clone()).or_default().push(order);
            }
            What::Configured { version } => self.versions.push((at, *version)),
            What::Probed { node, version, sent, status } => {
                let (node, version, status) = (*node, *version, *status);
                self.probes.push(Probe { at, sent: *sent, node, version, status });
            }
            What::Node { node, change } => {
                self.nodes.entry(*node).or_default().push((at, *change));
            }
            What::StoreDisturbed { span } => self.store_disturbed.push((at, at + span)),
            What::AllRestarted => self.restarts.push(at),
            What::Usage { node, resident, descriptors } => {
                let (node, resident, descriptors) = (*node, *resident, *descriptors);
                self.usages.push(Usage { at, node, resident, descriptors });
            }
            What::StillActive { engine, runs } => {
                self.still_active.push((at, engine.clone(), *runs));
            }
            What::Flawed { node, flaw, span, is_done } => {
                let (node, flaw, span, is_done) = (*node, *flaw, *span, *is_done);
                self.flawed.push(Flawed { at, node, flaw, span, is_done });
            }
            What::KeyFound { place } => self.keys_found.push((at, place.clone())),
            What::EngineGone { engine } => {
                // A new incarnation under the id starts without a limit and is not shutting down.
                if let Some(limits) = self.limits.get_mut(engine) {
                    limits.push((at, 0));
                }
                for leavings in [&mut self.leavings, &mut self.entry_leavings] {
                    if let Some(last) = leavings.get_mut(engine).and_then(|it| it.last_mut()) {
                        last.until = last.until.min(at);
                    }
                }
                self.engine_ends.entry(engine.clone()).or_default().push(at);
            }
            What::StoodStill { engine, since } => {
                self.stand_stills.entry(engine.clone()).or_default().push((*since, at));
            }
            What::Fault { name, span } => self.faults.push((at, at + span, name.clone())),
            What::Sent { .. } | What::Unreached { .. } | What::Copied { .. } => {}
        }
    }

    /// Changes an attempt, if its id is known.
    fn with(&mut self, attempt: &str, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            change(attempt);
        }
    }

    /// Returns whether a box was disturbed or down at any time in an interval. A planned stop does
    /// not count.
    pub(super) fn is_disturbed(&self, node: usize, from: Micros, until: Micros) -> bool {
        let changes = self.nodes.get(&node).map(Vec::as_slice).unwrap_or_default();
        let mut is_down = true;
        for &(at, change) in changes {
            if at > until {
                break;
            }
            if at >= from && change != BoxChange::Terminated && change != BoxChange::Ended {
                return true;
            }
            match change {
                BoxChange::Killed | BoxChange::Paused => is_down = true,
                BoxChange::Started | BoxChange::Resumed => is_down = false,
                BoxChange::Terminated | BoxChange::Disturbed | BoxChange::Ended => {}
            }
        }
        is_down
    }

    /// Returns whether a box was down or paused at any time in an interval.
    pub(super) fn is_interrupted(&self, node: usize, from: Micros, until: Micros) -> bool {
        let mut changes = self.nodes.get(&node).into_iter().flatten();
        let is_cut = |it: BoxChange| matches!(it, BoxChange::Disturbed | BoxChange::Terminated);
        changes.any(|&(at, change)| at >= from && at <= until && !is_cut(change))
    }

    /// Returns whether a box may have lost connections in an interval: its process was replaced, or its
    /// links were disturbed.
    pub(super) fn may_lose_connections(&self, node: usize, from: Micros, until: Micros) -> bool {
        let mut changes = self.nodes.get(&node).into_iter().flatten();
        let loses = |it: BoxChange| match it {
            BoxChange::Killed | BoxChange::Ended | BoxChange::Started | BoxChange::Disturbed => {
                true
            }
            BoxChange::Paused | BoxChange::Resumed | BoxChange::Terminated => false,
        };
        changes.any(|&(at, change)| at >= from && at <= until && loses(change))
    }

    /// Returns whether the store was disturbed at any time in an interval.
    pub(super) fn is_store_disturbed(&self, from: Micros, until: Micros) -> bool {
        self.store_disturbed.iter().any(|it| it.0 <= until && it.1 >= from)
    }

    /// Returns whether there was a fault of one of these names in an interval.
    pub(super) fn has_fault(&self, names: &[&str], from: Micros, until: Micros) -> bool {
        let mut within = self.faults.iter().filter(|it| it.0 <= until && it.1 >= from);
        within.any(|it| names.iter().any(|name| it.2.starts_with(name)))
    }

    /// Returns whether there was no fault at all in an interval.
    pub(super) fn is_quiet(&self, from: Micros, until: Micros) -> bool {
        !self.faults.iter().any(|it| it.0 <= until && it.1 >= from)
    }

    /// Returns when the last box of an older version was replaced; zero if there was none.
    pub(super) fn last_replaced(&self) -> Micros {
        let replaced = self.faults.iter().filter(|it| it.2.starts_with("Replace"));
        replaced.map(|it| it.1).max().unwrap_or_default()
    }

    /// Returns whether any box was killed, paused or disturbed between two times.
    pub(super) fn disruptions_within(&self, after: Micros, until: Micros) -> bool {
        let mut changes = self.nodes.values().flatten();
        let is_one = |change: BoxChange| {
            matches!(change, BoxChange::Killed | BoxChange::Paused | BoxChange::Disturbed)
        };
        changes.any(|&(at, change)| at > after && at < until && is_one(change))
    }
}

/// Records the end of the last open run at an upstream.
fn end_run(runs: &mut [Run], engine: &str, end: End) {
    let mut open = runs.iter_mut().rev().filter(|it| it.engine == engine && it.end.is_none());
    if let Some(run) = open.next() {
        run.end = Some(end);
    }
}

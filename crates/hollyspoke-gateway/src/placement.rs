//! Which engine takes a call.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::cold::{Part, SendTimes};
use crate::directory::{Directory, Group, Record};
use crate::engine::{Engine, EngineKey, Stage};
use crate::load::Ledger;
use crate::permit::Holder;
use crate::region::{Homes, Regions};
use crate::route::{Service, Staged};
use crate::terms::{Restriction, Terms};

/// How long the load that an engine told with an answer counts.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(400);

/// What another data centre costs, in shares of an engine that is full.
const OTHER_DATA_CENTRE_SHARE: f64 = 0.1;

/// What another region costs, in shares of an engine that is full: moves of memory take five times
/// as long as between data centres of one, and each call some 25 ms more.
const OTHER_REGION_SHARE: f64 = 0.3;

/// What a rate of failure of one costs, in shares of an engine that is full.
const FAILURE_SHARE: f64 = 2.0;

/// The pace at which work takes as long as usual, in percent.
const USUAL_PACE_PERCENT: f64 = 100.0;

/// The work for each slot above which an engine's queue is too long for new work.
const MAX_QUEUE_RATIO: f64 = 4.0;

/// The share of an engine's memory that is given out.
const MEMORY_SHARE: f64 = 0.95;

/// The share that is given out where another box has just freed memory: beyond it, the boxes that
/// wait for memory would all take it at once.
const CONTESTED_MEMORY_SHARE: f64 = 0.8;

/// What moving a prompt to another data centre costs beside its time.
const OTHER_DATA_CENTRE_TRANSFER: Duration = Duration::from_millis(25);

/// What it costs to choose an engine of another data centre whose work is known from seldom
/// heartbeats alone, where time is compared: most of a prompt of 5,000 tokens that a reader may
/// have been sent meanwhile, which takes it 90 ms.
const REMOTE_STALENESS_COST: Duration = Duration::from_millis(75);

/// The same, in shares of an engine that is full: two calls of six, or of a dozen four.
const REMOTE_STALENESS_SHARE: f64 = 0.3;

/// What a failure rate of one costs where time is compared.
const FAILURE_COST: Duration = Duration::from_millis(1500);

/// What reading beside streams that are running costs them.
const STREAM_INTERFERENCE_COST: Duration = Duration::from_millis(60);

/// The time from a call's sending to an engine's start on it.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);

/// The engines of a stage up to which all are compared; beyond, a part of them, since the cost of a
/// request would grow with the engines. Up to some hundreds the best of all is worth its cost.
const MAX_COMPARED_COUNT: usize = 300;

/// The engines that are looked at where there are more: the best of 64 drawn ones is among the best
/// 5 in 100 of all in 96 of 100 cases, and the cost of a choice does not grow with the engines.
const SAMPLE_COUNT: usize = 64;

/// Whether a request may ask for a permit to go to an engine in need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitWait {
    /// At any engine whose next permit comes within the time that it can wait.
    Open(Duration),
    /// It has asked at this engine, and waits.
    At(EngineKey),
    /// No more.
    Never,
}

/// An engine for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The engine.
    pub engine: Arc<Engine>,
    /// How soon it is expected to be done with what comes before the answer.
    pub expected: Duration,
    /// The tokens of prompts that are read before and with this one.
    pub queued_tokens: u64,
}

/// What a choice is made from.
#[derive(Debug, Clone, Copy)]
pub struct Selector<'a> {
    /// The engines.
    pub directory: &'a Directory,
    /// The work at them.
    pub ledger: &'a Ledger,
    /// The service.
    pub service: &'a Service,
    /// This box's data centre.
    pub data_centre: &'a str,
    /// Whether the work at engines of other data centres is known as soon as that of the own data
    /// centre.
    pub knows_remote: bool,
    /// Engines that the request was sent to before.
    pub tried: &'a [EngineKey],
    /// Where the request may be served: by its route, and by its customer.
    pub homes: [&'a Homes; 2],
    /// The regions of all data centres.
    pub regions: &'a Regions,
    /// When this box last sent to cold engines.
    pub cold_sends: &'a SendTimes,
    /// This box's part of what cold engines bear.
    pub cold_share: Part,
    /// What engines have said that binds whoever sends to them.
    pub terms: &'a Terms,
    /// The permits to send to them.
    pub permits: &'a Holder,
    /// Whether the request may wait for one more.
    pub permit_wait: PermitWait,
    /// For how long an engine may be known to leave that is used all the same, as no other can serve;
    /// none if another can.
    pub max_drain_age: Option<Duration>,
    /// Whether engines have crashed under the request.
    pub is_suspect: bool,
    /// Engines at which a request is tried that may crash them.
    pub trials: &'a [EngineKey],
    /// The time.
    pub now: Time,
    /// A drawn number that breaks ties.
    pub draw: u64,
}

impl Selector<'_> {
    /// Chooses an engine for a plain request; none if all queues are too long.
    pub fn choose_plain(&self) -> Option<Choice> {
        let candidates = self.candidates(None, self.data_centre, None, |_| true);
        let (known, cost) = self.cheapest(&candidates, |it| self.plain_cost(it))?;
        if self.queue(known) > MAX_QUEUE_RATIO {
            return None;
        }
        let expected = Duration::from_secs_f64((cost * 0.1).clamp(0.0, 10.0));
        Some(Choice { engine: known.engine.clone(), expected, queued_tokens: 0 })
    }

    /// Chooses an engine to read a prompt for another.
    pub fn choose_prefill(&self, staged: &Staged, tokens: u64) -> Option<Choice> {
        let has_room = |it: &Record| self.has_memory(it, staged, tokens);
        let stage = Some(Stage::Prefill);
        let candidates = self.candidates(stage, self.data_centre, None, has_room);
        let (known, _) = self.cheapest(&candidates, |it| {
            let distance =
                OTHER_DATA_CENTRE_TRANSFER.mul_f64(self.distance(it) / OTHER_DATA_CENTRE_SHARE);
            let staleness_cost = self.staleness_cost(it);
            (self.prefill_time(it, tokens) + distance + staleness_cost + self.failure_cost(it))
                .as_secs_f64()
        })?;
        let expected = self.prefill_time(known, tokens) + self.transfer_time(staged, tokens);
        Some(Choice {
            engine: known.engine.clone(),
            expected,
            queued_tokens: self.queued_tokens(known) + tokens,
        })
    }

    /// Chooses an engine that reads the prompt itself and then generates.
    pub fn choose_combined(&self, staged: &Staged, tokens: u64, held: u64) -> Option<Choice> {
        let has_room = |it: &Record| self.has_memory(it, staged, held);
        let stage = Some(Stage::Decode);
        let candidates = self.candidates(stage, self.data_centre, None, has_room);
        let (known, cost) = self.cheapest(&candidates, |it| {
            let load = self.ledger.at(it.engine.key);
            let interference = STREAM_INTERFERENCE_COST * load.calls.min(4);
            let staleness_cost = self.staleness_cost(it);
            (self.prefill_time(it, tokens) + interference + staleness_cost + self.failure_cost(it))
                .as_secs_f64()
        })?;
        let expected = Duration::from_secs_f64(cost);
        Some(Choice {
            engine: known.engine.clone(),
            expected,
            queued_tokens: self.queued_tokens(known) + tokens,
        })
    }

    /// Chooses an engine that generates from a prompt read in a data centre; the preferred one,
    /// where memory was reserved, if it can still be used.
    pub fn choose_decode(
        &self,
        staged: &Staged,
        held: u64,
        source_data_centre: &str,
        preferred: Option<EngineKey>,
    ) -> Option<Choice> {
        let is_reserved = |it: &Record| {
            let total = u64::from(self.ledger.at(it.engine.key).held_tokens);
            preferred == Some(it.engine.key) && total <= staged.memory_tokens
        };
        let has_room = |it: &Record| is_reserved(it) || self.has_memory(it, staged, held);
        let stage = Some(Stage::Decode);
        let candidates = self.candidates(stage, source_data_centre, preferred, has_room);
        let (known, _) = self.cheapest(&candidates, |it| {
            if is_reserved(it) {
                return 0.0;
            }
            let load = self.ledger.at(it.engine.key);
            let memory = f64::from(load.held_tokens) / staged.memory_tokens.max(1) as f64;
            let prefill_share = if load.prefill_tokens > 0 { OTHER_DATA_CENTRE_SHARE } else { 0.0 };
            let distance = self.distance_from(source_data_centre, it);
            memory
                + prefill_share
                + distance
                + self.staleness_share(it)
                + it.health.failure_rate(self.now) * FAILURE_SHARE
        })?;
        let expected = CALL_OVERHEAD + self.transfer_time(staged, held);
        Some(Choice { engine: known.engine.clone(), expected, queued_tokens: 0 })
    }

    /// Makes the choice of an engine that has the prompt already.
    pub fn choose_cached(known: &Record) -> Choice {
        Choice { engine: known.engine.clone(), expected: CALL_OVERHEAD, queued_tokens: 0 }
    }

    /// Tells whether an engine takes new requests and has room for one.
    pub fn has_room(&self, known: &Record, staged: &Staged, held: u64) -> bool {
        self.is_allowed(known) && self.has_memory(known, staged, held)
    }

    /// Gives the engines that may take the call and have room for it: those not tried and in good
    /// health, else those in poor health, else those tried before. Those that could not be reached
    /// of late are left out: they seem to have room just because nothing runs there. Those that
    /// other boxes could not reach are left out too, unless there are no more.
    ///
    /// Of many engines a part is looked at, of a data centre first and then of all, beside the
    /// preferred one.
    fn candidates(
        &self,
        stage: Option<Stage>,
        data_centre: &str,
        preferred: Option<EngineKey>,
        has_room: impl Fn(&Record) -> bool,
    ) -> Vec<&Record> {
        let is_of_stage = |it: &Group| stage.is_none() || it.stage.is_none() || it.stage == stage;
        // Few of many engines may lie in the homes: a sample of all would miss them.
        let is_usable = |it: &Group| is_of_stage(it) && self.is_home(&it.data_centre);
        let name = &self.service.name;
        let count = self.directory.count(name, is_usable);
        if count <= MAX_COMPARED_COUNT {
            let mut all: Vec<_> =
                self.directory.sample(name, is_usable, count, self.draw).collect();
            all.sort_by_key(|it| it.engine.key);
            return self.usable(all, &has_room);
        }
        let preferred = preferred.and_then(|it| self.directory.get(it));
        let is_local = |it: &Group| is_usable(it) && *it.data_centre == *data_centre;
        let local = self.directory.sample(name, is_local, SAMPLE_COUNT, self.draw);
        let usable = self.usable(preferred.into_iter().chain(local).collect(), &has_room);
        if !usable.is_empty() {
            return usable;
        }
        let remote = self.directory.sample(name, is_usable, SAMPLE_COUNT, self.draw);
        self.usable(remote.collect(), &has_room)
    }

    /// Gives those of some engines that may take the call and have room for it.
    fn usable<'a>(
        &self,
        engines: Vec<&'a Record>,
        has_room: impl Fn(&Record) -> bool,
    ) -> Vec<&'a Record> {
        let allowed = engines.into_iter().filter(|it| self.is_allowed(it));
        let mut all: Vec<_> = allowed.filter(|it| !it.health.is_unreachable(self.now)).collect();
        if all.iter().any(|it| !it.health.is_suspected(self.now)) {
            all.retain(|it| !it.health.is_suspected(self.now));
        }
        all.retain(|it| has_room(it));
        let is_new = |it: &&Record| !self.tried.contains(&it.engine.key);
        let new: Vec<_> = all.iter().copied().filter(is_new).collect();
        let is_good = |it: &&Record| !it.health.is_poor(self.now);
        let good: Vec<_> = new.iter().copied().filter(is_good).collect();
        let chosen = [good, new, all].into_iter().find(|it| !it.is_empty()).unwrap_or_default();
        self.separate_suspects(chosen)
    }

    /// Tells whether the request may be sent to an engine at all: it takes new requests by what is
    /// listed and by its own word, lies in all homes, and is not cold or bears one more request.
    pub fn is_allowed(&self, known: &Record) -> bool {
        known.is_open(self.now)
            && self.is_home(&known.engine.data_centre)
            && !self.is_too_cold(known)
            && self.is_admitted(known)
    }

    /// Tells whether an engine's own word lets the request go there.
    fn is_admitted(&self, known: &Record) -> bool {
        let engine = known.engine.key;
        match self.terms.restriction(&known.engine, self.max_drain_age, self.now) {
            None => true,
            Some(Restriction::Leaving | Restriction::BackOff) => false,
            Some(Restriction::RateLimit) => {
                !self.needs_permit(engine) || self.may_request_permit(engine)
            }
        }
    }

    /// Gives the view of a request that has not asked for a permit yet.
    pub fn before_permit(&self) -> Selector<'_> {
        Selector { permit_wait: PermitWait::Open(Duration::ZERO), ..*self }
    }

    /// Tells whether a request can go to an engine only with a permit that is not there yet.
    pub fn needs_permit(&self, engine: EngineKey) -> bool {
        self.terms.limits.of(engine).is_some() && !self.permits.has(engine, self.now)
    }

    /// Tells whether the request may wait for a permit for an engine.
    fn may_request_permit(&self, engine: EngineKey) -> bool {
        match self.permit_wait {
            PermitWait::Open(patience) => !self.permits.is_refused(engine, patience, self.now),
            PermitWait::At(asked) => asked == engine,
            PermitWait::Never => false,
        }
    }

    /// Tells whether the request may be served in a data centre.
    fn is_home(&self, data_centre: &str) -> bool {
        self.homes.iter().all(|it| it.include(data_centre, self.regions))
    }

    /// Tells whether an engine is cold and bears no more of this box's requests now.
    fn is_too_cold(&self, known: &Record) -> bool {
        let rate = self.service.cold_rate.filter(|_| known.is_cold(self.now));
        rate.is_some_and(|it| {
            !self.cold_sends.may_send(known.engine.key, it, self.cold_share, self.now)
        })
    }

    /// Keeps those of some engines where a suspect request harms the fewest others if it crashes its
    /// engine, and keeps other requests away from such a one while there are other engines.
    fn separate_suspects<'a>(&self, mut engines: Vec<&'a Record>) -> Vec<&'a Record> {
        let is_tried = |it: &&Record| self.trials.contains(&it.engine.key);
        if engines.iter().any(|it| !is_tried(it)) {
            engines.retain(|it| !is_tried(it));
        }
        if self.is_suspect {
            let calls = |it: &&Record| self.ledger.at(it.engine.key).calls;
            let fewest = engines.iter().map(calls).min();
            engines.retain(|it| Some(calls(it)) == fewest);
        }
        engines
    }

    /// Finds the cheapest candidate; the drawn number breaks ties.
    fn cheapest<'a>(
        &self,
        candidates: &[&'a Record],
        cost: impl Fn(&Record) -> f64,
    ) -> Option<(&'a Record, f64)> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let first = (self.draw % count as u64) as usize;
        let rotated = candidates.iter().cycle().skip(first).take(count);
        rotated.map(|&it| (it, cost(it))).min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Gives the cost of a plain request at an engine.
    fn plain_cost(&self, known: &Record) -> f64 {
        let staleness_share = self.staleness_share(known);
        let one = 1.0 / f64::from(known.engine.slots.max(1));
        let work = (self.queue(known) + one) * self.pace(known);
        work + self.distance(known)
            + staleness_share
            + known.health.failure_rate(self.now) * FAILURE_SHARE
    }

    /// Gives how long work takes at an engine now, in the usual time.
    fn pace(&self, known: &Record) -> f64 {
        let reported =
            known.reported_load.filter(|(_, at)| self.now.since(*at) < REPORTED_LOAD_TTL);
        reported.map_or(1.0, |(it, _)| f64::from(it.pace) / USUAL_PACE_PERCENT)
    }

    /// Gives what the way to an engine costs, in shares of one that is full.
    fn distance(&self, known: &Record) -> f64 {
        self.distance_from(self.data_centre, known)
    }

    /// Gives what the way from a data centre to an engine costs, in shares of one that is full.
    fn distance_from(&self, data_centre: &str, known: &Record) -> f64 {
        let other = &*known.engine.data_centre;
        if other == data_centre {
            0.0
        } else if self.regions.of(other) == self.regions.of(data_centre) {
            OTHER_DATA_CENTRE_SHARE
        } else {
            OTHER_REGION_SHARE
        }
    }

    /// Gives what the age of what is known of an engine costs in time.
    fn staleness_cost(&self, known: &Record) -> Duration {
        if self.knows_remote || self.is_local(known) {
            Duration::ZERO
        } else {
            REMOTE_STALENESS_COST
        }
    }

    /// Gives what the age of what is known of an engine costs, in shares of one that is full.
    fn staleness_share(&self, known: &Record) -> f64 {
        if self.knows_remote || self.is_local(known) { 0.0 } else { REMOTE_STALENESS_SHARE }
    }

    /// Gives the work at an engine for each of its slots.
    fn queue(&self, known: &Record) -> f64 {
        let sent = self.ledger.at(known.engine.key).calls;
        let reported =
            known.reported_load.filter(|(_, at)| self.now.since(*at) < REPORTED_LOAD_TTL);
        let reported = reported.map_or(0, |(it, _)| it.running + it.waiting);
        f64::from(sent.max(reported)) / f64::from(known.engine.slots.max(1))
    }

    /// Gives the tokens that an engine has yet to read.
    fn queued_tokens(&self, known: &Record) -> u64 {
        u64::from(self.ledger.at(known.engine.key).prefill_tokens)
    }

    /// Gives the time until an engine would have read a prompt.
    fn prefill_time(&self, known: &Record, tokens: u64) -> Duration {
        let rate = self.directory.prefill_rate(known, self.now).max(0.1);
        let millis = (self.queued_tokens(known) + tokens) as f64 / rate;
        CALL_OVERHEAD + Duration::from_secs_f64(millis / 1e3)
    }

    /// Gives the time that a move of a prompt takes over an idle link.
    fn transfer_time(&self, staged: &Staged, tokens: u64) -> Duration {
        let bits = (tokens * staged.token_bytes * 8) as f64;
        let rate = (staged.link_mbps * 1e6).max(1.0);
        Duration::from_secs_f64((bits / rate).min(10.0))
    }

    /// Gives what an engine's failures cost in time.
    fn failure_cost(&self, known: &Record) -> Duration {
        FAILURE_COST.mul_f64(known.health.failure_rate(self.now))
    }

    /// Tells whether an engine has memory for more tokens. An empty engine always has, so that a
    /// request larger than all engines gets the engine's own answer.
    fn has_memory(&self, known: &Record, staged: &Staged, tokens: u64) -> bool {
        if known.is_full(tokens, self.now) {
            return false;
        }
        let engine = known.engine.key;
        let held = u64::from(self.ledger.at(engine).held_tokens);
        let memory = staged.memory_tokens as f64;
        let is_contested = self.ledger.is_contested(engine, self.now);
        let share = if is_contested { CONTESTED_MEMORY_SHARE } else { MEMORY_SHARE };
        held == 0 || (held + tokens) as f64 <= memory * share
    }

    /// Tells whether an engine is in this box's data centre.
    fn is_local(&self, known: &Record) -> bool {
        *known.engine.data_centre == *self.data_centre
    }
}

//! Selection of the engine that serves a call.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::cold::{BoxShare, SendTimes};
use crate::directory::{Directory, Group, Record};
use crate::engine::{Engine, EngineKey, Stage};
use crate::load::Ledger;
use crate::origin::Origin;
use crate::pace::{self, Paces};
use crate::permit::Holder;
use crate::region::{AllowedRegions, Regions};
use crate::route::{Service, Staged};
use crate::terms::{Restriction, Terms};
use crate::version::VersionKey;
use crate::work;

/// How long the load that an engine reported with an answer stays valid.
pub(crate) const REPORTED_LOAD_TTL: Duration = Duration::from_millis(400);

/// The cost of another data centre, as a share of a full engine's load.
const OTHER_DATA_CENTRE_SHARE: f64 = 0.1;

/// The cost of another region, as a share of a full engine's load. Transfers of memory take five
/// times as long as between data centres of one region, and each call about 25 ms more.
const OTHER_REGION_SHARE: f64 = 0.3;

/// The cost of a failure rate of 1, as a share of a full engine's load.
const FAILURE_SHARE: f64 = 2.0;

/// The pace at which work takes as long as usual, in percent.
const USUAL_PACE_PERCENT: f64 = 100.0;

/// The calls per slot above which an engine's queue is too long for new calls.
const MAX_QUEUE_RATIO: f64 = 4.0;

/// The share of an engine's memory that is allocated.
pub(crate) const MEMORY_SHARE: f64 = 0.95;

/// The share of memory that is allocated where another box has just freed some. Above it, all boxes
/// that wait for memory would claim it at once.
const CONTESTED_MEMORY_SHARE: f64 = 0.8;

/// The cost of a prompt's transfer to another data centre, in addition to the transfer time.
const OTHER_DATA_CENTRE_TRANSFER: Duration = Duration::from_millis(25);

/// The time penalty for an engine in another data centre whose load is known from infrequent
/// heartbeats only. Meanwhile it may have been sent a prompt of 5,000 tokens, which takes it 90 ms;
/// this is most of that.
const REMOTE_STALENESS_COST: Duration = Duration::from_millis(75);

/// The same penalty as a share of a full engine's load: two calls of six, or four of a dozen.
const REMOTE_STALENESS_SHARE: f64 = 0.3;

/// The time penalty for a failure rate of 1.
const FAILURE_COST: Duration = Duration::from_millis(1500);

/// The time penalty for each running stream that a prefill on the same engine slows down.
const STREAM_INTERFERENCE_COST: Duration = Duration::from_millis(60);

/// The time from sending a call until the engine starts on it.
const CALL_OVERHEAD: Duration = Duration::from_millis(15);

/// The maximum number of engines of a stage that are all compared. Of more engines only a sample
/// is, since the cost of a choice would grow with their number. Up to some hundreds, finding the
/// best of all is worth that cost.
const MAX_COMPARED_COUNT: usize = 300;

/// The number of engines in the sample. The best of 64 random engines is among the best 5 in 100 of
/// all in 96 of 100 cases, and the cost of a choice does not grow with the number of engines.
const SAMPLE_COUNT: usize = 64;

/// Whether a request may request a permit to use a rate-limited engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitState {
    /// It can wait for this time, and may request one of any engine whose next permit is due within it.
    MayRequest(Duration),
    /// It has requested one of this engine, and waits for it.
    Requested(EngineKey),
    /// It may request no more permits.
    Exhausted,
}

/// The bound on the time of a plain call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainBound {
    /// The longest time until the answer.
    pub longest: Duration,
    /// The calls per slot that must stay possible for the classes before the call's own.
    pub reserve_per_slot: f64,
}

/// An engine selected for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The selected engine.
    pub engine: Arc<Engine>,
    /// The expected time until the work that precedes the answer is done.
    pub expected: Duration,
    /// The prompt tokens that the engine prefills before and including this prompt.
    pub queued_tokens: u64,
}

/// What the choice for a request considers of the engines' paces.
#[derive(Debug, Clone, Copy)]
pub struct Tempo<'a> {
    /// The paces.
    pub paces: &'a Paces,
    /// The longest pause between events with which an answer is on time, if there is a limit.
    pub max_gap: Option<Duration>,
    /// The time within which the first event counts as on time.
    pub target: Duration,
}

/// What keeps requests that may crash their engines apart from others.
#[derive(Debug, Clone, Default)]
pub struct Separation {
    /// Whether engines have crashed while they served the request, or another one with a part of its
    /// prompt.
    pub is_suspect: bool,
    /// Engines that a possibly crashing request is being tried on.
    pub trials: Vec<EngineKey>,
    /// The software versions whose engines a part of the request's prompt crashes.
    pub held_versions: Vec<Option<VersionKey>>,
}

/// The selection of engines for one request, with all inputs that it depends on.
#[derive(Debug, Clone, Copy)]
pub struct Selector<'a> {
    /// The known engines.
    pub directory: &'a Directory,
    /// The load on the engines.
    pub ledger: &'a Ledger,
    /// The service that the request is for.
    pub service: &'a Service,
    /// This box's data centre.
    pub data_centre: &'a str,
    /// Whether the load on engines of other data centres is known as early as that on local ones.
    pub knows_remote: bool,
    /// Engines that the request was already sent to.
    pub tried: &'a [EngineKey],
    /// If set, only engines from which something has come since are selected.
    pub heard_since: Option<Time>,
    /// Which software version the answer's events must come from.
    pub origin: Origin,
    /// The engine that has reserved memory for the request.
    pub granted: Option<EngineKey>,
    /// The regions that the request may be served in: by its route, and by its customer.
    pub allowed_regions: [&'a AllowedRegions; 2],
    /// The region of each data centre.
    pub regions: &'a Regions,
    /// When this box last sent a request to each cold engine.
    pub cold_sends: &'a SendTimes,
    /// What determines this box's share of the requests that cold engines can handle.
    pub cold_share: BoxShare,
    /// The restrictions that engines have announced: shutdowns, back-offs and rate limits.
    pub terms: &'a Terms,
    /// This box's permits to use rate-limited engines.
    pub permits: &'a Holder,
    /// Whether the request may wait for another permit.
    pub permit_state: PermitState,
    /// How long ago an engine may have announced its shutdown and still be used, because no other
    /// engine can serve the request. `None` if another can.
    pub max_drain_age: Option<Duration>,
    /// The bound on the time of a plain call; none if the bound is the length of the queue.
    pub plain_bound: Option<PlainBound>,
    /// The size of requests that must not fit at a decode engine, if the request may only take
    /// memory that is of no use to others.
    pub remainder_below: Option<u64>,
    /// The time that plain calls take at engines.
    pub works: &'a work::Table,
    /// What keeps requests that may crash their engines apart from others.
    pub separation: &'a Separation,
    /// The engines' paces; `None` if choices don't depend on them.
    pub tempo: Option<Tempo<'a>>,
    /// The current time.
    pub now: Time,
    /// A random number, which breaks ties.
    pub draw: u64,
}

impl Selector<'_> {
    /// Selects an engine for a plain request; `None` if all queues are too long.
    pub fn choose_plain(&self) -> Option<Choice> {
        let is_in_time =
            |it: &Record| self.plain_bound.is_none_or(|bound| self.is_within(it, bound));
        let candidates = self.candidates(None, self.data_centre, None, is_in_time);
        let (record, cost) = self.cheapest(&candidates, |it| self.plain_cost(it))?;
        if self.plain_bound.is_none() && self.queue(record) > MAX_QUEUE_RATIO {
            return None;
        }
        let expected = Duration::from_secs_f64((cost * 0.1).clamp(0.0, 10.0));
        Some(Choice { engine: record.engine.clone(), expected, queued_tokens: 0 })
    }

    /// Selects an engine to prefill a prompt for another engine.
    pub fn choose_prefill(&self, staged: &Staged, tokens: u64) -> Option<Choice> {
        let has_capacity = |it: &Record| self.has_memory(it, staged, tokens);
        let stage = Some(Stage::Prefill);
        let candidates = self.candidates(stage, self.data_centre, None, has_capacity);
        let candidates = self.prefer_timely(candidates, staged, tokens);
        let (record, _) = self.cheapest(&candidates, |it| {
            let distance =
                OTHER_DATA_CENTRE_TRANSFER.mul_f64(self.distance(it) / OTHER_DATA_CENTRE_SHARE);
            let staleness_cost = self.staleness_cost(it);
            let prefill_time = self.prefill_time(it, tokens).div_f64(self.ramp_share(it));
            (prefill_time + distance + staleness_cost + self.failure_cost(it)).as_secs_f64()
        })?;
        let expected = self.prefill_time(record, tokens) + self.transfer_time(staged, tokens);
        Some(Choice {
            engine: record.engine.clone(),
            expected,
            queued_tokens: self.queued_tokens(record) + tokens,
        })
    }

    /// Selects an engine that prefills the prompt itself and then decodes.
    pub fn choose_combined(&self, staged: &Staged, tokens: u64, held: u64) -> Option<Choice> {
        let has_capacity = |it: &Record| self.is_granted(it) || self.has_memory(it, staged, held);
        let stage = Some(Stage::Decode);
        let candidates = self.candidates(stage, self.data_centre, self.granted, has_capacity);
        let candidates = self.prefer_steady(self.prefer_granted(candidates));
        let cost = |it: &Record| {
            let load = self.ledger.at(it.engine.key);
            let interference = STREAM_INTERFERENCE_COST * load.calls.min(4);
            let interference = interference.mul_f64(self.learned_pace(it));
            let staleness_cost = self.staleness_cost(it);
            self.prefill_time(it, tokens) + interference + staleness_cost + self.failure_cost(it)
        };
        let (record, _) =
            self.cheapest(&candidates, |it| cost(it).div_f64(self.ramp_share(it)).as_secs_f64())?;
        let expected = cost(record);
        Some(Choice {
            engine: record.engine.clone(),
            expected,
            queued_tokens: self.queued_tokens(record) + tokens,
        })
    }

    /// Selects an engine that decodes a prompt prefilled in the given data centre. Prefers the
    /// engine that has reserved memory itself, or the one where it was reserved in the ledger, if
    /// it can still be used.
    pub fn choose_decode(
        &self,
        staged: &Staged,
        held: u64,
        source_data_centre: &str,
        preferred: Option<EngineKey>,
    ) -> Option<Choice> {
        let preferred = self.granted.or(preferred);
        let is_reserved = |it: &Record| {
            let total = u64::from(self.ledger.at(it.engine.key).held_tokens);
            let fits = preferred == Some(it.engine.key) && total <= staged.memory_tokens;
            self.is_granted(it) || fits
        };
        let has_capacity = |it: &Record| is_reserved(it) || self.has_memory(it, staged, held);
        let stage = Some(Stage::Decode);
        let candidates = self.candidates(stage, source_data_centre, preferred, has_capacity);
        let candidates = self.prefer_steady(candidates);
        let (record, _) = self.cheapest(&candidates, |it| {
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
                + self.slowness_cost(it, staged, held)
        })?;
        let expected =
            CALL_OVERHEAD + self.transfer_time(staged, held) + self.first_event_time(record);
        Some(Choice { engine: record.engine.clone(), expected, queued_tokens: 0 })
    }

    /// Returns whether an engine has reserved memory for the request.
    fn is_granted(&self, record: &Record) -> bool {
        self.granted == Some(record.engine.key)
    }

    /// Keeps only the engine that has reserved memory for the request, if it is among the engines.
    fn prefer_granted<'a>(&self, engines: Vec<&'a Record>) -> Vec<&'a Record> {
        prefer(engines, |it| self.is_granted(it))
    }

    /// Returns the choice of an engine that has the prompt cached.
    pub fn choose_cached(record: &Record) -> Choice {
        Choice { engine: record.engine.clone(), expected: CALL_OVERHEAD, queued_tokens: 0 }
    }

    /// Returns whether an engine accepts new requests and has memory for one.
    pub fn has_capacity(&self, record: &Record, staged: &Staged, held: u64) -> bool {
        self.is_allowed(record) && self.has_memory(record, staged, held)
    }

    /// Returns the engines that can serve the call and have free capacity: untried ones in good
    /// health, else those in poor health, else those tried before. Engines that were recently
    /// unreachable are excluded: they only seem to have free capacity because nothing runs there.
    /// Engines that other boxes could not reach are excluded as well, unless no others are left.
    ///
    /// If there are many engines, only a sample is checked, together with the preferred one: first
    /// a sample of the given data centre, then of all.
    fn candidates(
        &self,
        stage: Option<Stage>,
        data_centre: &str,
        preferred: Option<EngineKey>,
        has_capacity: impl Fn(&Record) -> bool,
    ) -> Vec<&Record> {
        let is_of_stage = |it: &Group| stage.is_none() || it.stage.is_none() || it.stage == stage;
        // Only few of many engines may be in the allowed regions: a sample of all would miss them.
        // The same holds for the engines of a version.
        let is_usable = |it: &Group| {
            let is_allowed = self.is_region_allowed(&it.data_centre);
            is_of_stage(it) && is_allowed && self.fits_origin(it.stage, it.version)
        };
        let name = &self.service.name;
        let count = self.directory.count(name, is_usable);
        if count <= MAX_COMPARED_COUNT {
            let mut all: Vec<_> =
                self.directory.sample(name, is_usable, count, self.draw).collect();
            all.sort_by_key(|it| it.engine.key);
            return self.usable(all, &has_capacity);
        }
        let preferred = preferred.and_then(|it| self.directory.get(it));
        let is_local = |it: &Group| is_usable(it) && *it.data_centre == *data_centre;
        let local = self.directory.sample(name, is_local, SAMPLE_COUNT, self.draw);
        let usable = self.usable(preferred.into_iter().chain(local).collect(), &has_capacity);
        if !usable.is_empty() {
            return usable;
        }
        let remote = self.directory.sample(name, is_usable, SAMPLE_COUNT, self.draw);
        self.usable(remote.collect(), &has_capacity)
    }

    /// Returns those of the given engines that can serve the call and have free capacity.
    fn usable<'a>(
        &self,
        engines: Vec<&'a Record>,
        has_capacity: impl Fn(&Record) -> bool,
    ) -> Vec<&'a Record> {
        let allowed = engines.into_iter().filter(|it| self.is_allowed(it));
        let mut all: Vec<_> = allowed.filter(|it| !it.health.is_unreachable(self.now)).collect();
        if all.iter().any(|it| !it.health.is_suspected(self.now)) {
            all.retain(|it| !it.health.is_suspected(self.now));
        }
        if let Some(since) = self.heard_since {
            all.retain(|it| it.health.was_heard_after(since));
        }
        if all.iter().any(|it| !it.health.is_still(self.now)) {
            all.retain(|it| !it.health.is_still(self.now));
        }
        all.retain(|it| has_capacity(it));
        let is_new = |it: &&Record| !self.tried.contains(&it.engine.key);
        let new: Vec<_> = all.iter().copied().filter(is_new).collect();
        let is_good = |it: &&Record| !it.health.is_poor(self.now);
        let good: Vec<_> = new.iter().copied().filter(is_good).collect();
        let chosen = [good, new, all].into_iter().find(|it| !it.is_empty()).unwrap_or_default();
        self.separate_suspects(chosen)
    }

    /// Returns whether the request may be sent to an engine at all: the engine accepts new requests
    /// by its entry and its own announcements, lies in an allowed region, has the version that the
    /// stream needs, and is not cold or can handle one more request.
    pub fn is_allowed(&self, record: &Record) -> bool {
        record.is_open(self.now)
            && self.is_region_allowed(&record.engine.data_centre)
            && self.has_origin(record)
            && !self.is_too_cold(record)
            && self.is_admitted(record)
    }

    /// Returns whether an engine's own announcements allow the request.
    fn is_admitted(&self, record: &Record) -> bool {
        let engine = record.engine.key;
        match self.terms.restriction(&record.engine, self.max_drain_age, self.now) {
            None => true,
            Some(Restriction::ShuttingDown | Restriction::BackOff) => false,
            Some(Restriction::RateLimit) => {
                !self.needs_permit(engine) || self.may_request_permit(engine)
            }
        }
    }

    /// Returns a selector for the same request as if it had not requested a permit yet.
    pub fn before_permit(&self) -> Selector<'_> {
        Selector { permit_state: PermitState::MayRequest(Duration::ZERO), ..*self }
    }

    /// Returns whether the request needs a permit for an engine that this box does not hold yet.
    pub fn needs_permit(&self, engine: EngineKey) -> bool {
        self.terms.limits.of(engine).is_some() && !self.permits.has(engine, self.now)
    }

    /// Returns whether the request may wait for a permit for an engine.
    fn may_request_permit(&self, engine: EngineKey) -> bool {
        match self.permit_state {
            PermitState::MayRequest(patience) => {
                !self.permits.is_refused(engine, patience, self.now)
            }
            PermitState::Requested(asked) => asked == engine,
            PermitState::Exhausted => false,
        }
    }

    /// Returns whether the request may be served in a data centre.
    fn is_region_allowed(&self, data_centre: &str) -> bool {
        self.allowed_regions.iter().all(|it| it.includes_data_centre(data_centre, self.regions))
    }

    /// Returns whether an engine has the version that the stream needs.
    fn has_origin(&self, record: &Record) -> bool {
        self.fits_origin(record.engine.stage, record.version())
    }

    /// Returns whether engines of a stage and a version may serve the request. A prefill writes no
    /// events, and any decode engine can import it.
    fn fits_origin(&self, stage: Option<Stage>, version: Option<VersionKey>) -> bool {
        stage == Some(Stage::Prefill)
            || self.origin.allows(version) && !self.separation.held_versions.contains(&version)
    }

    /// Returns whether an engine is cold and can't accept another request of this box now.
    fn is_too_cold(&self, record: &Record) -> bool {
        let rate = self.service.cold_rate.filter(|_| record.is_cold(self.now));
        rate.is_some_and(|it| {
            !self.cold_sends.may_send(record.engine.key, it, self.cold_share, self.now)
        })
    }

    /// Keeps other requests off the engines on which a suspect request is tried, as long as there
    /// are other engines. For a suspect request, keeps only the engines with the fewest calls, so
    /// that a crash affects as few others as possible.
    fn separate_suspects<'a>(&self, mut engines: Vec<&'a Record>) -> Vec<&'a Record> {
        let is_tried = |it: &&Record| self.separation.trials.contains(&it.engine.key);
        if engines.iter().any(|it| !is_tried(it)) {
            engines.retain(|it| !is_tried(it));
        }
        if self.separation.is_suspect {
            let calls = |it: &&Record| self.ledger.at(it.engine.key).calls;
            let fewest = engines.iter().map(calls).min();
            engines.retain(|it| Some(calls(it)) == fewest);
        }
        engines
    }

    /// Returns the candidate with the lowest cost; the random number breaks ties.
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

    /// Returns the cost of a plain request at an engine.
    fn plain_cost(&self, record: &Record) -> f64 {
        let staleness_share = self.staleness_share(record);
        let one = 1.0 / f64::from(record.engine.slots.max(1));
        let work = (self.queue(record) + one) * self.pace(record);
        work + self.distance(record)
            + staleness_share
            + record.health.failure_rate(self.now) * FAILURE_SHARE
    }

    /// Returns whether an engine is expected to answer a plain call within a bound. An engine with
    /// a free slot is as fast as it can be.
    fn is_within(&self, record: &Record, bound: PlainBound) -> bool {
        let turns = self.queue(record) + bound.reserve_per_slot;
        let one = 1.0 / f64::from(record.engine.slots.max(1));
        if turns + one <= 1.0 {
            return true;
        }
        let work = self.works.at(&self.service.name, record.engine.key, self.now);
        work.map_or(turns + one <= MAX_QUEUE_RATIO, |it| it.mul_f64(turns + one) <= bound.longest)
    }

    /// Returns how long work at an engine takes now, relative to its usual time.
    fn pace(&self, record: &Record) -> f64 {
        let reported =
            record.reported_load.filter(|(_, at)| self.now.since(*at) < REPORTED_LOAD_TTL);
        reported.map_or(1.0, |(it, _)| f64::from(it.pace) / USUAL_PACE_PERCENT)
    }

    /// Returns the cost of the distance to an engine, as a share of a full engine's load.
    fn distance(&self, record: &Record) -> f64 {
        self.distance_from(self.data_centre, record)
    }

    /// Returns the cost of the distance from a data centre to an engine, as a share of a full
    /// engine's load.
    fn distance_from(&self, data_centre: &str, record: &Record) -> f64 {
        let other = &*record.engine.data_centre;
        if other == data_centre {
            0.0
        } else if self.regions.of(other) == self.regions.of(data_centre) {
            OTHER_DATA_CENTRE_SHARE
        } else {
            OTHER_REGION_SHARE
        }
    }

    /// Returns the time penalty for outdated knowledge of an engine's load.
    fn staleness_cost(&self, record: &Record) -> Duration {
        if self.knows_remote || self.is_local(record) {
            Duration::ZERO
        } else {
            REMOTE_STALENESS_COST
        }
    }

    /// Returns the penalty for outdated knowledge of an engine's load, as a share of a full
    /// engine's load.
    fn staleness_share(&self, record: &Record) -> f64 {
        if self.knows_remote || self.is_local(record) { 0.0 } else { REMOTE_STALENESS_SHARE }
    }

    /// Returns the number of calls per slot at an engine.
    fn queue(&self, record: &Record) -> f64 {
        let sent = self.ledger.at(record.engine.key).calls;
        let reported =
            record.reported_load.filter(|(_, at)| self.now.since(*at) < REPORTED_LOAD_TTL);
        let reported = reported.map_or(0, |(it, _)| it.running + it.waiting);
        f64::from(sent.max(reported)) / f64::from(record.engine.slots.max(1))
    }

    /// Returns the number of tokens that an engine has yet to prefill.
    fn queued_tokens(&self, record: &Record) -> u64 {
        u64::from(self.ledger.at(record.engine.key).prefill_tokens)
    }

    /// Returns the time until an engine would have prefilled a prompt.
    fn prefill_time(&self, record: &Record, tokens: u64) -> Duration {
        let rate = self.prefill_rate(record).max(0.1);
        let millis = (self.queued_tokens(record) + tokens) as f64 / rate;
        CALL_OVERHEAD + Duration::from_secs_f64(millis / 1e3)
    }

    /// Returns the rate at which an engine prefills prompts, in tokens per millisecond. A slow
    /// engine may have slowed down since its rate was measured.
    fn prefill_rate(&self, record: &Record) -> f64 {
        let rate = self.directory.prefill_rate(record, self.now);
        let pace = self.learned_pace(record);
        if pace <= 1.0 {
            return rate;
        }
        rate.min(self.directory.idle_prefill_rate(record) / pace)
    }

    /// Returns how long work at an engine takes relative to the usual, as learned from answers.
    fn learned_pace(&self, record: &Record) -> f64 {
        self.tempo.map_or(1.0, |it| it.paces.pace(&record.engine, self.now))
    }

    /// Returns the share of the usual work that an engine gets because it has just come back.
    fn ramp_share(&self, record: &Record) -> f64 {
        let returned_at = self.tempo.and_then(|_| record.returned_at(self.now));
        returned_at.map_or(1.0, |it| pace::ramp_share(it, self.now))
    }

    /// Returns the cost of the memory that is held for longer at a slow engine, and of the work
    /// that other boxes send to one that has come back, as a share of a full engine's load.
    fn slowness_cost(&self, record: &Record, staged: &Staged, held: u64) -> f64 {
        let factor = self.learned_pace(record) / self.ramp_share(record);
        if factor <= 1.0 {
            return 0.0;
        }
        let total = u64::from(self.ledger.at(record.engine.key).held_tokens) + held;
        (factor - 1.0) * total as f64 / staged.memory_tokens.max(1) as f64
    }

    /// Returns the time to the first event of a stream at a slow engine, and zero at another, whose
    /// time is short.
    fn first_event_time(&self, record: &Record) -> Duration {
        let is_slow = self.learned_pace(record) > 1.0;
        let gap = self.tempo.and_then(|it| it.paces.expected_gap(&record.engine, self.now));
        gap.filter(|_| is_slow).unwrap_or_default()
    }

    /// Keeps the engines whose expected pauses are within the route's limit, if there are any.
    fn prefer_steady<'a>(&self, engines: Vec<&'a Record>) -> Vec<&'a Record> {
        prefer(engines, |it| self.is_steady(it))
    }

    /// Returns whether an engine's expected pauses between events are within the route's limit.
    pub fn is_steady(&self, record: &Record) -> bool {
        let Some(tempo) = self.tempo else { return true };
        let Some(max_gap) = tempo.max_gap else { return true };
        let gap = tempo.paces.expected_gap(&record.engine, self.now);
        self.learned_pace(record) <= 1.0 || gap.is_none_or(|it| it <= max_gap)
    }

    /// Keeps the engines that prefill a prompt within the target, if there are any.
    fn prefer_timely<'a>(
        &self,
        engines: Vec<&'a Record>,
        staged: &Staged,
        tokens: u64,
    ) -> Vec<&'a Record> {
        let Some(tempo) = self.tempo else { return engines };
        let transfer = self.transfer_time(staged, tokens);
        let is_timely = |it: &Record| self.prefill_time(it, tokens) + transfer <= tempo.target;
        prefer(engines, |it| self.learned_pace(it) <= 1.0 || is_timely(it))
    }

    /// Returns the time that the transfer of a prompt takes over an idle link.
    fn transfer_time(&self, staged: &Staged, tokens: u64) -> Duration {
        let bits = (tokens * staged.token_bytes * 8) as f64;
        let rate = (staged.link_mbps * 1e6).max(1.0);
        Duration::from_secs_f64((bits / rate).min(10.0))
    }

    /// Returns the time penalty for an engine's failures.
    fn failure_cost(&self, record: &Record) -> Duration {
        FAILURE_COST.mul_f64(record.health.failure_rate(self.now))
    }

    /// Returns whether an engine has memory for more tokens. An empty engine always has, so that a
    /// request that is too large for every engine gets the engine's own answer.
    fn has_memory(&self, record: &Record, staged: &Staged, tokens: u64) -> bool {
        if record.is_full(tokens, self.now) {
            return false;
        }
        let engine = record.engine.key;
        let held = u64::from(self.ledger.at(engine).held_tokens);
        let memory = staged.memory_tokens as f64;
        let is_contested = self.ledger.is_contested(engine, self.now);
        let share = if is_contested { CONTESTED_MEMORY_SHARE } else { MEMORY_SHARE };
        let is_decode = record.engine.stage == Some(Stage::Decode);
        if let Some(size) = self.remainder_below.filter(|_| is_decode)
            && (held + size) as f64 <= memory * MEMORY_SHARE
        {
            return false;
        }
        held == 0 || (held + tokens) as f64 <= memory * share
    }

    /// Returns whether an engine is in this box's data centre.
    fn is_local(&self, record: &Record) -> bool {
        *record.engine.data_centre == *self.data_centre
    }
}

/// Keeps the engines that meet a condition, or all if none does.
fn prefer(mut engines: Vec<&Record>, is_preferred: impl Fn(&Record) -> bool) -> Vec<&Record> {
    if engines.iter().any(|it| is_preferred(it)) {
        engines.retain(|it| is_preferred(it));
    }
    engines
}

//! The speed of engines as their answers show it, relative to the other engines of their service.
//!
//! The load that this answers: some engines of a service always take longer than the others, and
//! some slow down for seconds. A box measures the time that its own calls take per event of a
//! stream, or per token of a prompt, and compares it with what it measures at the other engines, so
//! that a slow box finds all engines alike. Boxes tell each other of engines that differ.

mod estimate;
mod sample;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use crate::engine::{Engine, EngineKey, Stage};
use crate::request::CallKey;

use estimate::Estimate;
use sample::{Samples, Stretch};

/// The pace from which an engine counts as slow, in percent of the usual. Below it, engines differ
/// by their load.
pub const SLOW_PERCENT: u16 = 140;

/// The usual pace, in percent.
pub const USUAL_PERCENT: u16 = 100;

/// The largest pace, in percent. Slower engines are not told apart.
pub const MAX_PERCENT: u16 = 1000;

/// How recently an engine must have been measured to be compared with others. A box that slows down
/// slows all its calls at the same time.
const COMPARED_TTL: Duration = Duration::from_secs(4);

/// The interval at which the usual time is determined. Its cost grows with the number of engines, and
/// that of measurements with the number of streams.
const USUAL_INTERVAL: Duration = Duration::from_millis(250);

/// The minimum number of engines that a box compares. With fewer, it can't tell which one differs.
const MIN_COMPARED_COUNT: usize = 4;

/// The quantile of the engines' times that counts as usual. It holds while fewer than two thirds of
/// the engines are slow.
const USUAL_QUANTILE: f64 = 1.0 / 3.0;

/// The time after which a slow engine is announced again, in case an announcement was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The relative change of a slow engine's pace that is announced at once.
const ANNOUNCED_CHANGE: f64 = 0.25;

/// The maximum number of paces announced with one heartbeat, about 25 bytes each.
const MAX_ANNOUNCED: usize = 16;

/// The duration of one step in which an engine that has come back gets more work.
const RAMP_STEP: Duration = Duration::from_secs(1);

/// The number of steps until it gets as much as others.
const RAMP_STEP_COUNT: u32 = 4;

/// A box's announcement of an engine's pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The engine.
    pub engine: EngineKey,
    /// The start time of the engine's incarnation, in milliseconds of Unix time.
    pub started_at: Option<u64>,
    /// The time that work takes, in percent of the service's usual.
    pub percent: u16,
    /// The age of the measurement, in milliseconds.
    pub age_ms: u32,
}

/// An engine that has become slow, or is no longer slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: EngineKey,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Its pace, in percent of the usual.
    pub percent: u16,
}

/// The engines of a service that are compared with each other.
type Group = (Arc<str>, Option<Stage>);

/// What is known of one incarnation of an engine in one stage.
#[derive(Debug, Clone)]
struct State {
    /// The engines that it is compared with.
    group: Group,
    /// The start time of the incarnation.
    started_at: Option<u64>,
    /// The most recent samples.
    samples: Samples,
    /// The pace that this box has measured.
    own: Option<Estimate>,
    /// The pace that others have announced.
    received: Option<Estimate>,
    /// The pace that this box has announced last.
    announced: Option<Estimate>,
    /// Whether the engine was last reported as slow.
    is_slow: bool,
}

/// The paces of all engines.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    /// The engines that were measured or announced recently.
    engines: BTreeMap<EngineKey, State>,
    /// The part of each of this box's streams that is being measured.
    stretches: HashMap<CallKey, Stretch>,
    /// The usual time of each group in milliseconds, and when it was determined.
    usual: HashMap<Group, (f64, Time)>,
}

impl Paces {
    /// Records that events of a stream have arrived, up to the id given.
    pub fn record_events(
        &mut self,
        call: CallKey,
        engine: &Engine,
        last_id: Option<u64>,
        now: Time,
    ) {
        let Some(stretch) = self.stretches.get_mut(&call) else {
            self.stretches.insert(call, Stretch::new(last_id, now));
            return;
        };
        if let Some(event_ms) = stretch.advance(last_id, now) {
            self.record_sample(engine, event_ms, now);
        }
    }

    /// Records that the client of a stream has held its events up. What has gathered at the engine
    /// meanwhile arrives at once, so nothing is measured until that has passed.
    pub fn record_hold_up(&mut self, call: CallKey, last_id: Option<u64>, now: Time) {
        self.stretches.insert(call, Stretch::ignored(last_id, now));
    }

    /// Measures nothing of what has gathered while this box itself was paused.
    pub fn ignore_current(&mut self, now: Time) {
        self.stretches.values_mut().for_each(|it| it.ignore(now));
    }

    /// Forgets a stream that has ended.
    pub fn end_stream(&mut self, call: CallKey) {
        self.stretches.remove(&call);
    }

    /// Records how long an engine took to prefill a prompt and the tokens queued before it.
    pub fn record_prefill(&mut self, engine: &Engine, tokens: u64, took: Duration, now: Time) {
        if tokens > 0 {
            self.record_sample(engine, took.as_secs_f64() * 1e3 / tokens as f64, now);
        }
    }

    /// Applies another box's announcement of an engine's pace. That of another incarnation is
    /// ignored.
    pub fn receive(&mut self, engine: &Engine, announcement: &Announcement, now: Time) {
        if announcement.started_at != engine.started_at {
            return;
        }
        let age = Duration::from_millis(u64::from(announcement.age_ms));
        if age >= estimate::TTL {
            return;
        }
        let percent = announcement.percent.clamp(USUAL_PERCENT, MAX_PERCENT);
        let estimate = Estimate { percent, at: now - age };
        let state = self.state(engine);
        let stage = state.group.1;
        state.received = estimate::merge(stage, state.received, Some(estimate), now);
    }

    /// Forgets an engine that has ended.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }

    /// Returns how long work at an engine takes, relative to the usual: 1 unless it is slow.
    pub fn pace(&self, engine: &Engine, now: Time) -> f64 {
        let state = self.engines.get(&engine.key).filter(|it| it.is_about(engine));
        state.and_then(|it| it.estimate(now)).map_or(1.0, |it| it.pace(now))
    }

    /// Returns the expected time between two events of a stream at a decode engine, if this box
    /// knows the usual one.
    pub fn expected_gap(&self, engine: &Engine, now: Time) -> Option<Duration> {
        let group = (engine.service.clone(), engine.stage);
        let (usual_ms, at) = self.usual.get(&group)?;
        (now.since(*at) < estimate::TTL)
            .then(|| Duration::from_secs_f64(usual_ms * self.pace(engine, now) / 1e3))
    }

    /// Returns the paces to announce: those of slow engines when they have changed, and now and
    /// then while they last, and those of engines that are no longer slow. The slowest are first if
    /// there are too many.
    pub fn take_announcements(&mut self, now: Time) -> Vec<Announcement> {
        let news = self.engines.iter().filter_map(|(key, it)| Some((*key, it.news(now)?)));
        let mut news: Vec<_> = news.collect();
        news.sort_by_key(|(key, it)| (std::cmp::Reverse(it.percent), *key));
        news.truncate(MAX_ANNOUNCED);
        news.into_iter().filter_map(|(key, it)| self.announce(key, it, now)).collect()
    }

    /// Returns the engines that have become slow, or are no longer slow, and forgets those of which
    /// nothing recent is known.
    pub fn take_changes(&mut self, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for (&engine, state) in &mut self.engines {
            let percent = state.estimate(now).map_or(USUAL_PERCENT, |it| it.percent);
            let is_slow = percent >= SLOW_PERCENT;
            if is_slow != state.is_slow {
                state.is_slow = is_slow;
                changes.push(Change { engine, is_slow, percent });
            }
        }
        self.engines.retain(|_, it| it.is_known(now));
        changes
    }

    /// Records the time of one unit of work at an engine, and compares it.
    fn record_sample(&mut self, engine: &Engine, unit_ms: f64, now: Time) {
        let state = self.state(engine);
        state.samples.add(unit_ms, now);
        let group = state.group.clone();
        let Some(own_ms) = state.unit_ms(estimate::TTL, now) else { return };
        let Some(usual_ms) = self.update_usual(group, now) else { return };
        let percent = own_ms / usual_ms * f64::from(USUAL_PERCENT);
        let percent = percent.clamp(f64::from(USUAL_PERCENT), f64::from(MAX_PERCENT)) as u16;
        self.state(engine).own = Some(Estimate { percent, at: now });
    }

    /// Returns the usual time of a unit of work in a group, which is determined now and then.
    fn update_usual(&mut self, group: Group, now: Time) -> Option<f64> {
        let known = self.usual.get(&group).filter(|(_, at)| now.since(*at) < USUAL_INTERVAL);
        if let Some((usual_ms, _)) = known {
            return Some(*usual_ms);
        }
        let usual_ms = self.usual_ms(&group, now)?;
        self.usual.insert(group, (usual_ms, now));
        Some(usual_ms)
    }

    /// Returns the usual time of a unit of work in a group, by the engines measured just now.
    fn usual_ms(&self, group: &Group, now: Time) -> Option<f64> {
        let measured = self.engines.values().filter(|it| it.samples.is_fresh(now));
        let members = measured.filter(|it| it.group == *group);
        let mut times: Vec<_> = members.filter_map(|it| it.unit_ms(COMPARED_TTL, now)).collect();
        if times.len() < MIN_COMPARED_COUNT {
            return None;
        }
        times.sort_by(f64::total_cmp);
        let usual = times[((times.len() - 1) as f64 * USUAL_QUANTILE) as usize];
        (usual > 0.0).then_some(usual)
    }

    /// Returns the state of an engine's present incarnation in its present stage.
    fn state(&mut self, engine: &Engine) -> &mut State {
        let state = self.engines.entry(engine.key).or_insert_with(|| State::new(engine));
        if !state.is_about(engine) {
            *state = State { is_slow: state.is_slow, ..State::new(engine) };
        }
        state
    }

    /// Records that a pace is announced, and returns its announcement.
    fn announce(&mut self, key: EngineKey, own: Estimate, now: Time) -> Option<Announcement> {
        let state = self.engines.get_mut(&key)?;
        state.announced = Some(own);
        let age_ms = u32::try_from(now.since(own.at).as_millis()).unwrap_or(u32::MAX);
        Some(Announcement {
            engine: key,
            started_at: state.started_at,
            percent: own.percent,
            age_ms,
        })
    }
}

impl State {
    /// Creates the state of an engine of which nothing is known.
    fn new(engine: &Engine) -> State {
        State {
            group: (engine.service.clone(), engine.stage),
            started_at: engine.started_at,
            samples: Samples::default(),
            own: None,
            received: None,
            announced: None,
            is_slow: false,
        }
    }

    /// Returns whether this is the state of an engine's incarnation and stage.
    fn is_about(&self, engine: &Engine) -> bool {
        self.started_at == engine.started_at && self.group.1 == engine.stage
    }

    /// Returns the time of a unit of work by the samples of the given age at most.
    fn unit_ms(&self, max_age: Duration, now: Time) -> Option<f64> {
        match self.group.1 {
            // A prompt also waits for others that this box doesn't know of.
            Some(Stage::Prefill) => self.samples.least(max_age, now),
            _ => self.samples.median(max_age, now),
        }
    }

    /// Returns the valid pace, by own measurements or by others'.
    fn estimate(&self, now: Time) -> Option<Estimate> {
        estimate::merge(self.group.1, self.received, self.own, now).filter(|it| it.is_valid(now))
    }

    /// Returns the own measurement if others need it.
    fn news(&self, now: Time) -> Option<Estimate> {
        let own = self.own.filter(|it| it.is_valid(now))?;
        if self.announced.is_some_and(|it| it.at >= own.at) {
            return None;
        }
        let last = [self.announced, self.received].into_iter().flatten().max_by_key(|it| it.at);
        let last = last.filter(|it| it.is_valid(now));
        let known = last.map_or(USUAL_PERCENT, |it| it.percent);
        if own.percent < SLOW_PERCENT {
            return (known >= SLOW_PERCENT).then_some(own);
        }
        let change = f64::from(own.percent.abs_diff(known)) / f64::from(known);
        let is_old = last.is_none_or(|it| own.at.since(it.at) >= REPEAT_INTERVAL);
        (is_old || change >= ANNOUNCED_CHANGE).then_some(own)
    }

    /// Returns whether anything recent is known.
    fn is_known(&self, now: Time) -> bool {
        self.samples.is_fresh(now) || self.estimate(now).is_some()
    }
}

/// Returns the share of the usual work that an engine gets which came back at a time. It rises in
/// steps to 1, so that the boxes that find it empty don't all send to it at once.
pub fn ramp_share(returned_at: Time, now: Time) -> f64 {
    let step = now.since(returned_at).as_secs_f64() / RAMP_STEP.as_secs_f64();
    let share = (step.floor() + 1.0) / f64::from(RAMP_STEP_COUNT);
    share.min(1.0)
}

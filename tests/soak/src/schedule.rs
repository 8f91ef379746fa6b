//! Schedules of faults. A seed always yields the same schedule.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::peering::{Direction, Disorder};
use crate::standin::engine::{Breach, Garbage, Telling};
use crate::standin::store::Mood;

/// The time without faults at the start, in which all processes become ready.
const WARM_UP: Duration = Duration::from_millis(2500);

/// The time without faults at the end, so that a recovery is observed whole.
pub const COOL_DOWN: Duration = Duration::from_secs(9);

/// The range of the time between two faults, in milliseconds; short enough that faults overlap.
const GAP_MS: (u64, u64) = (150, 1400);

/// The probability that a schedule ends with the loss of all boxes.
const FINAL_LOSS: f64 = 0.5;

/// A fault that the harness injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Boxes are killed and restarted.
    Kill {
        /// The number of boxes.
        count: usize,
    },
    /// All boxes are killed at once and restarted.
    KillAll,
    /// The box that sends the next order to an upstream, as the lease holder, fails some time after
    /// it.
    StrikeHolder {
        /// How the box fails.
        blow: Blow,
        /// The time between the order and the failure.
        after: Duration,
    },
    /// Boxes are paused with SIGSTOP.
    Pause {
        /// The number of boxes.
        count: usize,
        /// The duration.
        span: Duration,
    },
    /// Boxes are stopped with SIGTERM, one after the other, and restarted when they have ended.
    Stop {
        /// The number of boxes.
        count: usize,
        /// The time between two of these stops.
        gap: Duration,
    },
    /// The store fails in one of several ways.
    Store {
        /// How it fails.
        mood: Mood,
        /// The duration.
        span: Duration,
    },
    /// Some boxes cannot reach the store; the others can.
    CutFromStore {
        /// The number of boxes.
        count: usize,
        /// The duration.
        span: Duration,
    },
    /// An upstream is killed, and another one replaces it.
    EngineCrash,
    /// An upstream is paused with SIGSTOP.
    EnginePause {
        /// The duration.
        span: Duration,
    },
    /// Upstreams of a service are paused with SIGSTOP at the same moment.
    StandStill {
        /// Whether it is the plain service.
        is_plain: bool,
        /// How many of its upstreams.
        share: Share,
        /// The duration.
        span: Duration,
    },
    /// Upstreams lose some of their answers.
    LoseAnswers {
        /// The percentage of answers.
        share: u64,
        /// The duration.
        span: Duration,
    },
    /// An upstream works more slowly.
    SlowEngine {
        /// The factor on its processing time.
        times: u32,
        /// The duration.
        span: Duration,
    },
    /// All upstreams fail or reject most requests, while boxes are killed.
    Storm {
        /// What the upstreams do.
        refusal: Refusal,
        /// The percentage of requests.
        share: u64,
        /// How often all boxes are killed and restarted meanwhile.
        losses: u32,
        /// The duration.
        span: Duration,
    },
    /// Upstreams of a service announce a rate limit, and another one after half of the time.
    Limit {
        /// Whether it is the plain service.
        is_plain: bool,
        /// The number of upstreams.
        count: usize,
        /// The first and the second limit, in thousandths of a request a second.
        milli: (u64, u64),
        /// The duration.
        span: Duration,
    },
    /// An upstream of a service announces its shutdown in its answers, and in its entry some time
    /// later.
    Leave {
        /// Whether it belongs to the plain service.
        is_plain: bool,
        /// The time between the two announcements.
        span: Duration,
    },
    /// Upstreams of a service reject all requests and ask boxes to back off.
    Rest {
        /// Whether it is the plain service.
        is_plain: bool,
        /// The number of upstreams.
        count: usize,
        /// The back-off that they ask for.
        rest: Duration,
        /// How long they reject all requests.
        span: Duration,
    },
    /// A box that runs the older program is stopped and restarted with the newer one.
    Replace {
        /// The box.
        node: usize,
    },
    /// Engines do not answer orders and carry them out late.
    DelayOrders {
        /// The percentage of orders.
        share: u64,
        /// The duration.
        span: Duration,
    },
    /// An upstream reports a false load.
    LyingEngine {
        /// The load that it reports.
        telling: Telling,
        /// The duration.
        span: Duration,
    },
    /// Connections between clients, boxes and upstreams are reset.
    ResetLinks {
        /// The percentage of connections.
        share: u64,
    },
    /// Open connections carry no more data, without a reset, while new ones work.
    MuteLinks {
        /// The percentage of connections.
        share: u64,
    },
    /// The connections to one box or upstream carry no data.
    HoldLinks {
        /// The duration.
        span: Duration,
    },
    /// Datagrams between boxes are lost, duplicated or delayed.
    Datagrams {
        /// The percentage of each.
        disorder: Disorder,
        /// The duration.
        span: Duration,
    },
    /// Some boxes are cut off from the other boxes, but from nothing else.
    Split {
        /// The number of boxes.
        count: usize,
        /// The direction that is cut.
        direction: Direction,
        /// The duration.
        span: Duration,
    },
    /// The next version of the configuration is written.
    Configure,
    /// An upstream drains and shuts down.
    Drain,
    /// Decode engines work so slowly that their streams pause for too long.
    SlowDecode {
        /// The factor on their processing time.
        times: u32,
        /// The number of engines.
        count: usize,
        /// The duration.
        span: Duration,
    },
    /// A decode engine works slowly and announces its shutdown, so that its streams do not end in
    /// time.
    LeaveSlowly {
        /// The factor on its processing time.
        times: u32,
        /// The time between the announcement in its answers and that in its entry.
        span: Duration,
    },
    /// More clients than the engines can serve send streams.
    Crowd {
        /// The duration.
        span: Duration,
    },
    /// Engines deviate from the protocol of reservations and transfers.
    Deviate {
        /// How they deviate.
        breach: Breach,
        /// The percentage of calls.
        share: u64,
        /// The duration.
        span: Duration,
    },
    /// Engines send bytes within streams that are not part of their runs.
    Garble {
        /// The kind of bytes.
        garbage: Garbage,
        /// The percentage of streams.
        share: u64,
        /// The number of engines.
        count: usize,
        /// The duration.
        span: Duration,
    },
    /// The store is unavailable and is then restored from an older copy.
    ComeBack {
        /// The age of the copy.
        age: Duration,
        /// How long the store is unavailable.
        span: Duration,
    },
}

/// A share of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Share {
    /// One of them.
    One,
    /// Half of them, rounded up.
    Half,
    /// All of them.
    All,
}

/// How upstreams fail to serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// They run requests and fail them.
    Fail,
    /// They reject requests without running them.
    TurnAway,
}

/// How one box fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It is killed and restarted.
    Kill,
    /// It is paused for longer than its lease.
    Pause,
    /// It is cut off from the other boxes.
    Cut,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// The time since the start of the clients.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Draws the faults of a run, sorted by time.
pub fn draw(seed: u64, length: Duration) -> Vec<Planned> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let end = length.saturating_sub(COOL_DOWN);
    let mut planned = Vec::new();
    let mut at = WARM_UP;
    while at < end {
        planned.push(Planned { at, fault: draw_fault(&mut random) });
        at += Duration::from_millis(random.random_range(GAP_MS.0..=GAP_MS.1));
    }
    if random.random_bool(FINAL_LOSS) {
        planned.push(Planned { at: end, fault: Fault::KillAll });
    }
    planned.extend(draw_storm(seed, end));
    planned.extend(draw_late_orders(seed, end));
    planned.extend(draw_limits(seed, end));
    planned.extend(draw_leaving(seed, end));
    planned.extend(draw_rests(seed, end));
    planned.extend(draw_returns(seed, end));
    planned.extend(draw_crowds(seed, end));
    planned.extend(draw_slow_decodes(seed, end));
    planned.extend(draw_slow_leaving(seed, end));
    planned.extend(draw_deviations(seed, end));
    planned.extend(draw_garbage(seed, end));
    let stand_stills = draw_stand_stills(seed, end, &planned);
    planned.extend(stand_stills);
    planned.sort_by_key(|it| it.at);
    planned
}

/// Draws the storm of a run, which ends before the cool-down; none in a short run. It has a
/// generator of its own.
fn draw_storm(seed: u64, end: Duration) -> Option<Planned> {
    let mut random = Pcg64Mcg::seed_from_u64(!seed);
    let share = random.random_range(70..=100);
    let losses = random.random_range(0..=3);
    let refusal = if random.random() { Refusal::Fail } else { Refusal::TurnAway };
    let span = Duration::from_millis(random.random_range(3000..=8000));
    let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
    let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
    Some(Planned { at, fault: Fault::Storm { refusal, share, losses, span } })
}

/// Draws when orders are carried out late, with a separate generator; none in a short run.
fn draw_late_orders(seed: u64, end: Duration) -> Option<Planned> {
    let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(17));
    let share = random.random_range(30..=100);
    let span = Duration::from_millis(random.random_range(2000..=8000));
    let latest = end.checked_sub(span)?;
    let fault = Fault::DelayOrders { share, span };
    Some(Planned { at: latest.mul_f64(random.random()), fault })
}

/// The number of times in a run that upstreams announce limits.
const LIMITS: u64 = 2;

/// Draws when upstreams announce limits, with a separate generator; none in a short run. These
/// times may overlap, and end before the cool-down.
fn draw_limits(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(29) ^ number);
        let is_plain = random.random_bool(0.6);
        let count = random.random_range(1..=3);
        let milli = (random.random_range(300..=6000), random.random_range(300..=6000));
        let span = Duration::from_millis(random.random_range(4500..=9000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Limit { is_plain, count, milli, span } })
    };
    (0..LIMITS).filter_map(draw).collect()
}

/// The number of upstreams in a run that announce their shutdown.
const LEAVING: u64 = 2;

/// Draws when upstreams announce their shutdown, with a separate generator; none in a short run.
fn draw_leaving(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(37) ^ number);
        let is_plain = random.random_bool(0.5);
        let span = Duration::from_millis(random.random_range(1000..=7000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Leave { is_plain, span } })
    };
    (0..LEAVING).filter_map(draw).collect()
}

/// The number of times in a run that upstreams ask boxes to back off.
const RESTS: u64 = 2;

/// Draws when upstreams ask boxes to back off, with a separate generator; none in a short run.
fn draw_rests(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(43) ^ number);
        let is_plain = random.random_bool(0.6);
        let count = random.random_range(1..=3);
        let rest = Duration::from_millis(random.random_range(800..=4000));
        let span = Duration::from_millis(random.random_range(1500..=6000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Rest { is_plain, count, rest, span } })
    };
    (0..RESTS).filter_map(draw).collect()
}

/// The number of times in a run that the store is restored from an older copy.
const RETURNS: u64 = 2;

/// Draws when the store is restored from an older copy, with a separate generator; none in a short
/// run. These times may overlap.
fn draw_returns(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(51) ^ number);
        let age = Duration::from_millis(random.random_range(300..=6000));
        let span = Duration::from_millis(random.random_range(100..=2500));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::ComeBack { age, span } })
    };
    (0..RETURNS).filter_map(draw).collect()
}

/// The number of crowds in a run.
const CROWDS: u64 = 2;

/// Draws the crowds, with a separate generator; none in a short run.
fn draw_crowds(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(7) ^ number);
        let span = Duration::from_millis(random.random_range(2000..=6000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Crowd { span } })
    };
    (0..CROWDS).filter_map(draw).collect()
}

/// The number of times in a run that decode engines are slow.
const SLOW_DECODES: u64 = 3;

/// Draws when decode engines are slow, with a separate generator; none in a short run.
fn draw_slow_decodes(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(11) ^ number);
        let times = random.random_range(10..=40);
        let count = random.random_range(1..=2);
        let span = Duration::from_millis(random.random_range(1500..=4000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::SlowDecode { times, count, span } })
    };
    (0..SLOW_DECODES).filter_map(draw).collect()
}

/// The number of slow decode engines in a run that announce their shutdown.
const SLOW_LEAVING: u64 = 3;

/// Draws when slow decode engines announce their shutdown, with a separate generator; none in a
/// short run.
fn draw_slow_leaving(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(23) ^ number);
        let times = random.random_range(10..=40);
        let span = Duration::from_millis(random.random_range(500..=2000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::LeaveSlowly { times, span } })
    };
    (0..SLOW_LEAVING).filter_map(draw).collect()
}

/// The number of times in a run that engines deviate from the protocol.
const DEVIATIONS: u64 = 4;

/// Draws when engines deviate from the protocol, with a separate generator; none in a short run.
fn draw_deviations(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(19) ^ number);
        let breach = Breach::ALL.choose(&mut random).copied().unwrap_or(Breach::Lose);
        let share = random.random_range(20..=100);
        let span = Duration::from_millis(random.random_range(1000..=4000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Deviate { breach, share, span } })
    };
    (0..DEVIATIONS).filter_map(draw).collect()
}

/// The number of times in a run that engines send garbage.
const GARBLES: u64 = 4;

/// Draws when engines send bytes that are not part of their runs, with a separate generator; none in
/// a short run.
fn draw_garbage(seed: u64, end: Duration) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(59) ^ number);
        let garbage = Garbage::ALL.choose(&mut random).copied().unwrap_or(Garbage::Between);
        let share = random.random_range(20..=100);
        let count = random.random_range(1..=3);
        let span = Duration::from_millis(random.random_range(1000..=4000));
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let at = WARM_UP + (latest - WARM_UP).mul_f64(random.random());
        Some(Planned { at, fault: Fault::Garble { garbage, share, count, span } })
    };
    (0..GARBLES).filter_map(draw).collect()
}

/// The number of times in a run that upstreams of a service stand still together.
const STAND_STILLS: u64 = 3;

/// The durations around which upstreams stand still, in milliseconds: those of the boxes' timers.
const STAND_STILL_MS: [u64; 8] = [300, 500, 1000, 1200, 1500, 2000, 3000, 4000];

/// The durations that are longer than the boxes' timers for streams, in milliseconds.
const LONG_STAND_STILL_MS: [u64; 5] = [1200, 1500, 2000, 3000, 4000];

/// The range of a duration's deviation from a timer, in percent of it.
const STAND_STILL_PERCENT: (u64, u64) = (85, 115);

/// How long before upstreams stand still boxes may already be affected by another fault.
const BEFORE_STAND_STILL: Duration = Duration::from_millis(500);

/// The number of times among which the calmest is chosen.
const CALM_TIMES: usize = 16;

/// Draws when upstreams stand still, and what affects the boxes in the same seconds, with a separate
/// generator; none in a short run. The first time is long, concerns several upstreams, and overlaps
/// few of the other faults that end requests.
fn draw_stand_stills(seed: u64, end: Duration, others: &[Planned]) -> Vec<Planned> {
    let draw = |number: u64| {
        let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(3) ^ number);
        let is_calm = number == 0;
        let is_plain = random.random_bool(0.3);
        let shares = [Share::One, Share::Half, Share::All, Share::All];
        let shares = if is_calm { &shares[1..] } else { &shares[..] };
        let share = shares.choose(&mut random).copied().unwrap_or(Share::All);
        let timers = if is_calm { &LONG_STAND_STILL_MS[..] } else { &STAND_STILL_MS[..] };
        let timer = timers.choose(&mut random).copied().unwrap_or(1500);
        let percent = random.random_range(STAND_STILL_PERCENT.0..=STAND_STILL_PERCENT.1);
        let span = Duration::from_millis(timer * percent / 100);
        let latest = end.checked_sub(span).filter(|&it| it > WARM_UP)?;
        let count = if is_calm { CALM_TIMES } else { 1 };
        let times: Vec<_> =
            (0..count).map(|_| WARM_UP + (latest - WARM_UP).mul_f64(random.random())).collect();
        let at = times.into_iter().min_by_key(|&it| endings_within(others, it, it + span))?;
        let mut planned = vec![Planned { at, fault: Fault::StandStill { is_plain, share, span } }];
        planned.extend(draw_around(&mut random, at, span));
        Some(planned)
    };
    (0..STAND_STILLS).filter_map(draw).flatten().collect()
}

/// Draws what affects boxes while upstreams stand still.
fn draw_around(random: &mut Pcg64Mcg, at: Duration, span: Duration) -> Vec<Planned> {
    let gap = Duration::from_millis(random.random_range(200..=1200));
    let count = random.random_range(1..=3);
    let faults = [
        (0.5, Fault::Configure),
        (0.5, Fault::Stop { count, gap }),
        (0.25, Fault::Kill { count: 1 }),
    ];
    let planned = faults.into_iter().filter_map(|(probability, fault)| {
        let is_drawn = random.random_bool(probability);
        let offset = (span + BEFORE_STAND_STILL).mul_f64(random.random());
        is_drawn.then(|| Planned { at: at + offset - BEFORE_STAND_STILL, fault })
    });
    planned.collect()
}

/// Counts the faults in an interval that end requests at many boxes or upstreams.
fn endings_within(planned: &[Planned], from: Duration, until: Duration) -> usize {
    let ends = planned.iter().filter(|it| {
        let span = match it.fault {
            Fault::Storm { span, .. }
            | Fault::LoseAnswers { span, .. }
            | Fault::HoldLinks { span }
            | Fault::Rest { span, .. } => span,
            Fault::ResetLinks { .. }
            | Fault::MuteLinks { .. }
            | Fault::EngineCrash
            | Fault::KillAll => Duration::ZERO,
            _ => return false,
        };
        it.at <= until && it.at + span + BEFORE_STAND_STILL >= from
    });
    ends.count()
}

/// Returns the replacements of all boxes, spread evenly over a run.
pub fn replace_all(boxes: usize, length: Duration) -> Vec<Planned> {
    let end = length.saturating_sub(COOL_DOWN);
    let step = end.saturating_sub(WARM_UP) / u32::try_from(boxes.max(1)).unwrap_or(u32::MAX);
    let at = |node: usize| WARM_UP + step * u32::try_from(node).unwrap_or(u32::MAX);
    (0..boxes).map(|node| Planned { at: at(node), fault: Fault::Replace { node } }).collect()
}

/// Draws one fault.
fn draw_fault(random: &mut Pcg64Mcg) -> Fault {
    let mut span =
        |min_ms: u64, max_ms: u64| Duration::from_millis(random.random_range(min_ms..=max_ms));
    let short = span(200, 1500);
    let long = span(800, 3500);
    let gap = span(200, 1200);
    let moods = [Mood::Busy, Mood::Silent, Mood::Forgetful, Mood::Lossy];
    let mood = moods.choose(random).copied().unwrap_or(Mood::Busy);
    let count = random.random_range(1..=3);
    let share = random.random_range(10..=60);
    let times = random.random_range(2..=6);
    let telling = if random.random() { Telling::Idle } else { Telling::Full };
    let blows = [Blow::Kill, Blow::Pause, Blow::Cut];
    let blow = blows.choose(random).copied().unwrap_or(Blow::Kill);
    let after = Duration::from_millis(random.random_range(0..=1000));
    let directions = [Direction::Both, Direction::Both, Direction::Out, Direction::In];
    let direction = directions.choose(random).copied().unwrap_or(Direction::Both);
    let lost = random.random_range(0..=30);
    let disorder = Disorder { lost, doubled: random.random_range(0..=30), late: 40 - lost };
    let faults = [
        Fault::Kill { count },
        Fault::Kill { count: 1 },
        Fault::StrikeHolder { blow, after },
        Fault::Pause { count, span: short },
        Fault::Pause { count, span: long },
        Fault::Stop { count, gap },
        Fault::Store { mood, span: long },
        Fault::CutFromStore { count, span: long },
        Fault::EngineCrash,
        Fault::EnginePause { span: short },
        Fault::LoseAnswers { share: share / 2, span: long },
        Fault::SlowEngine { times, span: long },
        Fault::LyingEngine { telling, span: long },
        Fault::ResetLinks { share },
        Fault::MuteLinks { share },
        Fault::HoldLinks { span: short },
        Fault::Datagrams { disorder, span: long },
        Fault::Split { count, direction, span: long },
        Fault::Configure,
        Fault::Configure,
        Fault::Drain,
    ];
    faults.choose(random).copied().unwrap_or(Fault::Configure)
}

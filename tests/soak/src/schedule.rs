//! Which faults come when. A seed gives the same schedule each time.

use std::fmt;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::peering::{Direction, Disorder};
use crate::standin::engine::Telling;
use crate::standin::store::Mood;

/// The time at the start without faults, in which everything comes up.
const WARM_UP: Duration = Duration::from_millis(2500);

/// The time at the end without faults, so that a recovery is seen whole.
pub const COOL_DOWN: Duration = Duration::from_secs(9);

/// The time between two faults, in milliseconds, at least and at most: short enough that they
/// overlap.
const GAP_MS: (u64, u64) = (150, 1400);

/// The chance that a schedule ends with the loss of all boxes.
const FINAL_LOSS: f64 = 0.5;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Boxes are killed and started again.
    Kill {
        /// How many.
        count: usize,
    },
    /// All boxes are killed at once and started again.
    KillAll,
    /// The box that gives the next order to an upstream, as the holder of the lease, is struck right
    /// after it.
    StrikeHolder {
        /// How it is struck.
        blow: Blow,
        /// How long after its order.
        after: Duration,
    },
    /// Boxes stand still for a while.
    Pause {
        /// How many.
        count: usize,
        /// For how long.
        span: Duration,
    },
    /// Boxes are told to stop, one after the other, and started again when they have ended.
    Stop {
        /// How many.
        count: usize,
        /// The time between two.
        gap: Duration,
    },
    /// The store behaves differently.
    Store {
        /// How.
        mood: Mood,
        /// For how long.
        span: Duration,
    },
    /// Boxes do not reach the store, which the others reach.
    CutFromStore {
        /// How many.
        count: usize,
        /// For how long.
        span: Duration,
    },
    /// An upstream is killed; another one comes in its place.
    EngineCrash,
    /// An upstream stands still for a while.
    EnginePause {
        /// For how long.
        span: Duration,
    },
    /// Upstreams lose some of their answers.
    LoseAnswers {
        /// Of a hundred.
        share: u64,
        /// For how long.
        span: Duration,
    },
    /// An upstream works more slowly.
    SlowEngine {
        /// How many times as long it takes.
        times: u32,
        /// For how long.
        span: Duration,
    },
    /// All upstreams fail or refuse most requests, and boxes are lost meanwhile.
    Storm {
        /// What the upstreams do.
        refusal: Refusal,
        /// With how many of a hundred requests.
        share: u64,
        /// How often all boxes are killed and started again in it.
        losses: u32,
        /// For how long.
        span: Duration,
    },
    /// Upstreams of a service name how many requests a second they take, and name another figure in
    /// the middle of the time.
    Limit {
        /// Whether it is the plain service.
        is_plain: bool,
        /// How many of them.
        count: usize,
        /// Thousandths of a request a second, at first and later.
        milli: (u64, u64),
        /// For how long.
        span: Duration,
    },
    /// An upstream of a service says in its answers that it leaves, and in its entry some time later.
    Leave {
        /// Whether it is of the plain service.
        is_plain: bool,
        /// From the first to the second.
        span: Duration,
    },
    /// Upstreams of a service turn all away, and ask for rest.
    Rest {
        /// Whether it is the plain service.
        is_plain: bool,
        /// How many of them.
        count: usize,
        /// The rest that they ask for.
        rest: Duration,
        /// For how long they turn all away.
        span: Duration,
    },
    /// A box that runs the older program is stopped, and the newer one started in its place.
    Replace {
        /// The box.
        node: usize,
    },
    /// Engines leave orders unanswered and carry them out late.
    DelayOrders {
        /// Of a hundred.
        share: u64,
        /// For how long.
        span: Duration,
    },
    /// An upstream tells a load that it does not have.
    LyingEngine {
        /// What it tells.
        telling: Telling,
        /// For how long.
        span: Duration,
    },
    /// Connections between clients, boxes and upstreams are reset.
    ResetLinks {
        /// Of a hundred.
        share: u64,
    },
    /// Open connections go silent for good, without a reset, while new ones work.
    MuteLinks {
        /// Of a hundred.
        share: u64,
    },
    /// Nothing passes on the connections to one box or upstream.
    HoldLinks {
        /// For how long.
        span: Duration,
    },
    /// Datagrams between boxes are lost, doubled or late.
    Datagrams {
        /// How many of them.
        disorder: Disorder,
        /// For how long.
        span: Duration,
    },
    /// Some boxes are cut off from the others, and not from each other, nor from anything else.
    Split {
        /// How many.
        count: usize,
        /// Which way.
        direction: Direction,
        /// For how long.
        span: Duration,
    },
    /// The configuration changes.
    Configure,
    /// An upstream drains, and leaves.
    Drain,
    /// The store is away for a while and comes back from an older copy.
    ComeBack {
        /// How old the copy is.
        age: Duration,
        /// For how long the store is away.
        span: Duration,
    },
}

/// What upstreams do that do not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// They fail what they run.
    Fail,
    /// They turn requests away.
    TurnAway,
}

/// How one box is struck.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// It is killed and started again.
    Kill,
    /// It stands still, for longer than its lease.
    Pause,
    /// It is cut off from the other boxes.
    Cut,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// The time since the start.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Draws the faults of a run.
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
    planned.sort_by_key(|it| it.at);
    planned
}

/// Draws the storm of a run, which ends before all else does; none in a short run. It is drawn apart
/// from the other faults.
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

/// Draws the time in which orders are carried out late, apart from the other faults; none in a short
/// run.
fn draw_late_orders(seed: u64, end: Duration) -> Option<Planned> {
    let mut random = Pcg64Mcg::seed_from_u64(seed.rotate_left(17));
    let share = random.random_range(30..=100);
    let span = Duration::from_millis(random.random_range(2000..=8000));
    let latest = end.checked_sub(span)?;
    let fault = Fault::DelayOrders { share, span };
    Some(Planned { at: latest.mul_f64(random.random()), fault })
}

/// The times in a run in which upstreams name limits.
const LIMITS: u64 = 2;

/// Draws the times in which upstreams name limits, which may overlap and end before all else does,
/// apart from the other faults; none in a short run.
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

/// The upstreams in a run that say that they leave.
const LEAVING: u64 = 2;

/// Draws the upstreams that say that they leave, apart from the other faults; none in a short run.
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

/// The times in a run in which upstreams rest.
const RESTS: u64 = 2;

/// Draws the times in which upstreams rest, apart from the other faults; none in a short run.
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

/// The returns of the store from an older copy in a run.
const RETURNS: u64 = 2;

/// Draws the returns of the store, which may overlap, apart from the other faults; none in a short run.
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

/// Gives when boxes are replaced one after the other, evenly over a run.
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

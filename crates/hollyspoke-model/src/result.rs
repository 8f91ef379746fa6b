//! The results of a run of a policy.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The target time to the first token.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1200);

/// The target for the time between tokens.
pub const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(35);

/// The longest time that the histogram records, in milliseconds; longer times count as this.
const MAX_RECORDED_MS: u64 = 600_000;

/// One send of a request, as its caller observed it.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// The number of the tenant.
    pub tenant: usize,
    /// The priority class.
    pub class: u8,
    /// The time from the send to the first token; absent if no token arrived.
    pub first_token: Option<Duration>,
    /// The mean time between tokens.
    pub between_tokens: Duration,
    /// Whether the answer was complete.
    pub whole: bool,
    /// Whether the request was refused as not run.
    pub refused: bool,
    /// Whether this is a retry of a refused request.
    pub is_retry: bool,
}

impl Observation {
    /// Returns whether the answer was complete and within both targets.
    pub fn is_good(&self) -> bool {
        self.whole
            && self.first_token.is_some_and(|it| it <= FIRST_TOKEN_TARGET)
            && self.between_tokens <= BETWEEN_TOKENS_TARGET
    }
}

/// The figures of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Requests per second that arrived, without retries.
    pub offered: f64,
    /// Requests per second that were answered within both targets.
    pub goodput: f64,
    /// The goodput of class 0 only.
    pub goodput_first_class: f64,
    /// The share of computed prompt tokens whose result was never decoded.
    pub wasted: f64,
    /// First-token times in milliseconds: 50th, 95th and 99th percentile.
    pub first_token: [u64; 3],
    /// The share of sends that were refused as not run.
    pub refused: f64,
    /// The share of sends that failed or never ended.
    pub failed: f64,
    /// The smallest share of a tenant's first sends that met the targets, divided by the greatest.
    pub fairness: f64,
}

/// Computes the figures of a run.
pub fn figures(
    observations: &[Observation],
    span: Duration,
    computed: u64,
    useful: u64,
) -> Figures {
    let seconds = span.as_secs_f64();
    let count =
        |of: &dyn Fn(&Observation) -> bool| observations.iter().filter(|it| of(it)).count() as f64;
    let total = (observations.len() as f64).max(1.0);
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_MS, 3)
        .unwrap_or_else(|error| unreachable!("the bounds are constants: {error}"));
    for first in observations.iter().filter_map(|it| it.first_token) {
        times.saturating_record(first.as_millis() as u64);
    }
    let wasted = computed.saturating_sub(useful) as f64 / (computed as f64).max(1.0);
    Figures {
        offered: count(&|it| !it.is_retry) / seconds,
        goodput: count(&Observation::is_good) / seconds,
        goodput_first_class: count(&|it| it.is_good() && it.class == 0) / seconds,
        wasted,
        first_token: [50.0, 95.0, 99.0].map(|it| times.value_at_percentile(it)),
        refused: count(&|it| it.refused) / total,
        failed: count(&|it| !it.refused && !it.whole) / total,
        fairness: fairness(observations),
    }
}

/// Returns the smallest share of a tenant's first sends that met the targets, divided by the
/// greatest; zero if no send did.
fn fairness(observations: &[Observation]) -> f64 {
    let mut shares = Vec::new();
    let tenants = observations.iter().map(|it| it.tenant).max().map_or(0, |it| it + 1);
    for tenant in 0..tenants {
        let mine: Vec<&Observation> =
            observations.iter().filter(|it| it.tenant == tenant && !it.is_retry).collect();
        if !mine.is_empty() {
            let good = mine.iter().filter(|it| it.is_good()).count();
            shares.push(good as f64 / mine.len() as f64);
        }
    }
    let greatest = shares.iter().copied().fold(0.0, f64::max);
    let smallest = shares.iter().copied().fold(1.0, f64::min);
    if greatest == 0.0 { 0.0 } else { smallest / greatest }
}

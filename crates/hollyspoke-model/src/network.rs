//! A fake network between boxes in virtual time: delay, loss, duplication, and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A fake network between boxes.
#[derive(Debug, Clone)]
pub struct Network {
    /// The minimum delay of a message.
    pub delay: Duration,
    /// The maximum random delay on top of the minimum; it reorders messages.
    pub jitter: Duration,
    /// The share of messages lost.
    pub loss: f64,
    /// The share of messages that are duplicated.
    pub repeat: f64,
    /// The pairs of boxes that can't reach each other, the lower number first.
    cuts: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            delay: Duration::from_micros(1500),
            jitter: Duration::from_micros(500),
            loss: 0.0,
            repeat: 0.0,
            cuts: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Cuts the connection between two boxes, or restores it.
    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        let pair = (a.min(b), a.max(b));
        if cut {
            self.cuts.insert(pair);
        } else {
            self.cuts.remove(&pair);
        }
    }

    /// Returns whether the connection between two boxes is cut.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Returns the delay of each copy of a message; none if the message is lost.
    pub fn deliveries(&self, random: &mut Pcg64Mcg, from: usize, to: usize) -> Vec<Duration> {
        if self.is_cut(from, to) || random.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if random.random_bool(self.repeat) { 2 } else { 1 };
        let jitter = self.jitter.as_micros() as u64;
        let delay = |random: &mut Pcg64Mcg| {
            self.delay + Duration::from_micros(random.random_range(0..=jitter))
        };
        (0..copies).map(|_| delay(random)).collect()
    }
}

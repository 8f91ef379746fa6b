//! A fake network between boxes in virtual time: delay, loss, repetition, and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A fake network.
#[derive(Debug, Clone)]
pub struct Network {
    /// The least delay of a message.
    pub delay: Duration,
    /// How much longer a message may take, by chance; reorders messages.
    pub jitter: Duration,
    /// The share of messages lost.
    pub loss: f64,
    /// The share of messages that arrive twice.
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
    /// Cuts or joins two boxes.
    pub fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        let pair = (a.min(b), a.max(b));
        if cut {
            self.cuts.insert(pair);
        } else {
            self.cuts.remove(&pair);
        }
    }

    /// Tells whether two boxes are cut off from each other.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Gives the delays after which copies of a message arrive; none when it is lost.
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

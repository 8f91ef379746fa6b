//! The memory and the slots of an engine: what its runs, cached prompts, reservations and copies
//! occupy.

use std::collections::HashMap;

use tokio::time::Instant;

/// What a lease is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A prompt that was prefilled for another engine.
    Prompt,
    /// A reservation for a request to come.
    Reservation,
    /// The copy of a stream's memory.
    Copy,
}

/// Memory that is set aside for a time.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    /// What it is for.
    pub(super) purpose: Purpose,
    /// The memory, in tokens.
    pub(super) tokens: u64,
    /// Whether it also occupies a slot.
    pub(super) has_slot: bool,
    /// When it lapses.
    pub(super) until: Instant,
}

/// The memory and the slots of an engine.
#[derive(Debug)]
pub(super) struct Memory {
    /// All of its memory, in tokens.
    total: u64,
    /// The number of its slots.
    slots: usize,
    /// The number of active runs.
    run_count: usize,
    /// The memory of active runs, in tokens.
    run_tokens: u64,
    /// The leases by name.
    leases: HashMap<String, Lease>,
}

impl Memory {
    /// Creates an empty memory.
    pub(super) fn new(total: u64, slots: u32) -> Memory {
        let leases = HashMap::new();
        Memory { total, slots: slots as usize, run_count: 0, run_tokens: 0, leases }
    }

    /// Returns the memory in use, in tokens.
    pub(super) fn used(&self) -> u64 {
        self.run_tokens + self.leases.values().map(|it| it.tokens).sum::<u64>()
    }

    /// Returns the number of active runs.
    pub(super) fn active(&self) -> usize {
        self.run_count
    }

    /// Returns the number of leases for a purpose.
    pub(super) fn count(&self, purpose: Purpose) -> usize {
        self.leases.values().filter(|it| it.purpose == purpose).count()
    }

    /// Returns whether there is a free slot and this much free memory.
    pub(super) fn has_room(&self, tokens: u64) -> bool {
        let leased = self.leases.values().filter(|it| it.has_slot).count();
        self.run_count + leased < self.slots && self.used() + tokens <= self.total
    }

    /// Begins a run.
    pub(super) fn begin(&mut self, tokens: u64) {
        self.run_count += 1;
        self.run_tokens += tokens;
    }

    /// Ends a run.
    pub(super) fn end(&mut self, tokens: u64) {
        self.run_count -= 1;
        self.run_tokens -= tokens;
    }

    /// Sets memory aside, or replaces the lease of the same name.
    pub(super) fn lease(&mut self, name: &str, lease: Lease) {
        self.leases.insert(name.to_owned(), lease);
    }

    /// Returns whether there is a lease of this name for a purpose that has not lapsed.
    pub(super) fn has(&self, name: &str, purpose: Purpose, now: Instant) -> bool {
        self.leases.get(name).is_some_and(|it| it.purpose == purpose && now < it.until)
    }

    /// Removes a lease that has not lapsed.
    pub(super) fn take(&mut self, name: &str, now: Instant) -> Option<Lease> {
        if self.leases.get(name)?.until <= now {
            return None;
        }
        self.leases.remove(name)
    }

    /// Removes all leases that have lapsed, and returns them with their names.
    pub(super) fn lapse(&mut self, now: Instant) -> Vec<(String, Lease)> {
        self.leases.extract_if(|_, it| it.until <= now).collect()
    }
}

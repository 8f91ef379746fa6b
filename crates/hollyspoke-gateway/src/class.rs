//! Traffic classes: the requests of one service, priority and customer.
//!
//! Each box measures the load of its own classes and announces it with its heartbeats, so that all
//! boxes know the load of every class and decide alike while capacity is short.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;
use serde::{Deserialize, Serialize};

use crate::customer::CustomerKey;

/// The time in which a request's weight in the arrival rate decays to about a third. A burst of some
/// seconds shows in it while it lasts.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// The arrival rate below which a class without other load is forgotten, in units per second.
const MIN_RATE: f64 = 0.01;

/// The maximum number of classes in an announcement, which has to fit into a datagram with the rest
/// of a heartbeat. The other classes count only at their own box.
const MAX_ANNOUNCED: usize = 1000;

/// A traffic class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Class {
    /// The hash of the service's name.
    pub service: u64,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The customer, if requests have one.
    pub customer: Option<CustomerKey>,
}

/// The load of one class. The unit is the token of an engine's memory for services with stages, and
/// the call for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// The units per second that arrive, in thousandths.
    pub arriving_milli_per_s: u64,
    /// The units that wait for capacity.
    pub waiting: u32,
    /// The units that are in use at engines.
    pub running: u32,
}

/// A box's announcement of the load of one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The class.
    pub class: Class,
    /// Its load at the sender.
    pub load: Load,
}

/// The progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for capacity.
    Waiting,
    /// It runs at an engine, or was sent to one.
    Running,
}

/// The load of one class at this box.
#[derive(Debug, Clone, Copy, Default)]
struct Meter {
    /// The decayed number of units that have arrived.
    arrived: f64,
    /// When `arrived` was last updated.
    updated_at: Time,
    /// The units that wait.
    waiting: u32,
    /// The units that run.
    running: u32,
}

/// The load of all classes at this box and at the others.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The load at this box.
    own: BTreeMap<Class, Meter>,
    /// The load at each other box, as announced last.
    peers: HashMap<SocketAddr, Vec<Announcement>>,
    /// The sum of the load at all other boxes.
    others: BTreeMap<Class, Load>,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.arriving_milli_per_s =
            self.arriving_milli_per_s.saturating_add(other.arriving_milli_per_s);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.running = self.running.saturating_add(other.running);
    }

    /// Subtracts another load.
    fn remove(&mut self, other: Load) {
        self.arriving_milli_per_s =
            self.arriving_milli_per_s.saturating_sub(other.arriving_milli_per_s);
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.running = self.running.saturating_sub(other.running);
    }

    /// Returns the units per second that arrive.
    pub fn arriving_per_s(self) -> f64 {
        self.arriving_milli_per_s as f64 / 1e3
    }
}

impl Meter {
    /// Adds units that have just arrived.
    fn arrive(&mut self, units: u32, now: Time) {
        self.decay(now);
        self.arrived += f64::from(units);
    }

    /// Decays the arrivals up to the current time.
    fn decay(&mut self, now: Time) {
        let since = now.since(self.updated_at).as_secs_f64();
        self.arrived *= (-since / DECAY_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }

    /// Returns the units in a phase.
    fn units(&mut self, phase: Phase) -> &mut u32 {
        match phase {
            Phase::Waiting => &mut self.waiting,
            Phase::Running => &mut self.running,
        }
    }

    /// Returns the load.
    fn load(mut self, now: Time) -> Load {
        self.decay(now);
        Load {
            arriving_milli_per_s: (self.arrived / DECAY_TIME.as_secs_f64() * 1e3) as u64,
            waiting: self.waiting,
            running: self.running,
        }
    }
}

impl Table {
    /// Records that a request has arrived.
    pub fn arrive(&mut self, class: Class, units: u32, now: Time) {
        self.own.entry(class).or_default().arrive(units, now);
    }

    /// Records that a request has changed its phase; none before the first and after the last.
    pub fn advance(&mut self, class: Class, units: u32, from: Option<Phase>, to: Option<Phase>) {
        if from == to {
            return;
        }
        let meter = self.own.entry(class).or_default();
        if let Some(from) = from {
            let known = meter.units(from);
            *known = known.saturating_sub(units);
        }
        if let Some(to) = to {
            let known = meter.units(to);
            *known = known.saturating_add(units);
        }
    }

    /// Returns the load of the largest classes at this box, as many as fit into a datagram, and
    /// forgets the classes without any.
    pub fn own(&mut self, now: Time) -> Vec<Announcement> {
        let min = (MIN_RATE * 1e3) as u64;
        self.own.retain(|_, it| {
            let load = it.load(now);
            load.arriving_milli_per_s >= min || load.waiting > 0 || load.running > 0
        });
        let loads = self.own.iter().map(|(&class, it)| Announcement { class, load: it.load(now) });
        let mut all: Vec<_> = loads.collect();
        all.sort_by_key(|it| Reverse(u64::from(it.load.running) + u64::from(it.load.waiting)));
        all.truncate(MAX_ANNOUNCED);
        all
    }

    /// Replaces the load that another box announced before.
    pub fn receive(&mut self, peer: SocketAddr, announced: &[Announcement]) {
        self.forget(peer);
        for &Announcement { class, load } in announced {
            self.others.entry(class).or_default().add(load);
        }
        if !announced.is_empty() {
            self.peers.insert(peer, announced.to_vec());
        }
    }

    /// Removes the load that a box announced.
    pub fn forget(&mut self, peer: SocketAddr) {
        for Announcement { class, load } in self.peers.remove(&peer).unwrap_or_default() {
            let Some(sum) = self.others.get_mut(&class) else { continue };
            sum.remove(load);
            if *sum == Load::default() {
                self.others.remove(&class);
            }
        }
    }

    /// Returns the load of each class of a service at all boxes, by priority and customer.
    pub fn of_service(&self, service: u64, now: Time) -> BTreeMap<Class, Load> {
        let first = Class { service, priority: 0, customer: None };
        let last = Class { service, priority: u8::MAX, customer: Some(CustomerKey(u64::MAX)) };
        let mut all: BTreeMap<Class, Load> =
            self.others.range(first..=last).map(|(&class, &load)| (class, load)).collect();
        for (&class, meter) in self.own.range(first..=last) {
            all.entry(class).or_default().add(meter.load(now));
        }
        all
    }
}

//! The times at which refused clients are told to return, so that they don't all return at once.
//!
//! The load that this answers: more requests than can be served for some seconds. Refused clients
//! return once, and those that return together find capacity as short as before.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollyspoke::time::Time;

use crate::pool::Pool;
use crate::signature::Signature;

/// The time by which returns are told apart. Clients are spread over it, so that it is shorter than
/// the targets within which they expect answers.
pub const STEP: Duration = Duration::from_millis(250);

/// The number of past steps from which the rate of returns is known. They cover the time over which
/// the arrival rate of traffic classes is measured.
const RETAINED_STEPS: u64 = 4;

/// The share of the longest time at which a client without a promise returns at the earliest. Its
/// chance is better the later it returns, since the end of the overload is unknown.
const UNPROMISED_SHARE: f64 = 0.5;

/// A box's announcement of the load that is due to return to any box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    /// The hash of the service's name.
    pub service: u64,
    /// The priority of the requests, 0 being the highest.
    pub priority: u8,
    /// The time until they return, in milliseconds.
    pub in_ms: u32,
    /// The load: tokens of an engine's memory for services with stages, otherwise slots.
    pub units: u32,
}

/// The load of a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// The hash of the service's name.
    pub service: u64,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The load, in the units of [`Announcement`].
    pub units: u32,
}

/// What is known of the near future of a service, as seen by requests of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outlook {
    /// The capacity.
    pub pool: Pool,
    /// The units per second that arrive with the same priority or a higher one, returns included.
    pub arriving_per_s: f64,
    /// The units that wait with the same priority or a higher one.
    pub waiting: f64,
    /// The number of boxes, this one included.
    pub boxes: usize,
}

/// The times after which a client may be told to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// The shortest time.
    pub earliest: Duration,
    /// The longest time that the client heeds and after which a run is still of use to it.
    pub latest: Duration,
}

/// The time at which a client is told to return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appointment {
    /// The time from now.
    pub after: Duration,
    /// Whether capacity is forecast to be free then.
    pub is_promised: bool,
}

/// The step in which load returns, with its service and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Slot {
    /// The hash of the service's name.
    service: u64,
    /// The number of the step since the start of the process.
    step: u64,
    /// The priority.
    priority: u8,
}

/// The load that clients were told to return with, by this box and by others.
///
/// Returns leave the book as their time passes, evenly over their step, since any box may serve
/// them.
#[derive(Debug, Clone, Default)]
pub struct Book {
    /// The units told by this box.
    own: BTreeMap<Slot, u32>,
    /// The units told by all other boxes.
    others: BTreeMap<Slot, u32>,
    /// The part of `others` that each other box announced last, by the incarnation of its process.
    /// That of a process that has ended stays until it has passed.
    peers: HashMap<u64, Vec<(Slot, u32)>>,
    /// The part of `own` that not all boxes have been sent yet.
    unannounced: BTreeMap<Slot, u32>,
    /// The slots and units of the clients that this box told to return. Several clients may send
    /// the same request.
    clients: HashMap<Signature, Vec<(Slot, u32)>>,
}

impl Book {
    /// Records that a client was told to return.
    pub fn record(&mut self, client: Signature, demand: Demand, at: Time) {
        let Demand { service, priority, units } = demand;
        let slot = Slot { service, step: step_of(at), priority };
        add(&mut self.own, slot, units);
        add(&mut self.unannounced, slot, units);
        self.clients.entry(client).or_default().push((slot, units));
    }

    /// Records that a client has returned, and removes its load if it is before its time. A client
    /// that returns in its step or later has left the book by itself. Returns whether this box told
    /// it to return.
    pub fn redeem(&mut self, client: Signature, now: Time) -> bool {
        let Some(told) = self.clients.get_mut(&client) else { return false };
        let first = told.iter().enumerate().min_by_key(|(_, (slot, _))| *slot);
        let Some((index, &(slot, units))) = first else { return false };
        told.swap_remove(index);
        if slot.step > step_of(now) {
            subtract(&mut self.own, slot, units);
            subtract(&mut self.unannounced, slot, units);
        }
        true
    }

    /// Forgets the steps that have passed.
    pub fn forget_past(&mut self, now: Time) {
        let current = step_of(now);
        let first = current.saturating_sub(RETAINED_STEPS);
        self.own.retain(|it, _| it.step >= first);
        self.others.retain(|it, _| it.step >= first);
        self.unannounced.retain(|it, _| it.step >= first);
        self.peers.retain(|_, it| it.iter().any(|(slot, _)| slot.step >= current));
        self.clients.retain(|_, told| {
            // A client that is told the end of a step arrives a round trip later.
            told.retain(|(slot, _)| slot.step >= first);
            !told.is_empty()
        });
    }

    /// Returns the load that this box has told to return, for a heartbeat.
    pub fn own(&mut self, now: Time) -> Vec<Announcement> {
        self.forget_past(now);
        let current = step_of(now);
        let due = self.own.iter().filter(|(it, _)| it.step >= current);
        due.map(|(&slot, &units)| {
            let middle = start_of(slot.step) + STEP / 2;
            let in_ms = u32::try_from(middle.since(now).as_millis()).unwrap_or(u32::MAX);
            Announcement { service: slot.service, priority: slot.priority, in_ms, units }
        })
        .collect()
    }

    /// Records that all boxes have been sent the load that this box has told to return.
    pub fn mark_announced(&mut self) {
        self.unannounced.clear();
    }

    /// Replaces the load that another box announced before. What has passed stays, since the box
    /// doesn't announce it any more.
    pub fn receive(&mut self, incarnation: u64, announced: &[Announcement], now: Time) {
        let current = step_of(now);
        for (slot, units) in self.peers.remove(&incarnation).unwrap_or_default() {
            if slot.step >= current {
                subtract(&mut self.others, slot, units);
            }
        }
        let mut received = Vec::with_capacity(announced.len());
        for &Announcement { service, priority, in_ms, units } in announced {
            let step = step_of(now + Duration::from_millis(in_ms.into()));
            let slot = Slot { service, step, priority };
            add(&mut self.others, slot, units);
            received.push((slot, units));
        }
        if !received.is_empty() {
            self.peers.insert(incarnation, received);
        }
    }

    /// Returns the units with a request's priority or a higher one that return in a step.
    ///
    /// Since their last announcements, the other boxes have told as much as this one on average,
    /// which it hasn't heard of.
    pub fn due(&self, demand: Demand, step: u64, boxes: usize) -> f64 {
        let first = Slot { service: demand.service, step, priority: 0 };
        let last = Slot { priority: demand.priority, ..first };
        let sum = |slots: &BTreeMap<Slot, u32>| -> f64 {
            slots.range(first..=last).map(|(_, &units)| f64::from(units)).sum()
        };
        let unheard = sum(&self.unannounced) * boxes.saturating_sub(1) as f64;
        sum(&self.own) + sum(&self.others) + unheard
    }

    /// Returns the units with a request's priority or a higher one that returned per second of late.
    fn returned_per_s(&self, demand: Demand, boxes: usize, now: Time) -> f64 {
        let current = step_of(now);
        let past = current.saturating_sub(RETAINED_STEPS)..current;
        let units: f64 = past.map(|it| self.due(demand, it, boxes)).sum();
        units / (STEP * RETAINED_STEPS as u32).as_secs_f64()
    }
}

/// Returns the time at which a refused client is told to return: the first step in which the
/// forecast has capacity for it. If no step has, it is told a late time that few others were told.
///
/// `draw` is a random number from the whole range of `u64`.
pub fn next(
    outlook: &Outlook,
    book: &Book,
    demand: Demand,
    window: Window,
    now: Time,
    draw: u64,
) -> Appointment {
    let within = (draw >> 32) as f64 / f64::from(u32::MAX);
    let spread = |step: u64, earliest: Duration| {
        let start = start_of(step).since(now).max(earliest);
        let end = start_of(step + 1).since(now).min(window.latest).max(start);
        start + (end - start).mul_f64(within)
    };
    if let Some(step) = first_free(outlook, book, demand, window, now) {
        return Appointment { after: spread(step, window.earliest), is_promised: true };
    }
    let earliest = window.earliest.max(window.latest.mul_f64(UNPROMISED_SHARE)).min(window.latest);
    let step = least_due(book, demand, outlook.boxes, Window { earliest, ..window }, now, draw);
    Appointment { after: spread(step, earliest).min(window.latest), is_promised: false }
}

/// Returns the first step in which the forecast has capacity for a request.
fn first_free(
    outlook: &Outlook,
    book: &Book,
    demand: Demand,
    window: Window,
    now: Time,
) -> Option<u64> {
    if window.earliest > window.latest {
        return None;
    }
    let boxes = outlook.boxes;
    let Pool { placeable, released_per_s, heard_share, .. } = outlook.pool;
    // Returns are in the book. Those of late aren't taken for a rate that goes on.
    let returned_per_s = book.returned_per_s(demand, boxes, now);
    let arriving_per_s = (outlook.arriving_per_s - returned_per_s).max(0.0);
    let gained_per_s = released_per_s * heard_share - arriving_per_s;
    let free = placeable * heard_share - outlook.waiting;
    let current = step_of(now);
    let current_left = start_of(current + 1).since(now).as_secs_f64() / STEP.as_secs_f64();
    let first = step_of(now + window.earliest);
    let last = step_of(now + window.latest);
    let mut due: f64 = (current..first)
        .map(|it| {
            let share = if it == current { current_left } else { 1.0 };
            book.due(demand, it, boxes) * share
        })
        .sum();
    (first..=last).find(|&step| {
        due += book.due(demand, step, boxes);
        let middle = start_of(step) + STEP / 2;
        let room = free + gained_per_s * middle.since(now).as_secs_f64() - due;
        room >= f64::from(demand.units)
    })
}

/// Returns the step in which the least load is due to return. Among equal ones, the draw decides.
fn least_due(
    book: &Book,
    demand: Demand,
    boxes: usize,
    window: Window,
    now: Time,
    draw: u64,
) -> u64 {
    let first = step_of(now + window.earliest);
    let last = step_of(now + window.latest);
    let count = last - first + 1;
    // Compared per second, since the window cuts the first and the last step.
    let density = |step: u64| {
        let start = start_of(step).since(now).max(window.earliest);
        let end = start_of(step + 1).since(now).min(window.latest);
        book.due(demand, step, boxes) / end.saturating_sub(start).as_secs_f64().max(1e-3)
    };
    let steps = (0..count).map(|it| first + (draw % count + it) % count);
    let least = steps.min_by(|a, b| density(*a).total_cmp(&density(*b)));
    least.unwrap_or(last)
}

/// Returns the number of the step that a time falls into.
pub fn step_of(time: Time) -> u64 {
    time.as_micros() / STEP.as_micros() as u64
}

/// Returns the start of a step.
fn start_of(step: u64) -> Time {
    Time::from_micros(step * STEP.as_micros() as u64)
}

/// Adds units to a slot.
fn add(slots: &mut BTreeMap<Slot, u32>, slot: Slot, units: u32) {
    let known = slots.entry(slot).or_default();
    *known = known.saturating_add(units);
}

/// Removes units from a slot.
fn subtract(slots: &mut BTreeMap<Slot, u32>, slot: Slot, units: u32) {
    let Some(known) = slots.get_mut(&slot) else { return };
    *known = known.saturating_sub(units);
    if *known == 0 {
        slots.remove(&slot);
    }
}

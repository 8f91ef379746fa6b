//! The lease in a store that is restored from backups: one box at a time sends orders, and fencing tokens
//! rise, no matter which boxes know of the restore and when.

use std::time::Duration;

use hollyspoke::lease::{Lease, Terms};
use hollyspoke::store::{Answer, Operation, Revision};
use hollyspoke::time::Time;
use proptest::prelude::*;

/// The number of boxes.
const BOX_COUNT: usize = 3;

/// The interval at which each box checks the lease.
const STEP: Duration = Duration::from_millis(100);

/// The duration of a run.
const RUN_DURATION: Duration = Duration::from_secs(60);

/// The minimum time between orders of two boxes.
const MIN_ORDER_INTERVAL: Duration = Duration::from_secs(3);

/// The maximum duration of an order, for which the lease has to remain valid.
const MAX_ORDER_DURATION: Duration = Duration::from_millis(500);

/// The terms of the lease.
const TERMS: Terms = Terms {
    ttl: Duration::from_secs(4),
    margin: Duration::from_millis(500),
    renew: Duration::from_secs(1),
};

/// An event of a run.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The store is restored from a backup that is some milliseconds old.
    Restore(u64),
    /// A box can't reach the store for a time.
    Cut(usize, Duration),
    /// A box is killed and restarts without state.
    Restart(usize),
    /// The next writes are applied after a delay, and their answers are lost.
    DelayWrites(Duration),
}

/// What the store holds.
#[derive(Debug, Clone, Default)]
struct Content {
    /// The number of the revision.
    number: u64,
    /// The lease, if there is one: its version and its holder.
    lease: Option<(u64, String)>,
}

impl Content {
    /// Executes an operation.
    fn execute(&mut self, operation: &Operation) -> Answer {
        let version = self.lease.as_ref().map_or(0, |it| it.0);
        match operation {
            Operation::Get { .. } | Operation::Peek { .. } => match &self.lease {
                Some((version, value)) => Answer::Found { version: *version, value: value.clone() },
                None => Answer::Absent,
            },
            Operation::Put { expected, .. } if *expected != version => Answer::Conflict,
            Operation::Put { value, .. } => {
                self.number += 1;
                self.lease = Some((self.number, value.clone()));
                Answer::Written { version: self.number }
            }
        }
    }
}

/// One box.
#[derive(Debug)]
struct Member {
    /// Its lease.
    lease: Lease,
    /// The era of the store that it knows.
    era: Option<u64>,
    /// The time until which it can't reach the store.
    cut_until: Time,
}

/// An order.
#[derive(Debug, Clone, Copy)]
struct Order {
    /// The time at which it was sent.
    at: Time,
    /// The box and the number of its restarts.
    holder: (usize, u64),
    /// The fencing token.
    token: u64,
}

/// Boxes, the store, and the orders that were sent.
#[derive(Debug)]
struct World {
    /// The current time.
    now: Time,
    /// The boxes, with the number of restarts of each.
    members: Vec<(Member, u64)>,
    /// The store's era.
    era: u64,
    /// The content of the store.
    content: Content,
    /// Its content at each step, as backups.
    copies: Vec<Content>,
    /// Delayed writes, with the times at which they are applied.
    delayed_writes: Vec<(Time, Operation)>,
    /// The delay of writes until a time.
    write_delay: Option<(Time, Duration)>,
    /// The orders that were sent.
    orders: Vec<Order>,
    /// Whether boxes read the era of the store.
    knows_eras: bool,
}

/// Returns a box without state.
fn member(number: usize, restart_count: u64, now: Time) -> Member {
    let name = format!("box-{number}-{restart_count}");
    let lease = Lease::new(now, "stages".to_owned(), name, TERMS);
    Member { lease, era: None, cut_until: Time::ZERO }
}

impl World {
    /// Creates boxes that have just started.
    fn new(knows_eras: bool) -> World {
        let now = Time::from_millis(1000);
        World {
            now,
            members: (0..BOX_COUNT).map(|it| (member(it, 0, now), 0)).collect(),
            era: 1,
            content: Content { number: 10, lease: None },
            copies: Vec::new(),
            delayed_writes: Vec::new(),
            write_delay: None,
            orders: Vec::new(),
            knows_eras,
        }
    }

    /// Applies an event.
    fn apply(&mut self, event: Event) {
        match event {
            Event::Restore(age_ms) => {
                let steps = age_ms as usize / STEP.as_millis() as usize;
                let index = self.copies.len().saturating_sub(1 + steps);
                if let Some(copy) = self.copies.get(index) {
                    self.content = copy.clone();
                    self.era += 1;
                }
            }
            Event::Cut(number, duration) => self.members[number].0.cut_until = self.now + duration,
            Event::Restart(number) => {
                let (old, restart_count) = &mut self.members[number];
                *restart_count += 1;
                *old = member(number, *restart_count, self.now);
            }
            Event::DelayWrites(duration) => {
                self.write_delay = Some((self.now + Duration::from_secs(2), duration))
            }
        }
    }

    /// Executes an operation of a box; returns `None` if the answer is lost.
    fn exchange(&mut self, operation: Operation) -> Option<Answer> {
        let write_delay = self.write_delay.filter(|it| self.now < it.0).map(|it| it.1);
        if let (Some(duration), Operation::Put { .. }) = (write_delay, &operation) {
            self.delayed_writes.push((self.now + duration, operation));
            return None;
        }
        Some(self.content.execute(&operation))
    }

    /// Lets a box check its lease, query the store, and send an order if it holds the lease.
    fn step_box(&mut self, number: usize) {
        let now = self.now;
        let mut started = None;
        self.members[number].0.lease.tick(now, true, |it| {
            started = Some(it);
            1
        });
        while let Some(operation) = started.take() {
            let is_cut = self.members[number].0.cut_until > now;
            let answer = if is_cut { None } else { self.exchange(operation) };
            let (member, _) = &mut self.members[number];
            if answer.is_some() && self.knows_eras && member.era != Some(self.era) {
                member.era = Some(self.era);
                member.lease.enter_era(now, self.era);
                break;
            }
            let answer = answer.unwrap_or(Answer::Away);
            member.lease.answer(now, 1, &answer, |it| {
                started = Some(it);
                1
            });
        }
        let (member, restart_count) = &self.members[number];
        let Some(held) = member.lease.held(now) else { return };
        let waits = held.taken_over.is_some_and(|it| now.since(it) < MIN_ORDER_INTERVAL);
        if !waits && now + MAX_ORDER_DURATION <= held.until {
            self.orders.push(Order {
                at: now,
                holder: (number, *restart_count),
                token: held.token,
            });
        }
    }

    /// Runs events at their times, in milliseconds.
    fn run(&mut self, events: &[(u64, Event)]) {
        let end = self.now + RUN_DURATION;
        let started = self.now;
        let mut events: Vec<_> = events.to_vec();
        events.sort_by_key(|it| it.0);
        let mut events = events.into_iter().peekable();
        while self.now < end {
            self.now = self.now + STEP;
            self.copies.push(self.content.clone());
            let elapsed = self.now.since(started).as_millis() as u64;
            while let Some((_, event)) = events.next_if(|it| it.0 <= elapsed) {
                self.apply(event);
            }
            let now = self.now;
            let due: Vec<_> = self.delayed_writes.extract_if(.., |it| it.0 <= now).collect();
            for (_, operation) in due {
                _ = self.content.execute(&operation);
            }
            (0..BOX_COUNT).for_each(|it| self.step_box(it));
        }
    }

    /// Returns two orders that were sent too soon after each other or whose tokens do not rise.
    fn invalid_orders(&self) -> Option<(Order, Order)> {
        self.orders.windows(2).map(|it| (it[0], it[1])).find(|(before, after)| {
            let is_other = before.holder != after.holder;
            let is_close =
                before.holder.0 != after.holder.0 && after.at.since(before.at) < MIN_ORDER_INTERVAL;
            after.token < before.token || (is_other && (is_close || after.token == before.token))
        })
    }
}

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..16_000u64).prop_map(Event::Restore),
        2 => (0..BOX_COUNT, 100..12_000u64).prop_map(|(it, ms)| Event::Cut(it, Duration::from_millis(ms))),
        1 => (0..BOX_COUNT).prop_map(Event::Restart),
        1 => (1000..6000u64).prop_map(|it| Event::DelayWrites(Duration::from_millis(it))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Tokens rise over eras, and no two boxes send orders within the minimum interval.
    #[test]
    fn one_holder_over_eras(events in prop::collection::vec((2000..50_000u64, event()), 0..12)) {
        let mut world = World::new(true);
        world.run(&events);
        prop_assert_eq!(world.invalid_orders().map(|it| format!("{it:?}")), None);
    }
}

/// Without eras, a lease that a restore has removed is free at once for another box.
#[test]
fn two_holders_without_eras() {
    let mut world = World::new(false);
    world.run(&[(3000, Event::Restore(2900))]);
    assert!(world.invalid_orders().is_some());
}

/// After a restore a box takes the lease again and sends orders.
#[test]
fn orders_stop_after_restore() {
    let mut world = World::new(true);
    world.run(&[(20_000, Event::Restore(3000))]);
    let restored_at = Time::from_millis(21_000);
    let is_later = |it: &&Order| it.token >= Revision::new(2, 0).token();
    let order = world.orders.iter().find(is_later).expect("orders are sent after the restore");
    assert!(order.at.since(restored_at) < Duration::from_secs(10), "{order:?}");
}

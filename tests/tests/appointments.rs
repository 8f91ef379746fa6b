//! The times at which refused clients are told to return, replayed under overload.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::appointment::{
    Appointment, Book, Demand, Outlook, STEP, Window, next, step_of,
};
use hollyspoke_gateway::pool::Pool;
use hollyspoke_gateway::signature::{Content, Signature};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The load of every request.
const DEMAND: Demand = Demand { service: 1, priority: 1, units: 100 };

/// The duration of a run.
const RUN: Duration = Duration::from_secs(1);

/// The requests that run at the same time, per box.
const RUNNING_PER_BOX: usize = 2;

/// The resolution of a replay.
const TICK: Duration = Duration::from_millis(5);

/// The times after which the clients of a replay may return.
const WINDOW: Window =
    Window { earliest: Duration::from_millis(500), latest: Duration::from_millis(4600) };

/// Returns the interval between a box's announcements to all others.
fn heartbeat(boxes: usize) -> Duration {
    Duration::from_millis(if boxes <= 100 { 350 } else { 3200 })
}

/// Returns the signature of a client by its number.
fn client(number: u64) -> Signature {
    Signature::of(Content::of("POST", "host", &number.to_string(), b""), None, None)
}

/// Returns a service's future with free units and units that become free per second.
fn outlook(placeable: f64, released_per_s: f64) -> Outlook {
    let pool = Pool { placeable, released_per_s, heard_share: 1.0, ..Pool::default() };
    Outlook { pool, boxes: 1, ..Outlook::default() }
}

/// Returns all units that are due to return from a time on.
fn due(book: &Book, from: Time) -> f64 {
    let first = step_of(from);
    (first..first + 60).map(|it| book.due(DEMAND, it, 1)).sum()
}

/// How a box of a replay chooses the time at which a client returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// A multiple of the mean run.
    MeanRun,
    /// The forecast.
    Forecast,
}

/// What became of the clients of a replay.
#[derive(Debug, Default)]
struct Outcome {
    /// The clients that returned.
    returned: u32,
    /// Those of them that were served.
    served: u32,
}

impl Outcome {
    /// Returns the share of clients that were served when they returned.
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.returned)
    }
}

/// An overload of some seconds at boxes that share one service, in virtual time. A request for
/// which nothing is free is refused at once, and its client returns once, at any box.
struct Replay {
    /// The policy.
    policy: Policy,
    /// The books of the boxes.
    books: Vec<Book>,
    /// The ends of the runs.
    running: BinaryHeap<Reverse<Time>>,
    /// The times of the returns.
    returns: BinaryHeap<Reverse<Time>>,
    /// The decayed arrivals per second.
    arriving_per_s: f64,
    /// The clients refused so far.
    refused: u64,
    /// The current time.
    now: Time,
    /// The source of random numbers.
    rng: Pcg64Mcg,
    /// What became of the clients.
    outcome: Outcome,
}

impl Replay {
    /// Plays a load, as multiples of the capacity with their durations.
    fn play(boxes: usize, policy: Policy, load: &[(f64, Duration)]) -> Outcome {
        let mut replay = Replay {
            policy,
            books: vec![Book::default(); boxes],
            running: BinaryHeap::new(),
            returns: BinaryHeap::new(),
            arriving_per_s: 0.0,
            refused: 0,
            now: Time::from_millis(10_000),
            rng: Pcg64Mcg::seed_from_u64(boxes as u64),
            outcome: Outcome::default(),
        };
        for &(multiple, duration) in load {
            let end = replay.now + duration;
            while replay.now < end {
                replay.tick(multiple);
            }
        }
        replay.outcome
    }

    /// Plays one tick.
    fn tick(&mut self, multiple: f64) {
        self.now = self.now + TICK;
        while self.running.peek().is_some_and(|it| it.0 <= self.now) {
            self.running.pop();
        }
        while self.returns.peek().is_some_and(|it| it.0 <= self.now) {
            self.returns.pop();
            self.outcome.returned += 1;
            self.outcome.served += u32::from(self.arrive());
        }
        let per_tick = self.capacity() as f64 / RUN.as_secs_f64() * TICK.as_secs_f64() * multiple;
        let count = per_tick as u32 + u32::from(self.rng.random_bool(per_tick.fract()));
        for _ in 0..count {
            if !self.arrive() {
                self.refuse();
            }
        }
        self.arriving_per_s *= (-TICK.as_secs_f64()).exp();
        self.exchange();
    }

    /// Returns the requests that can run at the same time.
    fn capacity(&self) -> usize {
        self.books.len() * RUNNING_PER_BOX
    }

    /// Runs a request if there is capacity.
    fn arrive(&mut self) -> bool {
        self.arriving_per_s += f64::from(DEMAND.units);
        let is_free = self.running.len() < self.capacity();
        if is_free {
            self.running.push(Reverse(self.now + RUN.mul_f64(self.rng.random_range(0.5..1.5))));
        }
        is_free
    }

    /// Refuses a client at a random box.
    fn refuse(&mut self) {
        self.refused += 1;
        let after = match self.policy {
            Policy::MeanRun => RUN.mul_f64(self.rng.random_range(0.8..1.3)),
            Policy::Forecast => self.appoint().after,
        };
        self.returns.push(Reverse(self.now + after));
    }

    /// Chooses a time by the forecast of a random box.
    fn appoint(&mut self) -> Appointment {
        let units = f64::from(DEMAND.units);
        let free = self.capacity() - self.running.len();
        let released_per_s = self.running.len() as f64 * units / RUN.as_secs_f64();
        let outlook = Outlook {
            arriving_per_s: self.arriving_per_s,
            boxes: self.books.len(),
            ..outlook(free as f64 * units, released_per_s)
        };
        let number = self.rng.random_range(0..self.books.len());
        let book = &mut self.books[number];
        let chosen = next(&outlook, book, DEMAND, WINDOW, self.now, self.rng.random());
        assert!(chosen.after <= WINDOW.latest, "{chosen:?}");
        book.record(client(self.refused), DEMAND, self.now + chosen.after);
        chosen
    }

    /// Sends the announcements of the boxes whose turn it is.
    fn exchange(&mut self) {
        let ticks = heartbeat(self.books.len()).as_micros() / TICK.as_micros();
        let turn = (self.now.as_micros() / TICK.as_micros() as u64 % ticks as u64) as usize;
        for sender in (turn..self.books.len()).step_by(ticks as usize) {
            let announced = self.books[sender].own(self.now);
            self.books[sender].mark_announced();
            for receiver in (0..self.books.len()).filter(|it| *it != sender) {
                self.books[receiver].receive(sender as u64, &announced, self.now);
            }
        }
    }
}

/// The numbers of boxes of the replays.
const BOX_COUNTS: [usize; 3] = [8, 65, 300];

/// Returns an overload of some seconds, which is followed by ordinary load.
fn burst(seconds: u64) -> [(f64, Duration); 3] {
    [
        (0.7, Duration::from_secs(3)),
        (2.5, Duration::from_secs(seconds)),
        (0.7, Duration::from_secs(8)),
    ]
}

/// Clients that returned after a multiple of the mean run met the same crowd.
#[test]
fn burst_met_again() {
    for boxes in BOX_COUNTS {
        for seconds in [2, 4, 8] {
            let before = Replay::play(boxes, Policy::MeanRun, &burst(seconds));
            let after = Replay::play(boxes, Policy::Forecast, &burst(seconds));
            assert!(
                after.served_share() > before.served_share(),
                "{boxes} boxes, {seconds} s: {} of returns served, before {}",
                after.served_share(),
                before.served_share(),
            );
        }
    }
}

/// Tells clients to return, all at one time, and returns the times.
fn tell(outlook: &Outlook, book: &mut Book, count: u64, now: Time) -> Vec<Appointment> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let told = (0..count).map(|number| {
        let chosen = next(outlook, book, DEMAND, WINDOW, now, rng.random());
        book.record(client(number), DEMAND, now + chosen.after);
        chosen
    });
    told.collect()
}

/// Clients that were refused at the same moment returned at the same moment.
#[test]
fn crowd_bunched() {
    let now = Time::from_millis(20_000);
    let told = tell(&outlook(0.0, 0.0), &mut Book::default(), 1000, now);
    let mut by_step: BTreeMap<u64, usize> = BTreeMap::new();
    for Appointment { after, is_promised } in told {
        assert!(!is_promised, "nothing becomes free");
        *by_step.entry(step_of(now + after)).or_default() += 1;
    }
    let steps = (WINDOW.latest / 2).as_micros() / STEP.as_micros();
    let equal = 1000 / steps as usize;
    assert!(by_step.values().all(|it| *it <= 2 * equal), "{by_step:?}");
}

/// More was promised for a time than becomes free until then.
#[test]
fn room_promised_twice() {
    let now = Time::from_millis(20_000);
    let (free, released_per_s) = (300.0, 1000.0);
    let told = tell(&outlook(free, released_per_s), &mut Book::default(), 100, now);
    let promised: Vec<_> = told.iter().filter(|it| it.is_promised).collect();
    assert!(!promised.is_empty(), "some are promised");
    for Appointment { after, .. } in &promised {
        let end = after.as_secs_f64() + STEP.as_secs_f64();
        let due = promised.iter().filter(|it| it.after <= *after).count() as f64;
        let room = free + released_per_s * end;
        assert!(due * f64::from(DEMAND.units) <= room, "{due} promised up to {after:?}");
    }
}

/// Boxes that haven't heard of each other's promises yet promised the same capacity.
#[test]
fn unheard_promises_ignored() {
    let now = Time::from_millis(20_000);
    let alone = outlook(0.0, 1000.0);
    let among_many = Outlook { boxes: 65, ..alone };
    let last = |outlook| tell(&outlook, &mut Book::default(), 3, now)[2].after;
    assert!(last(among_many) > last(alone) + STEP);
}

/// The most urgent waited for capacity that was promised to others.
#[test]
fn urgent_behind_routine() {
    let now = Time::from_millis(20_000);
    let outlook = outlook(0.0, 1000.0);
    let mut book = Book::default();
    tell(&outlook, &mut book, 100, now);
    let urgent = Demand { priority: 0, ..DEMAND };
    let chosen = next(&outlook, &book, urgent, WINDOW, now, 0);
    assert!(chosen.is_promised && chosen.after <= WINDOW.earliest + STEP, "{chosen:?}");
}

/// Returns that were told were taken for new requests that go on to arrive.
#[test]
fn returns_counted_twice() {
    let mut book = Book::default();
    let told = Time::from_millis(20_000);
    for number in 0..40 {
        book.record(client(number), DEMAND, told + Duration::from_millis(25 * number));
    }
    let now = told + Duration::from_secs(1);
    let outlook = Outlook { arriving_per_s: 4000.0, ..outlook(0.0, 1000.0) };
    assert!(next(&outlook, &book, DEMAND, WINDOW, now, 0).is_promised);
}

/// An event at one of the boxes of a drawn run.
#[derive(Debug, Clone)]
enum Event {
    /// A box tells a client to return after some milliseconds.
    Tell(usize, u64),
    /// The client that a box told at some turn returns to it.
    Return(usize, u64),
    /// A box announces to another, some milliseconds after the event before.
    Announce(usize, usize, u64),
}

/// The number of boxes of a drawn run.
const DRAWN_BOXES: usize = 3;

/// Generates an event.
fn event() -> impl Strategy<Value = Event> {
    let any_box = || 0..DRAWN_BOXES;
    prop_oneof![
        (any_box(), 400..4600u64).prop_map(|(at, after)| Event::Tell(at, after)),
        (any_box(), 0..40u64).prop_map(|(at, number)| Event::Return(at, number)),
        (any_box(), 1..DRAWN_BOXES, 0..200u64).prop_map(|(from, to, ms)| Event::Announce(
            from,
            (from + to) % DRAWN_BOXES,
            ms
        )),
    ]
}

proptest! {
    /// Nobody is told a time later than it can use, whatever the load.
    #[test]
    fn told_too_late(
        load in (0.0..1e6f64, 0.0..1e6f64, 0.0..1e6f64, 0.0..1e6f64, 1..1000usize),
        earliest_ms in 0..2000u64,
        latest_ms in 0..6000u64,
        told in prop::collection::vec(0..6000u64, 0..20),
        draw: u64,
    ) {
        let now = Time::from_millis(20_000);
        let mut book = Book::default();
        for (number, after) in told.into_iter().enumerate() {
            book.record(client(number as u64), DEMAND, now + Duration::from_millis(after));
        }
        let (placeable, released_per_s, arriving_per_s, waiting, boxes) = load;
        let outlook = Outlook { arriving_per_s, waiting, boxes, ..outlook(placeable, released_per_s) };
        let earliest = Duration::from_millis(earliest_ms);
        let latest = Duration::from_millis(latest_ms);
        let chosen = next(&outlook, &book, DEMAND, Window { earliest, latest }, now, draw);
        prop_assert!(chosen.after <= latest);
        prop_assert!(chosen.after >= earliest.min(latest));
    }

    /// What boxes told is known once to each box after their next announcements, however often and in
    /// which order they announced before.
    #[test]
    fn promise_lost_or_repeated(events in prop::collection::vec(event(), 1..60)) {
        let mut now = Time::from_millis(20_000);
        let mut books = vec![Book::default(); DRAWN_BOXES];
        let mut told: Vec<(usize, u64, Time)> = Vec::new();
        let mut clients = 0..;
        for event in events {
            match event {
                Event::Tell(at, after) => {
                    let time = now + Duration::from_millis(after);
                    let number = clients.next().expect("there is another number");
                    books[at].record(client(number), DEMAND, time);
                    told.push((at, number, time));
                }
                Event::Return(at, number) => {
                    books[at].redeem(client(number), now);
                    let is_early = |time| step_of(time) > step_of(now);
                    told.retain(|it| (it.0, it.1) != (at, number) || !is_early(it.2));
                }
                Event::Announce(from, to, ms) => {
                    now = now + Duration::from_millis(ms);
                    let announced = books[from].own(now);
                    books[to].receive(from as u64, &announced, now);
                }
            }
        }
        let announced: Vec<_> = books.iter_mut().map(|it| it.own(now)).collect();
        let is_due = |time| step_of(time) >= step_of(now);
        let expected = told.iter().filter(|it| is_due(it.2)).count() as f64;
        for (receiver, book) in books.iter_mut().enumerate() {
            for (sender, announced) in announced.iter().enumerate().filter(|it| it.0 != receiver) {
                book.receive(sender as u64, announced, now);
                book.receive(sender as u64, announced, now);
            }
            prop_assert_eq!(due(book, now), expected * f64::from(DEMAND.units));
        }
    }
}

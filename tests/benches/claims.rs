//! What callers' own keys cost the store: writes, reads, and the time until a request runs.
//!
//! `cargo bench --bench claims`.

use std::time::Duration;

use hollyspoke::event::CallId;
use hollyspoke::time::Time;
use hollyspoke_model::ledger::End;
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, Sending, World, hold};

/// The boxes.
const BOXES: usize = 8;

/// How long requests come.
const SPAN: Duration = Duration::from_secs(20);

/// Prints a row for each rate.
fn main() {
    println!(
        "| own keys/s | writes/s | reads/s | answered, % | answer p50, ms | p95, ms | p99, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for rate in [10u64, 50, 100, 200, 400] {
        let mut world = World::new(Plan::default().site(), BOXES, 9);
        world.run(Time::ZERO + Duration::from_secs(3)).expect("no promise is broken");
        let (writes, reads) = (world.store.writes, world.store.reads);
        let count = rate * SPAN.as_secs();
        let begin = world.now();
        for number in 1..=count {
            let mut arrival = hold(number);
            arrival.claim = Some(format!("own-{number}"));
            let at = begin + Duration::from_micros(1_000_000 / rate) * number as u32;
            let to = number as usize % BOXES;
            let sending = Sending { call: CallId(number), request: number, at: to, arrival };
            world.schedule_action(at, Action::Send(Box::new(sending)));
        }
        world.run(begin + SPAN + Duration::from_secs(5)).expect("no promise is broken");
        let mut times: Vec<u64> = world
            .ledger
            .callers
            .values()
            .filter_map(|it| match &it.end {
                Some((end, End::Complete)) => Some(end.since(it.sent).as_millis() as u64),
                _ => None,
            })
            .collect();
        times.sort_unstable();
        let at =
            |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or(0);
        let seconds = SPAN.as_secs_f64();
        println!(
            "| {rate} | {:.1} | {:.1} | {:.1} | {} | {} | {} |",
            (world.store.writes - writes) as f64 / seconds,
            (world.store.reads - reads) as f64 / seconds,
            times.len() as f64 * 100.0 / count as f64,
            at(0.5),
            at(0.95),
            at(0.99),
        );
    }
}

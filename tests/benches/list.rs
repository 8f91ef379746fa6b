//! Prints what the list of engines of a large site costs a box that starts.

#![allow(clippy::print_stdout)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollyspoke::time::Time;
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::message::{DataCentreKey, Format, Message, StoreView};
use hollyspoke_gateway::snapshot::SnapshotRequest;
use hollyspoke_server::handover::format::{read_snapshot, write_snapshot};
use hollyspoke_tests::gateway::{MODEL, World, configuration, engine, heartbeat};

/// The numbers of engines.
const COUNTS: [u32; 3] = [1_000, 10_000, 20_000];

/// The number of boxes of the users' largest site.
const BOX_COUNT: u32 = 985;

/// Returns an engine with a number.
fn numbered(number: u32) -> Engine {
    let id = format!("engine-{number:x}");
    let [_, a, b, c] = number.to_be_bytes();
    Engine {
        key: EngineKey::of(&id),
        id: id.into(),
        address: SocketAddr::from(([10, a, b, c], 9000)),
        data_centre: format!("data-centre-{}", number % 5).into(),
        ..engine(
            1,
            MODEL,
            Some(if number.is_multiple_of(3) { Stage::Prefill } else { Stage::Decode }),
        )
    }
}

/// Calls a function and returns the time that it took.
fn timed<T>(function: impl FnOnce() -> T) -> (T, Duration) {
    let began = Instant::now();
    let result = function();
    (result, began.elapsed())
}

/// Returns the time that a box among many takes to choose the engines that it asks for their cached
/// prompts.
fn survey(engines: Vec<Engine>) -> Duration {
    let mut world = World::unconfigured();
    for number in 0..BOX_COUNT {
        let [_, _, a, b] = number.to_be_bytes();
        let sender = SocketAddr::from(([10, 8, a, b], 7000));
        let data_centre = DataCentreKey::of(&format!("data-centre-{}", number % 5));
        let message = heartbeat(2, 1, StoreView::default());
        world.event(Event::Received(Message { sender, data_centre, ..message }));
    }
    world.event(Event::Configured(Arc::new(configuration(1))));
    world.event(Event::Listed(engines, 10.into()));
    // The engines are asked once the box knows that no others join.
    let ask_at = world.now + Duration::from_secs(2);
    timed(|| world.gateway.step(ask_at, Event::Tick)).1
}

fn main() {
    for count in COUNTS {
        let engines: Vec<_> = (0..count).map(numbered).collect();
        let mut world = World::unconfigured();
        let now = Time::from_millis(2000);
        let (_, applied) =
            timed(|| world.gateway.step(now, Event::Listed(engines.clone(), 10.into())));
        let (_, ticked) =
            timed(|| world.gateway.step(now + Duration::from_millis(500), Event::Tick));
        let (snapshot, copied) = timed(|| world.gateway.snapshot(SnapshotRequest::default()));
        let (bytes, written) = timed(|| write_snapshot(&snapshot, Format::Handovers));
        let bytes = bytes.expect("the snapshot can be written");
        let (read, parsed) = timed(|| read_snapshot(&bytes));
        assert!(read.is_ok(), "the snapshot can be read");
        let surveyed = survey(engines.clone());
        println!(
            "{count} engines: applied in {applied:?}, next tick {ticked:?}, copied in {copied:?}, \
             {} bytes written in {written:?}, read in {parsed:?}, engines to ask of {BOX_COUNT} \
             boxes chosen in {surveyed:?}",
            bytes.len()
        );
    }
}

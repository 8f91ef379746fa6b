//! The list of engines: its indexes agree with it after any changes, and the cost of a change does not
//! grow with the number of engines.
//!
//! If each change recomputes the indexes, boxes of a site with 10,000 engines never catch up while the
//! engines register: 102 boxes logged 1,567 lines `snapshot fetched`, some 15 whole lists per box.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use hollyspoke_gateway::directory::Directory;
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_tests::gateway::{MODEL, PLAIN, engine};
use proptest::prelude::*;

/// A change of a directory.
#[derive(Debug, Clone)]
enum Step {
    /// An engine is added or changes.
    Put(u8, Shape),
    /// An engine is removed, at once or after a delay.
    Leave(u8, bool),
    /// A list of engines is read; missing ones are removed at once or after a delay.
    List(Vec<(u8, Shape)>, bool),
    /// Engines that have been missing for long are removed.
    Remove,
}

/// The properties of a listed engine.
#[derive(Debug, Clone, Copy)]
struct Shape {
    /// Its stage, if it has one.
    stage: Option<Stage>,
    /// Whether it is in the second data centre.
    is_south: bool,
    /// The last part of its address.
    address: u8,
    /// Whether it drains.
    is_draining: bool,
}

/// Returns an engine of a shape.
fn engine_with_shape(number: u8, shape: Shape) -> Engine {
    let service = if shape.stage.is_some() { MODEL } else { PLAIN };
    Engine {
        address: SocketAddr::from(([10, 1, 0, shape.address], 9000)),
        data_centre: if shape.is_south { "south".into() } else { "north".into() },
        is_draining: shape.is_draining,
        ..engine(number, service, shape.stage)
    }
}

/// Generates a shape.
fn shape() -> impl Strategy<Value = Shape> {
    let stage = prop_oneof![Just(None), Just(Some(Stage::Prefill)), Just(Some(Stage::Decode))];
    (stage, any::<bool>(), 0u8..6, any::<bool>()).prop_map(
        |(stage, is_south, address, is_draining)| Shape { stage, is_south, address, is_draining },
    )
}

/// Generates a step.
fn step() -> impl Strategy<Value = Step> {
    let list = prop::collection::vec((0u8..8, shape()), 0..6);
    prop_oneof![
        4 => (0u8..8, shape()).prop_map(|(number, shape)| Step::Put(number, shape)),
        2 => (0u8..8, any::<bool>()).prop_map(|(number, waits)| Step::Leave(number, waits)),
        1 => (list, any::<bool>()).prop_map(|(list, waits)| Step::List(list, waits)),
        1 => Just(Step::Remove),
    ]
}

/// Returns the keys of some engines, without duplicates.
fn keys<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> BTreeSet<EngineKey> {
    engines.into_iter().map(|it| it.key).collect()
}

proptest! {
    #[test]
    fn lookups_agree_with_the_list(steps in prop::collection::vec(step(), 1..40)) {
        let mut directory = Directory::default();
        for (index, step) in steps.into_iter().enumerate() {
            let now = Time::from_millis(index as u64 * 300);
            let revision = Revision::from(index as u64 + 1);
            let until = |waits: bool| waits.then(|| now + Duration::from_millis(800));
            match step {
                Step::Put(number, shape) => {
                    directory.apply_change(engine_with_shape(number, shape), revision, now);
                }
                Step::Leave(number, waits) => {
                    directory.remove(&format!("engine-{number}"), revision, until(waits), now);
                }
                Step::List(list, waits) => {
                    let engines = list.into_iter().map(|(number, shape)| engine_with_shape(number, shape));
                    let mut listed = BTreeSet::new();
                    let engines = engines.filter(|it| listed.insert(it.key)).collect();
                    directory.apply_list(engines, revision, until(waits), now);
                }
                Step::Remove => {
                    directory.remove_missing(now);
                }
            }
            for service in [MODEL, PLAIN] {
                let all = || directory.all().filter(|it| *it.engine.service == *service);
                let looked_up = directory.of_service(service).map(|it| it.engine.as_ref());
                prop_assert_eq!(keys(looked_up), keys(all().map(|it| it.engine.as_ref())));
                prop_assert_eq!(directory.count(service, |_| true), all().count());
                let matching = all().filter(|it| it.engine.stage == Some(Stage::Prefill));
                let matching = matching.filter(|it| *it.engine.data_centre == *"south");
                let sample = directory.sample(
                    service,
                    |it| it.stage == Some(Stage::Prefill) && *it.data_centre == *"south",
                    8,
                    index as u64 * 7,
                );
                let sample = keys(sample.map(|it| it.engine.as_ref()));
                prop_assert_eq!(sample, keys(matching.map(|it| it.engine.as_ref())));
            }
            let missing = directory.all().filter(|it| it.is_missing()).count();
            prop_assert_eq!(directory.next_removal().is_some(), missing > 0);
        }
    }

    #[test]
    fn samples_are_as_large_as_can_be(count in 0u8..40, max_count in 0usize..50, draw: u64) {
        let mut directory = Directory::default();
        for number in 0..count {
            let shape = Shape {
                stage: Some(Stage::Decode),
                is_south: number % 3 == 0,
                address: number,
                is_draining: false,
            };
            directory.apply_change(engine_with_shape(number, shape), (u64::from(number) + 1).into(), Time::ZERO);
        }
        let sample: Vec<_> = directory.sample(MODEL, |_| true, max_count, draw).collect();
        prop_assert_eq!(sample.len(), max_count.min(usize::from(count)));
        prop_assert_eq!(keys(sample.iter().map(|it| it.engine.as_ref())).len(), sample.len());
    }
}

/// Returns the engine with a number.
fn numbered_engine(number: u32) -> Engine {
    let [_, high, middle, low] = number.to_be_bytes();
    let id = format!("engine-{number}");
    Engine {
        key: EngineKey::of(&id),
        id: id.into(),
        address: SocketAddr::from(([10, 1 + high, middle, low], 9000)),
        ..engine(1, MODEL, Some(Stage::Decode))
    }
}

#[test]
fn slow_directory_changes() {
    // If every change recomputes all indexes, this takes 68 s in a debug build, otherwise less than 0.4 s.
    // The bound allows for a busy machine.
    let started = Instant::now();
    let mut directory = Directory::default();
    for number in 0..10_000 {
        directory.apply_change(numbered_engine(number), (u64::from(number) + 1).into(), Time::ZERO);
    }
    assert_eq!(directory.len(), 10_000);
    assert!(started.elapsed() < Duration::from_secs(10), "{:?}", started.elapsed());
}

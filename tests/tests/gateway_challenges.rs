//! What is said to have ended is one incarnation of an engine, and until that one answers itself.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Refusal, Send};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution, Probe};
use hollyspoke_gateway::message::{Extension, Message, StoreView};
use hollyspoke_gateway::quarantine::Incarnation;
use hollyspoke_tests::gateway::{
    PLAIN, World, engine, engines, heartbeat, only_refusal, ran, request,
};

/// When the engines started.
const START: u64 = 100;

/// When the odd entries claim that theirs did.
const ODD_START: u64 = 900;

/// Returns the usual engines with their start.
fn started_engines() -> Vec<Engine> {
    engines().into_iter().map(|it| Engine { started_at: Some(START), ..it }).collect()
}

/// Returns a box that knows the usual engines.
fn world() -> World {
    let mut world = World::new();
    world.event(Event::Listed(started_engines(), 20.into()));
    world
}

/// Returns an entry of another writer for each plain engine: at its address, and started later.
fn odd_entries(service: &str, started_at: Option<u64>) -> Vec<Engine> {
    let plain = started_engines().into_iter().filter(|it| &*it.service == PLAIN);
    let odd = plain.enumerate().map(|(number, it)| {
        let odd = engine(90 + number as u8, service, None);
        Engine { started_at, address: it.address, ..odd }
    });
    odd.collect()
}

/// Applies the entries one by one, or as part of a whole list.
fn write(world: &mut World, entries: &[Engine], revision: u64, as_list: bool) {
    if as_list {
        let all = [started_engines(), entries.to_vec()].concat();
        world.event(Event::Listed(all, revision.into()));
        return;
    }
    for (number, entry) in entries.iter().enumerate() {
        let revision = (revision + number as u64).into();
        world.event(Event::Changed(vec![EngineChange::Put(entry.clone(), revision)]));
    }
}

/// Returns the keys of the plain engines.
fn plain_keys() -> Vec<EngineKey> {
    let plain = started_engines().into_iter().filter(|it| &*it.service == PLAIN);
    plain.map(|it| it.key).collect()
}

/// Sends a plain request, and returns whether it was sent to one of the usual engines.
fn is_served(world: &mut World) -> bool {
    let (_, effects) = world.arrive(request("safe"));
    let sent = effects.iter().find_map(|it| match it {
        Effect::Send(send) => Some(send.clone()),
        _ => None,
    });
    let Some(Send { call, engine, .. }) = sent else { return false };
    world.call(call, CallEvent::Answered(ran(200)));
    plain_keys().contains(&engine.key)
}

/// Entries of a service that no configuration names, or without a start, come from other writers.
#[test]
fn entry_of_no_service_ends_engine() {
    for (service, start) in [("other", Some(ODD_START)), (PLAIN, None), (PLAIN, Some(START))] {
        for as_list in [false, true] {
            let mut world = world();
            write(&mut world, &odd_entries(service, start), 21, as_list);
            assert!(world.probed.is_empty(), "{service} {start:?} {as_list}");
            let is_one = |_| is_served(&mut world);
            assert!((0..20).any(is_one), "{service} {start:?} {as_list}");
        }
    }
}

/// An engine whose address another entry claims is asked, and serves once it has answered. The next
/// list ends it no more.
#[test]
fn living_engine_stays_ended() {
    for as_list in [false, true] {
        let mut world = world();
        write(&mut world, &odd_entries(PLAIN, Some(ODD_START)), 21, as_list);
        world.advance(Duration::from_millis(400));
        assert_eq!(world.probed.len(), plain_keys().len(), "each engine is asked once");
        for key in plain_keys() {
            world.event(Event::Probed(key, Probe::Alive(Some(START))));
        }
        for odd in odd_entries(PLAIN, None) {
            let answer = Answer { execution: Execution::Replaced, ..ran(421) };
            refuse(&mut world, odd.key, &answer);
        }
        assert!(is_served(&mut world), "{as_list}");
        write(&mut world, &odd_entries(PLAIN, Some(ODD_START)), 40, true);
        assert!(is_served(&mut world), "behind another list");
    }
}

/// Lets an engine answer requests as not meant for it until it gets none.
fn refuse(world: &mut World, key: EngineKey, answer: &Answer) {
    for _ in 0..20 {
        let (_, send) = world.first_call(request("safe"));
        let event = if send.engine.key == key { answer.clone() } else { ran(200) };
        world.call(send.call, CallEvent::Answered(event));
    }
}

/// Returns another box's word that engines are replaced, with their starts if it tells them.
fn word(sequence: u64, started_at: Option<u64>) -> Message {
    let incarnations = plain_keys().into_iter().map(|engine| Incarnation { engine, started_at });
    let replaced = incarnations.filter(|_| started_at.is_some()).collect();
    let extension = Extension { replaced, ..Extension::default() }.non_empty();
    let view = StoreView { version: 1, ..StoreView::default() };
    Message { replaced: plain_keys(), extension, ..heartbeat(2, sequence, view) }
}

/// Returns whether all plain requests are refused for want of an engine.
fn is_refused(world: &mut World) -> bool {
    let (_, effects) = world.arrive(request("safe"));
    matches!(only_refusal(&effects), Refusal::NotRun(..))
}

/// A box that was paused sends a request to the address that an engine had before its restart. Its
/// word says nothing about the engine that runs now.
#[test]
fn word_about_earlier_life_ends_later_one() {
    let mut world = world();
    world.event(Event::Received(word(1, Some(START - 1))));
    assert!(is_served(&mut world));
    world.event(Event::Received(word(2, Some(START))));
    assert!(is_refused(&mut world), "a word about this life is not heard");
}

/// A box of an earlier version doesn't tell the life that it means: the engine is asked.
#[test]
fn word_without_life_ends_engine() {
    for is_replaced in [false, true] {
        let mut world = world();
        world.event(Event::Received(word(1, None)));
        assert!(is_served(&mut world));
        world.advance(Duration::from_millis(400));
        let probe = if is_replaced { Probe::Replaced } else { Probe::Alive(Some(START)) };
        for key in std::mem::take(&mut world.probed) {
            world.event(Event::Probed(key, probe));
        }
        let is_right = if is_replaced { is_refused(&mut world) } else { is_served(&mut world) };
        assert!(is_right, "{is_replaced}");
    }
}

/// An engine that doesn't answer the question is asked again.
#[test]
fn lost_question_ends_engine_for_good() {
    let mut world = world();
    write(&mut world, &odd_entries(PLAIN, Some(ODD_START)), 21, false);
    world.advance(Duration::from_millis(400));
    for key in std::mem::take(&mut world.probed) {
        world.event(Event::Probed(key, Probe::NoAnswer));
    }
    world.advance(Duration::from_millis(2100));
    assert!(plain_keys().iter().all(|it| world.probed.contains(it)), "{:?}", world.probed);
}

/// The call went to the address that an engine had before it restarted elsewhere.
#[test]
fn late_answer_ends_later_life() {
    let mut world = world();
    let (_, send) = world.first_call(request("safe"));
    for old in started_engines().into_iter().filter(|it| &*it.service == PLAIN) {
        let engine = Engine { started_at: Some(ODD_START), ..old };
        world.event(Event::Changed(vec![EngineChange::Put(engine, 21.into())]));
    }
    world.call(
        send.call,
        CallEvent::Answered(Answer { execution: Execution::Replaced, ..ran(421) }),
    );
    assert!(is_served(&mut world));
}

//! Which boxes follow the store, and how the others stay up to date.

use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{EngineUpdate, Message, StoreView};
use hollyspoke_tests::gateway::{PLAIN, World, engine, engines, heartbeat, request};

/// The view of a box that follows the store and is as current as [`World::new`].
const CURRENT_VIEW: StoreView =
    StoreView { version: 1, revision: Revision::new(0, 10), has_lost_store: false };

/// Lets a second pass with heartbeats of boxes 2 to 9, and returns the effects.
fn run_second(world: &mut World, sequence: u64, store_view: StoreView) -> Vec<Effect> {
    let mut effects = Vec::new();
    for step in 0..4 {
        for number in 2..=9 {
            let message = heartbeat(number, sequence * 4 + step, store_view);
            effects.extend(world.gateway.step(world.now, Event::Received(message)));
        }
        world.now = world.now + Duration::from_millis(250);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    effects
}

/// Returns the last decision on following the store among effects.
fn last_watch_decision(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|it| match it {
        Effect::WatchStore(last_watch_decision) => Some(*last_watch_decision),
        _ => None,
    })
}

/// Makes a box that does not follow the store, as three others do. Whether box 1 is among the three
/// depends on its hash, which is checked.
fn non_follower() -> World {
    let mut world = World::new();
    let effects = run_second(&mut world, 1, CURRENT_VIEW);
    assert_eq!(
        last_watch_decision(&effects),
        Some(false),
        "box 1 is not among the first three of nine"
    );
    world
}

#[test]
fn all_boxes_follow() {
    non_follower();
}

#[test]
fn blind_followers_not_replaced() {
    let mut world = non_follower();
    let blind = StoreView { has_lost_store: true, ..CURRENT_VIEW };
    assert_eq!(last_watch_decision(&run_second(&mut world, 2, blind)), Some(true));
    assert_eq!(last_watch_decision(&run_second(&mut world, 3, CURRENT_VIEW)), Some(false));
}

#[test]
fn dead_followers_not_replaced() {
    let mut world = non_follower();
    let mut effects = Vec::new();
    for _ in 0..10 {
        world.now = world.now + Duration::from_millis(250);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    assert_eq!(last_watch_decision(&effects), Some(true));
}

#[test]
fn announced_change_ignored() {
    let mut world = non_follower();
    let change = EngineChange::Left("engine-1".into(), 12.into());
    let news = EngineUpdate { since: 10.into(), changes: vec![change] };
    let message =
        Message { engine_update: Some(Box::new(news)), ..heartbeat(2, 1000, CURRENT_VIEW) };
    world.event(Event::Received(message));
    for _ in 0..6 {
        let (_, send) = world.first_call(request("safe"));
        assert_eq!(&*send.engine.id, "engine-2");
    }
}

/// Changes after a gap must not be applied, as those before are missing: the list is read.
#[test]
fn update_gap_ignored() {
    let mut world = non_follower();
    let change = EngineChange::Put(engine(3, PLAIN, None), 14.into());
    let news = EngineUpdate { since: 12.into(), changes: vec![change] };
    let message =
        Message { engine_update: Some(Box::new(news)), ..heartbeat(2, 1000, CURRENT_VIEW) };
    world.event(Event::Received(message));
    for _ in 0..12 {
        let (_, send) = world.first_call(request("safe"));
        assert_ne!(&*send.engine.id, "engine-3");
    }
    let ahead = StoreView { revision: 14.into(), ..CURRENT_VIEW };
    let effects = run_second(&mut world, 300, ahead);
    assert!(effects.contains(&Effect::Read(Kind::Engines)));
    assert!(!effects.contains(&Effect::Read(Kind::Configuration)));
}

#[test]
fn newer_configuration_missed() {
    let mut world = non_follower();
    let ahead = StoreView { version: 2, ..CURRENT_VIEW };
    let effects = run_second(&mut world, 2, ahead);
    assert!(effects.contains(&Effect::Read(Kind::Configuration)));
}

/// A newer version has to be read at the first heartbeat that announces it, and once.
#[test]
fn configuration_read_delayed() {
    let mut world = non_follower();
    let ahead = StoreView { version: 2, ..CURRENT_VIEW };
    let now = world.now;
    let first = world.gateway.step(now, Event::Received(heartbeat(2, 1000, ahead)));
    assert!(first.contains(&Effect::Read(Kind::Configuration)));
    let second = world.gateway.step(now, Event::Received(heartbeat(3, 1000, ahead)));
    assert!(!second.contains(&Effect::Read(Kind::Configuration)));
}

/// A follower has to announce what it reads at once.
#[test]
fn change_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    let change = EngineChange::Left("engine-1".into(), 12.into());
    let now = world.now;
    let effects = world.gateway.step(now, Event::Changed(vec![change.clone()]));
    let passed = effects.iter().any(|it| match it {
        Effect::Announce(_, message) => {
            let news = EngineUpdate { since: 10.into(), changes: vec![change.clone()] };
            message.engine_update == Some(Box::new(news))
        }
        _ => false,
    });
    assert!(passed, "{effects:?}");
}

/// Returns the changes of engines that were announced.
fn announced_updates(effects: &[Effect]) -> Vec<EngineUpdate> {
    let news = effects.iter().filter_map(|it| match it {
        Effect::Announce(_, message) => message.engine_update.as_deref().cloned(),
        _ => None,
    });
    news.collect()
}

/// A follower that reads the list again has to announce what is new in it; otherwise all boxes read
/// it.
#[test]
fn list_changes_not_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    let mut listed = engines();
    let gone = listed.remove(0);
    let now = world.now;
    let effects = world.gateway.step(now, Event::Listed(listed, 30.into()));
    let changes = vec![EngineChange::Left(gone.id, 30.into())];
    assert_eq!(announced_updates(&effects), [EngineUpdate { since: 10.into(), changes }]);
}

/// Returns 40 new engines, each with a revision of its own.
fn forty_changes() -> Vec<EngineChange> {
    (0..40)
        .map(|it| EngineChange::Put(engine(100 + it, PLAIN, None), (20 + u64::from(it)).into()))
        .collect()
}

/// Applies datagrams with changes to a box.
fn receive_updates(world: &mut World, news: impl IntoIterator<Item = EngineUpdate>) {
    for (sequence, news) in (2000..).zip(news) {
        let message =
            Message { engine_update: Some(Box::new(news)), ..heartbeat(2, sequence, CURRENT_VIEW) };
        world.event(Event::Received(message));
    }
}

/// A follower on a slow link that lags behind the others must not use the link for what they have
/// forwarded already.
#[test]
fn lagging_follower_forwards() {
    let mut follower = World::new();
    let ahead = StoreView { revision: 100.into(), ..CURRENT_VIEW };
    follower.event(Event::Received(heartbeat(2, 1, ahead)));
    let now = follower.now;
    let effects = follower.gateway.step(now, Event::Changed(forty_changes()));
    assert_eq!(announced_updates(&effects), []);
}

/// Many engines may enter at once: boxes must not read the list for that.
#[test]
fn many_changes_lost() {
    let mut follower = World::new();
    follower.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    let now = follower.now;
    let effects = follower.gateway.step(now, Event::Changed(forty_changes()));
    let news = announced_updates(&effects);
    assert!(news.len() > 1, "more than fits into one datagram");
    let mut other = non_follower();
    receive_updates(&mut other, news);
    let knows = StoreView { revision: 59.into(), ..CURRENT_VIEW };
    let effects = run_second(&mut other, 900, knows);
    assert!(!effects.contains(&Effect::Read(Kind::Engines)), "nothing is missing");
}

/// If one of these datagrams is lost, later ones must not be applied, and the list is read.
#[test]
fn lost_update_ignored() {
    let mut follower = World::new();
    follower.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    let now = follower.now;
    let effects = follower.gateway.step(now, Event::Changed(forty_changes()));
    let mut news = announced_updates(&effects);
    news.remove(1);
    let mut other = non_follower();
    receive_updates(&mut other, news);
    let knows = StoreView { revision: 59.into(), ..CURRENT_VIEW };
    let effects = run_second(&mut other, 900, knows);
    assert!(effects.contains(&Effect::Read(Kind::Engines)));
}

/// The store's revision rises with every change of any object. A list without changes must not make
/// the other boxes read it.
#[test]
fn unchanged_list_announced() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    let now = world.now;
    let mut effects = world.gateway.step(now, Event::Listed(engines(), 30.into()));
    world.now = now + Duration::from_millis(400);
    effects.extend(world.gateway.step(world.now, Event::Tick));
    assert_eq!(announced_updates(&effects), []);
    let announced = effects.iter().filter_map(|it| match it {
        Effect::Announce(_, message) => Some(message.store_view.revision),
        _ => None,
    });
    assert_eq!(announced.max(), Some(Revision::default()), "no change of an engine is known");
}

/// Returns which of nine boxes follow the store while some of them get no answers from it.
fn followers(blind: &[u8]) -> Vec<u8> {
    let does_follow = |own: &u8| {
        let mut world = World::numbered(*own);
        for number in (1..=9).filter(|it| it != own) {
            let store_view = StoreView { has_lost_store: blind.contains(&number), ..CURRENT_VIEW };
            world.event(Event::Received(heartbeat(number, 1, store_view)));
        }
        last_watch_decision(&tick_for(&mut world, Duration::from_millis(400))) != Some(false)
    };
    (1..=9).filter(does_follow).collect()
}

/// For each follower without the store one more box has to follow it, not all.
#[test]
fn wrong_replacement_count() {
    let first = followers(&[]);
    assert_eq!(first.len(), 3);
    for blind in 1..=3 {
        let more = followers(&first[..blind]);
        assert_eq!(more.len(), 3 + blind);
        assert!(
            first.iter().all(|it| more.contains(it)),
            "followers without the store keep trying"
        );
    }
}

/// Lets time pass without datagrams of others.
fn tick_for(world: &mut World, duration: Duration) -> Vec<Effect> {
    let end = world.now + duration;
    let mut effects = Vec::new();
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_micros(1)).min(end);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    effects
}

/// Returns whether the last heartbeat announced a loss of the store.
fn is_blind(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|it| match it {
        Effect::Announce(_, message) if message.is_whole => Some(message.store_view.has_lost_store),
        _ => None,
    })
}

/// A follower whose calls fail has to announce it soon, and withdraw it with the next answer.
#[test]
fn store_failure_not_announced() {
    let mut world = World::new();
    for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
        world.event(Event::StoreAnswered(kind));
    }
    world.event(Event::Received(heartbeat(2, 1, CURRENT_VIEW)));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(400))), Some(false));
    world.event(Event::Received(heartbeat(2, 2, CURRENT_VIEW)));
    world.event(Event::StoreFailed(Kind::Configuration));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(1200))), Some(true));
    world.event(Event::StoreAnswered(Kind::Configuration));
    world.event(Event::StoreAnswered(Kind::Engines));
    world.event(Event::StoreAnswered(Kind::Evacuations));
    world.event(Event::Received(heartbeat(2, 3, CURRENT_VIEW)));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(400))), Some(false));
}

/// A box that has just started waits for heartbeats before it follows the store; without any it follows.
#[test]
fn store_followed_early() {
    let mut world = World::unconfigured();
    world.now = Time::ZERO;
    let mut effects = Vec::new();
    while world.now < Time::from_millis(750) {
        effects.extend(world.gateway.step(world.now, Event::Tick));
        world.now = world.now + Duration::from_millis(50);
    }
    assert_eq!(last_watch_decision(&effects), None);
    while world.now < Time::from_millis(1500) {
        effects.extend(world.gateway.step(world.now, Event::Tick));
        world.now = world.now + Duration::from_millis(50);
    }
    assert_eq!(last_watch_decision(&effects), Some(true));
}

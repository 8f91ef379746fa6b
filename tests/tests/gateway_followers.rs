//! Which boxes follow the store, and how the others keep up.

use std::time::Duration;

use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::EngineChange;
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{EngineUpdate, Message, StoreView};
use hollyspoke_tests::gateway::{PLAIN, World, engine, engines, heartbeat, request};

/// What a box knows that follows the store and is not behind [`World::new`].
const SEEING: StoreView =
    StoreView { version: 1, revision: Revision::new(0, 10), has_lost_store: false };

/// Lets a second pass with heartbeats of boxes 2 to 9, and gives what the box did.
fn second(world: &mut World, sequence: u64, knowledge: StoreView) -> Vec<Effect> {
    let mut effects = Vec::new();
    for step in 0..4 {
        for number in 2..=9 {
            let message = heartbeat(number, sequence * 4 + step, knowledge);
            effects.extend(world.gateway.step(world.now, Event::Received(message)));
        }
        world.now = world.now + Duration::from_millis(250);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    effects
}

/// Gives the last word on following among effects.
fn follows(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|it| match it {
        Effect::WatchStore(follows) => Some(*follows),
        _ => None,
    })
}

/// Makes a box that three others spare from following. Whether box 1 itself is among the three
/// depends on its hash, so that the test looks for a world in which it is not.
fn spared() -> World {
    let mut world = World::new();
    let effects = second(&mut world, 1, SEEING);
    assert_eq!(follows(&effects), Some(false), "node 1 is not among the first three of nine");
    world
}

#[test]
fn others_follow() {
    spared();
}

#[test]
fn followers_lose_the_store() {
    let mut world = spared();
    let blind = StoreView { has_lost_store: true, ..SEEING };
    assert_eq!(follows(&second(&mut world, 2, blind)), Some(true));
    assert_eq!(follows(&second(&mut world, 3, SEEING)), Some(false));
}

#[test]
fn followers_die() {
    let mut world = spared();
    let mut effects = Vec::new();
    for _ in 0..10 {
        world.now = world.now + Duration::from_millis(250);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    assert_eq!(follows(&effects), Some(true));
}

#[test]
fn news_is_taken() {
    let mut world = spared();
    let change = EngineChange::Left("engine-1".into(), 12.into());
    let news = EngineUpdate { since: 10.into(), changes: vec![change] };
    let message = Message { engine_update: Some(Box::new(news)), ..heartbeat(2, 1000, SEEING) };
    world.event(Event::Received(message));
    for _ in 0..6 {
        let (_, send) = world.first_call(request("safe"));
        assert_eq!(&*send.engine.id, "engine-2");
    }
}

/// News after a gap is not taken, since what lies between is missing; the list is read.
#[test]
fn gap_is_read() {
    let mut world = spared();
    let change = EngineChange::Put(engine(3, PLAIN, None), 14.into());
    let news = EngineUpdate { since: 12.into(), changes: vec![change] };
    let message = Message { engine_update: Some(Box::new(news)), ..heartbeat(2, 1000, SEEING) };
    world.event(Event::Received(message));
    for _ in 0..12 {
        let (_, send) = world.first_call(request("safe"));
        assert_ne!(&*send.engine.id, "engine-3");
    }
    let ahead = StoreView { revision: 14.into(), ..SEEING };
    let effects = second(&mut world, 300, ahead);
    assert!(effects.contains(&Effect::Read(Kind::Engines)));
    assert!(!effects.contains(&Effect::Read(Kind::Configuration)));
}

#[test]
fn newer_configuration_is_read() {
    let mut world = spared();
    let ahead = StoreView { version: 2, ..SEEING };
    let effects = second(&mut world, 2, ahead);
    assert!(effects.contains(&Effect::Read(Kind::Configuration)));
}

/// A newer version is read with the first heartbeat that tells of it, and once.
#[test]
fn newer_configuration_is_read_at_once() {
    let mut world = spared();
    let ahead = StoreView { version: 2, ..SEEING };
    let now = world.now;
    let first = world.gateway.step(now, Event::Received(heartbeat(2, 1000, ahead)));
    assert!(first.contains(&Effect::Read(Kind::Configuration)));
    let second = world.gateway.step(now, Event::Received(heartbeat(3, 1000, ahead)));
    assert!(!second.contains(&Effect::Read(Kind::Configuration)));
}

/// What a follower reads goes to the others at once.
#[test]
fn changes_are_passed_on() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, SEEING)));
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

/// Gives the changes of engines that were passed on.
fn passed_on(effects: &[Effect]) -> Vec<EngineUpdate> {
    let news = effects.iter().filter_map(|it| match it {
        Effect::Announce(_, message) => message.engine_update.as_deref().cloned(),
        _ => None,
    });
    news.collect()
}

/// A follower that had to read the list again tells the others what is new in it, so that they
/// need not all read it too.
#[test]
fn new_in_a_list_is_passed_on() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, SEEING)));
    let mut listed = engines();
    let gone = listed.remove(0);
    let now = world.now;
    let effects = world.gateway.step(now, Event::Listed(listed, 30.into()));
    let changes = vec![EngineChange::Left(gone.id, 30.into())];
    assert_eq!(passed_on(&effects), [EngineUpdate { since: 10.into(), changes }]);
}

/// Gives 40 new engines, each with a revision of its own.
fn many_changes() -> Vec<EngineChange> {
    (0..40)
        .map(|it| EngineChange::Put(engine(100 + it, PLAIN, None), (20 + u64::from(it)).into()))
        .collect()
}

/// Gives what a box does that hears datagrams of news.
fn hears(world: &mut World, news: impl IntoIterator<Item = EngineUpdate>) {
    for (sequence, news) in (2000..).zip(news) {
        let message =
            Message { engine_update: Some(Box::new(news)), ..heartbeat(2, sequence, SEEING) };
        world.event(Event::Received(message));
    }
}

/// The engines of a large site enter by tens at once. Nobody is to read the list for that.
#[test]
fn many_changes_are_passed_on() {
    let mut follower = World::new();
    follower.event(Event::Received(heartbeat(2, 1, SEEING)));
    let now = follower.now;
    let effects = follower.gateway.step(now, Event::Changed(many_changes()));
    let news = passed_on(&effects);
    assert!(news.len() > 1, "more than fits into one datagram");
    let mut other = spared();
    hears(&mut other, news);
    let knows = StoreView { revision: 59.into(), ..SEEING };
    let effects = second(&mut other, 900, knows);
    assert!(!effects.contains(&Effect::Read(Kind::Engines)), "nothing is missing");
}

/// If one of these datagrams is lost, those behind it are not taken, and the list is read.
#[test]
fn lost_part_is_read() {
    let mut follower = World::new();
    follower.event(Event::Received(heartbeat(2, 1, SEEING)));
    let now = follower.now;
    let effects = follower.gateway.step(now, Event::Changed(many_changes()));
    let mut news = passed_on(&effects);
    news.remove(1);
    let mut other = spared();
    hears(&mut other, news);
    let knows = StoreView { revision: 59.into(), ..SEEING };
    let effects = second(&mut other, 900, knows);
    assert!(effects.contains(&Effect::Read(Kind::Engines)));
}

/// The store's revision rises with every change of anything. A list in which nothing is new must
/// not make the others read it.
#[test]
fn nothing_new_in_a_list() {
    let mut world = World::new();
    world.event(Event::Received(heartbeat(2, 1, SEEING)));
    let now = world.now;
    let mut effects = world.gateway.step(now, Event::Listed(engines(), 30.into()));
    world.now = now + Duration::from_millis(400);
    effects.extend(world.gateway.step(world.now, Event::Tick));
    assert_eq!(passed_on(&effects), []);
    let told = effects.iter().filter_map(|it| match it {
        Effect::Announce(_, message) => Some(message.store_view.revision),
        _ => None,
    });
    assert_eq!(told.max(), Some(Revision::default()), "no change of an engine is known");
}

/// Gives which of nine boxes follow the store while some of them get no answers from it.
fn followers(blind: &[u8]) -> Vec<u8> {
    let does_follow = |own: &u8| {
        let mut world = World::numbered(*own);
        for number in (1..=9).filter(|it| it != own) {
            let knowledge = StoreView { has_lost_store: blind.contains(&number), ..SEEING };
            world.event(Event::Received(heartbeat(number, 1, knowledge)));
        }
        follows(&tick_for(&mut world, Duration::from_millis(400))) != Some(false)
    };
    (1..=9).filter(does_follow).collect()
}

/// For each follower that is cut off from the store one more box turns to it, not all.
#[test]
fn one_more_for_each_blind() {
    let first = followers(&[]);
    assert_eq!(first.len(), 3);
    for blind in 1..=3 {
        let more = followers(&first[..blind]);
        assert_eq!(more.len(), 3 + blind);
        assert!(first.iter().all(|it| more.contains(it)), "those that are blind go on trying");
    }
}

/// Lets time pass without a word from others.
fn tick_for(world: &mut World, span: Duration) -> Vec<Effect> {
    let end = world.now + span;
    let mut effects = Vec::new();
    while world.now < end {
        world.now = world.gateway.next_due().max(world.now + Duration::from_micros(1)).min(end);
        effects.extend(world.gateway.step(world.now, Event::Tick));
    }
    effects
}

/// Gives whether the last heartbeat called the box blind.
fn is_blind(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|it| match it {
        Effect::Announce(_, message) if message.is_whole => Some(message.store_view.has_lost_store),
        _ => None,
    })
}

/// A follower whose calls fail says so soon, and takes it back with the next answer.
#[test]
fn failing_follower_says_so() {
    let mut world = World::new();
    for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
        world.event(Event::StoreAnswered(kind));
    }
    world.event(Event::Received(heartbeat(2, 1, SEEING)));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(400))), Some(false));
    world.event(Event::Received(heartbeat(2, 2, SEEING)));
    world.event(Event::StoreFailed(Kind::Configuration));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(1200))), Some(true));
    world.event(Event::StoreAnswered(Kind::Configuration));
    world.event(Event::StoreAnswered(Kind::Engines));
    world.event(Event::StoreAnswered(Kind::Evacuations));
    world.event(Event::Received(heartbeat(2, 3, SEEING)));
    assert_eq!(is_blind(&tick_for(&mut world, Duration::from_millis(400))), Some(false));
}

/// A box that has just started hears the others before it follows; alone it follows all the same.
#[test]
fn waits_at_first() {
    let mut world = World::unconfigured();
    world.now = Time::ZERO;
    let mut effects = Vec::new();
    while world.now < Time::from_millis(750) {
        effects.extend(world.gateway.step(world.now, Event::Tick));
        world.now = world.now + Duration::from_millis(50);
    }
    assert_eq!(follows(&effects), None);
    while world.now < Time::from_millis(1500) {
        effects.extend(world.gateway.step(world.now, Event::Tick));
        world.now = world.now + Duration::from_millis(50);
    }
    assert_eq!(follows(&effects), Some(true));
}

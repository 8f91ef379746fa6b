//! Many boxes in several data centres: what is told to whom, and what silence means.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::cadence::Cadence;
use hollyspoke_gateway::effect::Effect;
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Kind};
use hollyspoke_gateway::message::{DataCentreKey, Load, Message, StoreView};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_tests::gateway::{
    MEMORY, MODEL, PLAIN, World, configuration, engine, heartbeat, only_send, ran, request,
};

/// The data centres; the box under test stands in the first.
const DATA_CENTRES: [&str; 3] = ["north", "south", "east"];

/// The cadence of a box with many others.
const SELDOM: Cadence = Cadence { local_interval_ms: 800, remote_interval_ms: 3200 };

/// Gives where a box listens for other boxes.
fn peer(data_centre: usize, number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1 + data_centre as u8, 0, number], 7000))
}

/// Gives a heartbeat of a box in a data centre.
fn beat(data_centre: usize, number: u8, sequence: u64) -> Message {
    Message {
        sender: peer(data_centre, number),
        front: SocketAddr::from(([10, 1 + data_centre as u8, 0, number], 8000)),
        data_centre: DataCentreKey::of(DATA_CENTRES[data_centre]),
        cadence: Some(SELDOM),
        ..heartbeat(2, sequence, StoreView::default())
    }
}

/// Makes a box that hears a number of boxes in each data centre.
fn world(nodes: u8) -> World {
    world_of(World::unconfigured(), nodes)
}

/// Has a box hear a number of boxes in each data centre.
fn world_of(mut world: World, nodes: u8) -> World {
    world.event(Event::Configured(Arc::new(configuration(1))));
    for data_centre in 0..DATA_CENTRES.len() {
        for number in 1..=nodes {
            world.event(Event::Received(beat(data_centre, number, 1)));
        }
    }
    world
}

/// Gives engines of both services in a data centre.
fn engines_in(data_centre: usize) -> Vec<Engine> {
    let first = 40 * data_centre as u8;
    let engines = [
        engine(first + 1, PLAIN, None),
        engine(first + 2, MODEL, Some(Stage::Prefill)),
        engine(first + 3, MODEL, Some(Stage::Decode)),
    ];
    engines
        .into_iter()
        .map(|it| Engine { data_centre: DATA_CENTRES[data_centre].into(), ..it })
        .collect()
}

/// Gives the data centres whose boxes a change of work is told to, when a stream goes to an engine.
fn zones_told(world: &mut World) -> BTreeSet<usize> {
    let arrival = Event::Arrived(RequestKey(900), request("once"));
    let effects = world.gateway.step(world.now, arrival);
    let told = effects.iter().filter_map(|it| match it {
        Effect::Announce(nodes, message) if !message.is_whole => Some(nodes),
        _ => None,
    });
    told.flatten().map(data_centre_of).collect()
}

/// Gives the number of a box's data centre.
fn data_centre_of(node: &SocketAddr) -> usize {
    let data_centres = 0..DATA_CENTRES.len();
    let mut of =
        data_centres.filter(|&data_centre| (1..=250).any(|it| peer(data_centre, it) == *node));
    of.next().expect("a node of a zone")
}

#[test]
fn few_nodes_are_all_told() {
    let mut world = world(20);
    world.event(Event::Listed(engines_in(0), 10.into()));
    assert_eq!(zones_told(&mut world), BTreeSet::from([0, 1, 2]));
}

/// What each of many boxes hears is not to grow with the data centres.
#[test]
fn work_near_by_is_told_near_by() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    assert_eq!(zones_told(&mut world), BTreeSet::from([0]));
}

/// A data centre that is full sends work to the others, which must not be full by then without its
/// knowing: 446 of 448 prompts that a full engine turned away had come from elsewhere.
#[test]
fn scarce_memory_is_told_to_all() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let held_tokens = (MEMORY as f64 * 0.5) as u32;
    let full = Load { prefill_tokens: 0, calls: 4, held_tokens };
    let message = Message { loads: vec![(EngineKey::of("engine-3"), full)], ..beat(0, 1, 2) };
    world.event(Event::Received(message));
    assert_eq!(zones_told(&mut world), BTreeSet::from([0, 1, 2]));
}

/// Those who stand beside the engine must know of it too.
#[test]
fn work_elsewhere_is_told_there() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(1), 10.into()));
    assert_eq!(zones_told(&mut world), BTreeSet::from([0, 1]));
}

/// What is known of engines elsewhere is older: they get work when the own ones are much fuller.
#[test]
fn engines_near_by_come_first() {
    let mut world = world(50);
    let all = (0..DATA_CENTRES.len()).flat_map(engines_in).collect();
    world.event(Event::Listed(all, 10.into()));
    let (_, send) = world.first_call(request("safe"));
    assert_eq!(&*send.engine.data_centre, DATA_CENTRES[0]);
    let mut elsewhere = 0;
    for number in 0..40 {
        let arrival = Event::Arrived(RequestKey(500 + number), request("once"));
        let send = only_send(&world.event(arrival));
        elsewhere += usize::from(*send.engine.data_centre != *DATA_CENTRES[0]);
        if elsewhere > 0 {
            break;
        }
    }
    assert!(elsewhere > 0, "a full data centre sends work elsewhere");
}

/// What a box did in some time.
#[derive(Debug, Default)]
struct Doings {
    /// Its heartbeats.
    heartbeats: usize,
    /// Those of them that went to other data centres too.
    far: usize,
    /// Its last word on following the store; it follows at first, while it has heard nobody.
    follows: Option<bool>,
}

impl Doings {
    /// Takes what one step led to.
    fn take(&mut self, effects: &[Effect]) {
        let told = effects.iter().filter_map(|it| match it {
            Effect::Announce(nodes, message) if message.is_whole => Some(nodes),
            _ => None,
        });
        let told: BTreeSet<usize> = told.flatten().map(data_centre_of).collect();
        self.heartbeats += usize::from(!told.is_empty());
        self.far += usize::from(told.len() > 1);
        for effect in effects {
            if let Effect::WatchStore(follows) = effect {
                self.follows = Some(*follows);
            }
        }
    }
}

/// Lets time pass in which all other boxes are heard, which know something of the store.
fn pass(world: &mut World, span: Duration, store_view: StoreView) -> Doings {
    let end = world.now + span;
    let mut doings = Doings::default();
    while world.now < end {
        world.now = world.now + Duration::from_millis(50);
        let sequence = world.now.since(hollyspoke::time::Time::ZERO).as_millis() as u64;
        for data_centre in 0..DATA_CENTRES.len() {
            for number in 1..=50 {
                let message = Message { store_view, ..beat(data_centre, number, sequence) };
                doings.take(&world.gateway.step(world.now, Event::Received(message)));
            }
        }
        doings.take(&world.gateway.step(world.now, Event::Tick));
    }
    doings
}

#[test]
fn few_heartbeats_go_far() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    pass(&mut world, Duration::from_secs(2), StoreView::default());
    let doings = pass(&mut world, Duration::from_secs(12), StoreView::default());
    assert!((13..=17).contains(&doings.heartbeats), "{doings:?}");
    assert!((3..=5).contains(&doings.far), "{doings:?}");
}

/// A box that follows the store has a duty for all, who must notice its death soon.
#[test]
fn followers_are_heard_by_all() {
    let blind = StoreView { has_lost_store: true, ..StoreView::default() };
    let found = (1..=60).find_map(|number| {
        let mut world = world_of(World::numbered(number), 50);
        let first = pass(&mut world, Duration::from_secs(1), blind);
        let follows = first.follows != Some(false);
        follows.then(|| pass(&mut world, Duration::from_secs(3), blind))
    });
    let doings = found.expect("one of sixty follows");
    assert_eq!(doings.far, doings.heartbeats, "{doings:?}");
}

/// A box elsewhere is heard every 3.2 seconds, and lives; one near by that is silent as long does
/// not.
#[test]
fn silence_near_and_far() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    world.advance(Duration::from_millis(3500));
    let effects = world.gateway.step(world.now, Event::Stop);
    let told = effects.iter().filter_map(|it| match it {
        Effect::Announce(nodes, message) if message.is_whole => Some(nodes),
        _ => None,
    });
    let told: BTreeSet<usize> = told.flatten().map(data_centre_of).collect();
    assert_eq!(told, BTreeSet::from([1, 2]), "those near by are dead, the others are not");
}

/// Clients are sent to the boxes near by, which know the engines near by best.
#[test]
fn clients_stay_near_by() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let fronts = world.gateway.fronts(None);
    assert_eq!(fronts.len(), 51, "the own data centre's, and this node");
    let mut few = World::unconfigured();
    few.event(Event::Configured(Arc::new(configuration(1))));
    few.event(Event::Listed(engines_in(0), 10.into()));
    for data_centre in 1..DATA_CENTRES.len() {
        for number in 1..=60 {
            few.event(Event::Received(beat(data_centre, number, 1)));
        }
    }
    few.event(Event::Received(beat(0, 1, 1)));
    assert_eq!(few.gateway.fronts(None).len(), 122, "too few near by: all are named");
}

/// Gives the work that a step told of, in datagrams that are no heartbeats.
fn changes_told(effects: &[Effect]) -> usize {
    let is_change = |it: &&Effect| matches!(it, Effect::Announce(_, it) if !it.is_whole);
    effects.iter().filter(is_change).count()
}

/// The end of a run that frees memory which nobody waits for costs no datagram of its own, nor does
/// the word that an engine keeps a prompt; both come with the next heartbeat.
#[test]
fn free_memory_can_wait() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let prompt = Some(PromptKey(7));
    let asked = Request { prompt, prompt_tokens: Some(2000), ..request("once") };
    let (_, generating) = world.begin_stream(asked);
    let now = world.now;
    let ended = Event::Call(generating.call, CallEvent::Answered(ran(200)));
    let mut effects = world.gateway.step(now, ended);
    assert_eq!(changes_told(&effects), 0);
    world.now = now + Duration::from_millis(900);
    effects.extend(world.gateway.step(world.now, Event::Tick));
    let is_told = effects.iter().any(|it| match it {
        Effect::Announce(_, it) => {
            it.is_whole && it.cached_prompts.iter().any(|it| it.prompt == PromptKey(7))
        }
        _ => false,
    });
    assert!(is_told, "{effects:?}");
}

/// Memory that others may wait for is told of at once.
#[test]
fn scarce_memory_is_told() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let asked = Request { prompt_tokens: Some(40_000), ..request("once") };
    let (_, generating) = world.begin_stream(asked);
    let ended = Event::Call(generating.call, CallEvent::Answered(ran(200)));
    let effects = world.gateway.step(world.now, ended);
    assert_eq!(changes_told(&effects), 1);
}

/// A new version cost a call to the store for each of 985 boxes as soon as it was heard of: 4,925 of
/// the 16,434 calls of a quiet day. One of eight reads it, and the others ask a box that has it.
#[test]
fn few_of_many_boxes_read_a_new_version() {
    let mut readers = 0;
    for own in 180..=243 {
        let mut world = World::numbered(own);
        world.event(Event::Configured(Arc::new(configuration(1))));
        world.event(Event::Listed(engines_in(0), 10.into()));
        let knowledge = StoreView { version: 1, ..StoreView::default() };
        for number in 0..600u16 {
            let [high, low] = number.to_be_bytes();
            let sender = SocketAddr::from(([10, 9, high, low], 7000));
            world.event(Event::Received(Message { sender, ..heartbeat(2, 1, knowledge) }));
        }
        // It has heard the others when it next decides whether it follows the store itself.
        world.advance(Duration::from_secs(2));
        let newer = StoreView { version: 2, ..StoreView::default() };
        let sender = SocketAddr::from(([10, 9, 0, 0], 7000));
        let message = Message { sender, ..heartbeat(2, 2, newer) };
        let effects = world.event(Event::Received(message));
        let is_read = effects.contains(&Effect::Read(Kind::Configuration));
        readers += usize::from(is_read);
        // The next heartbeat: 600 boxes of one data centre beat every 4.8 s.
        let effects = world.advance(Duration::from_secs(5));
        assert!(effects.iter().any(|it| matches!(it, Effect::Fetch(_))), "{effects:?}");
    }
    assert!((2..=20).contains(&readers), "{readers} of 64 read it");
}

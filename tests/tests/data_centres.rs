//! Many boxes in several data centres: which announcements go to which boxes, and when a silent box counts
//! as dead.

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

/// The data centres; the box under test is in the first.
const DATA_CENTRES: [&str; 3] = ["north", "south", "east"];

/// The cadence of a box among many others.
const SLOW_CADENCE: Cadence = Cadence { local_interval_ms: 800, remote_interval_ms: 3200 };

/// Returns the peer address of a box.
fn peer(data_centre: usize, number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1 + data_centre as u8, 0, number], 7000))
}

/// Returns a heartbeat of a box in a data centre.
fn heartbeat_from(data_centre: usize, number: u8, sequence: u64) -> Message {
    Message {
        sender: peer(data_centre, number),
        front: SocketAddr::from(([10, 1 + data_centre as u8, 0, number], 8000)),
        data_centre: DataCentreKey::of(DATA_CENTRES[data_centre]),
        cadence: Some(SLOW_CADENCE),
        ..heartbeat(2, sequence, StoreView::default())
    }
}

/// Creates a box that has received heartbeats of some boxes in each data centre.
fn world(boxes: u8) -> World {
    world_of(World::unconfigured(), boxes)
}

/// Lets a box receive heartbeats of some boxes in each data centre.
fn world_of(mut world: World, boxes: u8) -> World {
    world.event(Event::Configured(Arc::new(configuration(1))));
    for data_centre in 0..DATA_CENTRES.len() {
        for number in 1..=boxes {
            world.event(Event::Received(heartbeat_from(data_centre, number, 1)));
        }
    }
    world
}

/// Returns engines of both services in a data centre.
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

/// Sends a stream to an engine; returns the data centres that the change of load is announced to.
fn announced_data_centres(world: &mut World) -> BTreeSet<usize> {
    let arrival = Event::Arrived(RequestKey(900), request("once"));
    let effects = world.gateway.step(world.now, arrival);
    let announced = effects.iter().filter_map(|it| match it {
        Effect::Announce(boxes, message) if !message.is_whole => Some(boxes),
        _ => None,
    });
    announced.flatten().map(data_centre_of).collect()
}

/// Returns the number of the data centre of a box.
fn data_centre_of(node: &SocketAddr) -> usize {
    let data_centres = 0..DATA_CENTRES.len();
    let mut of =
        data_centres.filter(|&data_centre| (1..=250).any(|it| peer(data_centre, it) == *node));
    of.next().expect("a box of a data centre")
}

#[test]
fn few_boxes_not_announced() {
    let mut world = world(20);
    world.event(Event::Listed(engines_in(0), 10.into()));
    assert_eq!(announced_data_centres(&mut world), BTreeSet::from([0, 1, 2]));
}

/// The announcements that each of many boxes receives must not grow with the number of data centres.
#[test]
fn local_work_sent_everywhere() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    assert_eq!(announced_data_centres(&mut world), BTreeSet::from([0]));
}

/// A full data centre sends work to the others and has to know when they are full, too: of 448 prompts
/// that a full engine rejected, 446 were from other data centres.
#[test]
fn remote_memory_unknown() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let held_tokens = (MEMORY as f64 * 0.5) as u32;
    let full = Load { prefill_tokens: 0, calls: 4, held_tokens };
    let message =
        Message { loads: vec![(EngineKey::of("engine-3"), full)], ..heartbeat_from(0, 1, 2) };
    world.event(Event::Received(message));
    assert_eq!(announced_data_centres(&mut world), BTreeSet::from([0, 1, 2]));
}

/// The boxes in the data centre of the engine have to know of the work, too.
#[test]
fn remote_work_unknown() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(1), 10.into()));
    assert_eq!(announced_data_centres(&mut world), BTreeSet::from([0, 1]));
}

/// The state of remote engines is older, so they get work only if the local ones are much fuller.
#[test]
fn remote_engine_preferred() {
    let mut world = world(50);
    let all = (0..DATA_CENTRES.len()).flat_map(engines_in).collect();
    world.event(Event::Listed(all, 10.into()));
    let (_, send) = world.first_call(request("safe"));
    assert_eq!(&*send.engine.data_centre, DATA_CENTRES[0]);
    let mut remote_count = 0;
    for number in 0..40 {
        let arrival = Event::Arrived(RequestKey(500 + number), request("once"));
        let send = only_send(&world.event(arrival));
        remote_count += usize::from(*send.engine.data_centre != *DATA_CENTRES[0]);
        if remote_count > 0 {
            break;
        }
    }
    assert!(remote_count > 0, "a full data centre sent no work to others");
}

/// The activity of a box during a run.
#[derive(Debug, Default)]
struct Activity {
    /// The number of its heartbeats.
    heartbeats: usize,
    /// The number of those that were sent to other data centres, too.
    remote_heartbeats: usize,
    /// Whether it follows the store, if it has decided; a box that knows no others follows it.
    follows: Option<bool>,
}

impl Activity {
    /// Records the effects of one step.
    fn record(&mut self, effects: &[Effect]) {
        let announced = effects.iter().filter_map(|it| match it {
            Effect::Announce(boxes, message) if message.is_whole => Some(boxes),
            _ => None,
        });
        let announced: BTreeSet<usize> = announced.flatten().map(data_centre_of).collect();
        self.heartbeats += usize::from(!announced.is_empty());
        self.remote_heartbeats += usize::from(announced.len() > 1);
        for effect in effects {
            if let Effect::WatchStore(follows) = effect {
                self.follows = Some(*follows);
            }
        }
    }
}

/// Runs for a duration in which all other boxes send heartbeats with a view of the store.
fn run(world: &mut World, duration: Duration, store_view: StoreView) -> Activity {
    let end = world.now + duration;
    let mut activity = Activity::default();
    while world.now < end {
        world.now = world.now + Duration::from_millis(50);
        let sequence = world.now.since(hollyspoke::time::Time::ZERO).as_millis() as u64;
        for data_centre in 0..DATA_CENTRES.len() {
            for number in 1..=50 {
                let message =
                    Message { store_view, ..heartbeat_from(data_centre, number, sequence) };
                activity.record(&world.gateway.step(world.now, Event::Received(message)));
            }
        }
        activity.record(&world.gateway.step(world.now, Event::Tick));
    }
    activity
}

#[test]
fn too_many_remote_heartbeats() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    run(&mut world, Duration::from_secs(2), StoreView::default());
    let activity = run(&mut world, Duration::from_secs(12), StoreView::default());
    assert!((13..=17).contains(&activity.heartbeats), "{activity:?}");
    assert!((3..=5).contains(&activity.remote_heartbeats), "{activity:?}");
}

/// A box that follows the store does so for all others, which have to notice its death soon.
#[test]
fn follower_death_unnoticed() {
    let lost_store = StoreView { has_lost_store: true, ..StoreView::default() };
    let found = (1..=60).find_map(|number| {
        let mut world = world_of(World::numbered(number), 50);
        let first = run(&mut world, Duration::from_secs(1), lost_store);
        let follows = first.follows != Some(false);
        follows.then(|| run(&mut world, Duration::from_secs(3), lost_store))
    });
    let activity = found.expect("one of sixty follows");
    assert_eq!(activity.remote_heartbeats, activity.heartbeats, "{activity:?}");
}

/// A remote box sends a heartbeat every 3.2 seconds and counts as alive; a local box that is silent for
/// as long counts as dead.
#[test]
fn silent_box_misjudged() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    world.advance(Duration::from_millis(3500));
    let effects = world.gateway.step(world.now, Event::Stop);
    let announced = effects.iter().filter_map(|it| match it {
        Effect::Announce(boxes, message) if message.is_whole => Some(boxes),
        _ => None,
    });
    let announced: BTreeSet<usize> = announced.flatten().map(data_centre_of).collect();
    assert_eq!(
        announced,
        BTreeSet::from([1, 2]),
        "local boxes count as dead, remote ones as alive"
    );
}

/// Clients are sent to local boxes, which know the local engines best.
#[test]
fn clients_sent_remote() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let fronts = world.gateway.fronts(None);
    assert_eq!(fronts.len(), 51, "the boxes of the own data centre, and this one");
    let mut few = World::unconfigured();
    few.event(Event::Configured(Arc::new(configuration(1))));
    few.event(Event::Listed(engines_in(0), 10.into()));
    for data_centre in 1..DATA_CENTRES.len() {
        for number in 1..=60 {
            few.event(Event::Received(heartbeat_from(data_centre, number, 1)));
        }
    }
    few.event(Event::Received(heartbeat_from(0, 1, 1)));
    assert_eq!(few.gateway.fronts(None).len(), 122, "with too few local boxes all are named");
}

/// Returns the number of changes that a step announced outside of heartbeats.
fn announced_changes(effects: &[Effect]) -> usize {
    let is_change = |it: &&Effect| matches!(it, Effect::Announce(_, it) if !it.is_whole);
    effects.iter().filter(is_change).count()
}

/// If no request waits for memory, its release and the caching of a prompt are announced with the next
/// heartbeat, not in a datagram of their own.
#[test]
fn needless_memory_datagram() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let prompt = Some(PromptKey(7));
    let stream_request = Request { prompt, prompt_tokens: Some(2000), ..request("once") };
    let (_, decode) = world.begin_stream(stream_request);
    let now = world.now;
    let ended = Event::Call(decode.call, CallEvent::Answered(ran(200)));
    let mut effects = world.gateway.step(now, ended);
    assert_eq!(announced_changes(&effects), 0);
    world.now = now + Duration::from_millis(900);
    effects.extend(world.gateway.step(world.now, Event::Tick));
    let is_announced = effects.iter().any(|it| match it {
        Effect::Announce(_, it) => {
            it.is_whole && it.cached_prompts.iter().any(|it| it.prompt == PromptKey(7))
        }
        _ => false,
    });
    assert!(is_announced, "{effects:?}");
}

/// The release of scarce memory, for which others may wait, is announced at once.
#[test]
fn scarce_memory_delayed() {
    let mut world = world(50);
    world.event(Event::Listed(engines_in(0), 10.into()));
    let stream_request = Request { prompt_tokens: Some(40_000), ..request("once") };
    let (_, decode) = world.begin_stream(stream_request);
    let ended = Event::Call(decode.call, CallEvent::Answered(ran(200)));
    let effects = world.gateway.step(world.now, ended);
    assert_eq!(announced_changes(&effects), 1);
}

/// If each box reads a new version from the store, 985 boxes make as many calls: 4,925 of 16,434 calls at
/// low traffic. One of eight reads it, and the others ask a box that has it.
#[test]
fn too_many_version_reads() {
    let mut read_count = 0;
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
        // By the time it decides whether to follow the store it has received the heartbeats of the others.
        world.advance(Duration::from_secs(2));
        let newer = StoreView { version: 2, ..StoreView::default() };
        let sender = SocketAddr::from(([10, 9, 0, 0], 7000));
        let message = Message { sender, ..heartbeat(2, 2, newer) };
        let effects = world.event(Event::Received(message));
        let is_read = effects.contains(&Effect::Read(Kind::Configuration));
        read_count += usize::from(is_read);
        // The next heartbeat: each of 600 boxes of one data centre sends one every 4.8 s.
        let effects = world.advance(Duration::from_secs(5));
        assert!(effects.iter().any(|it| matches!(it, Effect::Fetch(_))), "{effects:?}");
    }
    assert!((2..=20).contains(&read_count), "{read_count} of 64 boxes read it");
}

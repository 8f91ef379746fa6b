//! Memory that is reserved at a decode engine before a prompt is prefilled, and what fails halfway.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Prompt, Refusal, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::message::{Load, Message, StoreView};
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_gateway::reservation::{Answer, Ask, Reservation};
use hollyspoke_gateway::route::{Configuration, Operations, Route, Service, Staged};
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engine, engines, heartbeat, only_refusal, only_send, prefilled,
    ran, rejected, request, settings,
};
use proptest::prelude::*;

/// The features under test.
const ON: Features = Features { reservations: true, priorities: true, ..Features::NONE };

/// Tokens at each decode engine with which one more request fits, and memory is short.
const SHORT: u32 = 45_000;

/// Returns the usual configuration, with engines that reserve memory for up to a time.
fn reserving(version: u64, max: Duration) -> Configuration {
    let usual = configuration(1);
    let max_reservation = Some(max);
    let operations = Operations { max_reservation, ..Operations::default() };
    let services = usual.services().map(|it| Service {
        staged: it.staged.map(|it| Staged { operations, ..it }),
        ..it.clone()
    });
    let routes = usual.routes().map(|it| Route::clone(it)).collect();
    Configuration::new(version, usual.limits, routes, services.collect())
}

/// Returns a box whose decode engines hold some tokens of another box.
fn world(features: Features, held_tokens: u32) -> World {
    let gateway = Gateway::new(Settings { features, ..settings(1) });
    let mut world = World::of(gateway);
    world.event(Event::Configured(Arc::new(reserving(1, Duration::from_secs(2)))));
    world.event(Event::Listed(engines(), 10.into()));
    let load = Load { prefill_tokens: 0, calls: 1, held_tokens };
    let loads = ["engine-21", "engine-22"].map(|it| (EngineKey::of(it), load));
    let message = Message { loads: loads.to_vec(), ..heartbeat(2, 1, StoreView::default()) };
    world.event(Event::Received(message));
    world
}

/// Returns the only ask among effects, which contain no call.
fn only_ask(effects: &[Effect]) -> Ask {
    match effects {
        [Effect::Reserve(ask)] => ask.clone(),
        _ => panic!("not one ask: {effects:?}"),
    }
}

/// Lets a request arrive at a box with little memory, and returns the first ask.
fn first_ask(world: &mut World) -> (RequestKey, Ask) {
    let (key, effects) = world.arrive(request("once"));
    (key, only_ask(&effects))
}

/// Passes an engine's answer to the box.
fn answer(world: &mut World, ask: &Ask, answer: Answer) -> Vec<Effect> {
    world.event(Event::Reserved(ask.number, answer))
}

/// Grants an ask and returns the effects.
fn grant(world: &mut World, ask: &Ask) -> Vec<Effect> {
    answer(world, ask, Answer::Granted("r-1".into()))
}

/// Grants an ask, and returns the prefill call that follows once the reservation is dropped.
fn prefill(world: &mut World, ask: &Ask) -> CallKey {
    let effects = grant(world, ask);
    assert!(drops(&effects, ask), "running streams may grow into the memory: {effects:?}");
    let send = only_send(&effects);
    assert_eq!((send.task, send.reservation), (Task::Prefill, None));
    send.call
}

/// Returns whether effects drop the reservation of an ask.
fn drops(effects: &[Effect], ask: &Ask) -> bool {
    let dropped = Reservation { engine: ask.engine.clone(), id: "r-1".into() };
    effects.contains(&Effect::DropReservation(dropped))
}

#[test]
fn prompt_prefilled_in_vain() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    assert_eq!(ask.engine.stage, Some(Stage::Decode));
    assert_eq!(ask.tokens, 5800, "the prompt and the whole expected answer");
    let prefill = prefill(&mut world, &ask);
    let decode = only_send(&world.call(prefill, CallEvent::Answered(prefilled("h"))));
    assert_eq!((decode.engine.key, decode.reservation), (ask.engine.key, None));
}

#[test]
fn prefill_engines_gone() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let left = ["engine-11", "engine-12"].map(|it| EngineChange::Left(it.into(), 11.into()));
    world.event(Event::Changed(left.to_vec()));
    let effects = grant(&mut world, &ask);
    let decode = only_send(&effects);
    assert_eq!(decode.task, Task::Decode(Prompt::NotPrefilled));
    assert_eq!((decode.engine.key, decode.reservation), (ask.engine.key, Some("r-1".into())));
    let effects = world.call(decode.call, CallEvent::Answered(rejected()));
    assert_eq!(only_send(&effects).reservation, None, "it serves once");
    assert!(drops(&effects, &ask), "the engine keeps it for nobody: {effects:?}");
}

#[test]
fn choices_changed_below_shortage() {
    let mut with = world(Features { reservations: true, ..Features::NONE }, SHORT / 2);
    let mut without = world(Features::NONE, SHORT / 2);
    for _ in 0..3 {
        let (_, effects) = with.arrive(request("once"));
        assert_eq!(effects, without.arrive(request("once")).1);
        let call = only_send(&effects).call;
        let answered = || Event::Call(call, CallEvent::Answered(prefilled("h")));
        assert_eq!(with.event(answered()), without.event(answered()));
    }
}

#[test]
fn feature_off() {
    for features in [Features::NONE, Features { reservations: false, ..Features::ALL }] {
        let mut world = world(features, SHORT);
        let (_, prefill) = world.first_call(request("once"));
        assert_eq!(prefill.task, Task::Prefill);
    }
}

#[test]
fn priority_not_told() {
    let (_, prefill) = world(ON, 0).first_call(request("once"));
    assert_eq!(prefill.priority, Some(1));
    let (_, plain) = world(ON, 0).first_call(request("safe"));
    assert_eq!(plain.priority, None);
    let (_, prefill) = world(Features::NONE, 0).first_call(request("once"));
    assert_eq!(prefill.priority, None);
}

#[test]
fn engine_full() {
    let mut world = world(ON, SHORT);
    let (key, first) = first_ask(&mut world);
    let event = Event::Reserved(first.number, Answer::Full);
    let effects = world.gateway.step(world.now, event);
    let tells = |it: &Effect| {
        matches!(it, Effect::Announce(_, message)
            if message.rejections.iter().any(|it| it.engine == first.engine.key))
    };
    assert!(effects.iter().any(tells), "other boxes are told");
    let asked = effects.iter().find_map(|it| match it {
        Effect::Reserve(ask) => Some(ask.clone()),
        _ => None,
    });
    let second = asked.expect("the other engine is asked");
    assert_ne!(second.engine.key, first.engine.key);
    assert_eq!(answer(&mut world, &second, Answer::Full), []);
    let effects = world.advance(Duration::from_millis(300));
    let refused = only_refusal(&effects);
    assert!(matches!(refused, Refusal::NotRun(_, NotRunReason::Overloaded, _)), "{refused:?}");
    assert_eq!(world.gateway.in_flight_count(), 0, "{key:?}");
    assert_eq!(world.gateway.own_work(), []);
}

#[test]
fn operation_unsupported() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let prefill = only_send(&answer(&mut world, &ask, Answer::Unsupported));
    assert_eq!(prefill.task, Task::Prefill);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    assert_eq!((decode.engine.key, decode.reservation), (ask.engine.key, None));
}

#[test]
fn engine_unreachable() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let next = only_ask(&answer(&mut world, &ask, Answer::NotConnected));
    assert_ne!(next.engine.key, ask.engine.key);
    let (_, other) = first_ask(&mut world);
    assert_ne!(other.engine.key, ask.engine.key, "other requests avoid it as well");
}

#[test]
fn engine_replaced() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let next = only_ask(&answer(&mut world, &ask, Answer::Replaced));
    assert_ne!(next.engine.key, ask.engine.key);
}

#[test]
fn answer_unknown() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let next = only_ask(&answer(&mut world, &ask, Answer::Unknown));
    assert_ne!(next.engine.key, ask.engine.key);
}

#[test]
fn answer_late() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let next = only_ask(&world.advance(Duration::from_millis(260)));
    assert_ne!(next.engine.key, ask.engine.key);
    let effects = answer(&mut world, &ask, Answer::Granted("r-1".into()));
    assert!(drops(&effects, &ask), "{effects:?}");
    assert_eq!(effects.len(), 1, "the request still waits for the other engine");
}

/// Engines that don't answer have not said that they are full.
#[test]
fn silent_engines_taken_for_full() {
    let mut world = world(ON, SHORT);
    let (_, first) = first_ask(&mut world);
    let mut effects = Vec::new();
    for _ in 0..200 {
        effects.extend(world.advance(Duration::from_millis(5)));
    }
    let asked: Vec<_> = effects.iter().filter(|it| matches!(it, Effect::Reserve(_))).collect();
    assert_eq!(asked.len(), 1, "the other engine is asked after {}: {asked:?}", first.engine.id);
    assert_eq!(only_send(&effects).task, Task::Prefill);
}

#[test]
fn client_left_before_answer() {
    let mut world = world(ON, SHORT);
    let (key, ask) = first_ask(&mut world);
    assert_eq!(world.event(Event::ClientDisconnected(key)), []);
    assert_eq!(world.gateway.own_work(), []);
    let effects = answer(&mut world, &ask, Answer::Granted("r-1".into()));
    assert!(drops(&effects, &ask), "{effects:?}");
}

#[test]
fn prefill_failed() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    let prefill = prefill(&mut world, &ask);
    let effects = world.call(prefill, CallEvent::Broken);
    let decode = only_send(&effects);
    assert_eq!((decode.task, decode.reservation), (Task::Decode(Prompt::NotPrefilled), None));
    assert!(!drops(&effects, &ask), "it was dropped before");
}

/// Changes the entry of the engine that was asked.
fn change(world: &mut World, ask: &Ask, change: impl Fn(&Engine) -> Engine) {
    let change = EngineChange::Put(change(&ask.engine), 11.into());
    world.event(Event::Changed(vec![change]));
}

#[test]
fn engine_draining() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    change(&mut world, &ask, |it| Engine { is_draining: true, ..it.clone() });
    let effects = grant(&mut world, &ask);
    assert!(drops(&effects, &ask), "{effects:?}");
    let asks = |it: &Effect| matches!(it, Effect::Reserve(it) if it.engine.key != ask.engine.key);
    assert!(effects.iter().any(asks), "another engine is asked: {effects:?}");
}

#[test]
fn engine_restarted() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    change(&mut world, &ask, |it| Engine { started_at: Some(9), ..it.clone() });
    let effects = grant(&mut world, &ask);
    assert!(matches!(effects[..], [Effect::Reserve(_)]), "the reservation is gone: {effects:?}");
}

#[test]
fn ttl_over_before_answer() {
    let mut world = world(ON, SHORT);
    let max = Duration::from_millis(100);
    world.event(Event::Configured(Arc::new(reserving(2, max))));
    let (_, ask) = first_ask(&mut world);
    world.now = world.now + ask.ttl;
    let effects = grant(&mut world, &ask);
    assert!(drops(&effects, &ask), "it may have been made late: {effects:?}");
    assert!(effects.iter().all(|it| !matches!(it, Effect::Send(_))), "{effects:?}");
}

#[test]
fn box_stopped_before_answer() {
    let mut world = world(ON, SHORT);
    let (key, ask) = first_ask(&mut world);
    world.event(Event::Stop);
    world.event(Event::ClientDisconnected(key));
    let later = world.now + Duration::from_secs(8);
    assert!(!world.gateway.is_done(later), "a reservation may have to be dropped");
    assert!(drops(&answer(&mut world, &ask, Answer::Granted("r-1".into())), &ask));
    assert!(world.gateway.is_done(later));
}

#[test]
fn unused_reservation_unlogged() {
    let mut world = world(ON, SHORT);
    let (_, ask) = first_ask(&mut world);
    world.now = world.now + Duration::from_millis(40);
    let granted = Event::Reserved(ask.number, Answer::Granted("r-1".into()));
    let effects = world.gateway.step(world.now, granted);
    let unused = LogEvent::ReservationUnused {
        engine: ask.engine.id.clone(),
        tokens: ask.tokens,
        duration: Duration::from_millis(40),
    };
    assert!(effects.contains(&Effect::Log(unused)), "{effects:?}");
}

/// Something that happens to a box.
#[derive(Debug, Clone)]
enum Step {
    /// A request arrives.
    Arrive,
    /// A client leaves.
    Leave(usize),
    /// An engine answers the oldest ask.
    Answer(u8),
    /// An engine answers the oldest call.
    Call(u8),
    /// An engine drains, or restarts.
    Engine(bool, u8),
    /// Time passes, in milliseconds.
    Pass(u64),
}

/// Generates a step.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Arrive),
        1 => (0..40usize).prop_map(Step::Leave),
        4 => (0..10u8).prop_map(Step::Answer),
        4 => (0..5u8).prop_map(Step::Call),
        1 => (any::<bool>(), 21..=22u8).prop_map(|(drains, number)| Step::Engine(drains, number)),
        2 => (1..700u64).prop_map(Step::Pass),
    ]
}

/// A call that is not answered yet.
#[derive(Debug)]
struct OpenCall {
    /// The call.
    key: CallKey,
    /// Whether it is a prefill.
    is_prefill: bool,
    /// The engine.
    engine: Arc<Engine>,
    /// The reservation that it names, with the time at which it expires.
    reservation: Option<(Arc<str>, Time)>,
}

/// The engines, which keep account of the reservations that they have granted.
#[derive(Debug, Default)]
struct Engines {
    /// The asks that are not answered yet.
    asks: Vec<Ask>,
    /// The calls that are not answered yet.
    calls: Vec<OpenCall>,
    /// The unused reservations, with the engine and the time at which each expires.
    open: BTreeMap<Arc<str>, (EngineKey, Time)>,
    /// The number of reservations granted.
    granted: u64,
    /// The start time of each engine's incarnation.
    started_at: BTreeMap<EngineKey, u64>,
    /// The revision of the list of engines.
    revision: u64,
}

impl Engines {
    /// Applies the effects of the box. A reservation is used or dropped once, at its engine; if the
    /// engine turns the request away, it is unused again.
    fn apply(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reserve(ask) => self.asks.push(ask),
                Effect::Send(send) => {
                    let reservation = send.reservation.map(|id| {
                        let (engine, expires_at) = self.open.remove(&id).expect("unused before");
                        assert!(engine == send.engine.key && now < expires_at, "{id} misused");
                        (id, expires_at)
                    });
                    let is_prefill = send.task == Task::Prefill;
                    let (key, engine) = (send.call, send.engine);
                    self.calls.push(OpenCall { key, is_prefill, engine, reservation });
                }
                Effect::DropReservation(Reservation { engine, id }) => {
                    let known = self.open.remove(&id).expect("unused before");
                    assert_eq!(known.0, engine.key);
                }
                Effect::Cancel(call) => self.calls.retain(|it| it.key != call),
                _ => {}
            }
        }
    }

    /// Answers an ask, in most cases with a reservation.
    fn answer(&mut self, world: &mut World, draw: u8) {
        if self.asks.is_empty() {
            return;
        }
        let ask = self.asks.remove(0);
        let is_replaced = self.started_at.get(&ask.engine.key).copied() != ask.engine.started_at;
        let answer = match draw {
            _ if is_replaced => Answer::Replaced,
            0 => Answer::Full,
            1 => Answer::Unknown,
            2 => Answer::NotConnected,
            3 => Answer::Replaced,
            _ => {
                self.granted += 1;
                let id: Arc<str> = format!("r-{}", self.granted).into();
                self.open.insert(id.clone(), (ask.engine.key, world.now + ask.ttl));
                Answer::Granted(id)
            }
        };
        let effects = world.event(Event::Reserved(ask.number, answer));
        self.apply(world.now, effects);
    }

    /// Answers a call.
    fn answer_call(&mut self, world: &mut World, draw: u8) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.remove(0);
        if let (2, Some((id, expires_at))) = (draw, call.reservation)
            && self.started_at.get(&call.engine.key).copied() == call.engine.started_at
        {
            self.open.insert(id, (call.engine.key, expires_at));
        }
        let event = match draw {
            0 => CallEvent::Broken,
            1 => CallEvent::NotConnected,
            2 => CallEvent::Answered(rejected()),
            _ if call.is_prefill => CallEvent::Answered(prefilled("h")),
            _ => CallEvent::Answered(ran(200)),
        };
        let effects = world.call(call.key, event);
        self.apply(world.now, effects);
    }

    /// Changes the entry of an engine, whose reservations are gone.
    fn change(&mut self, world: &mut World, drains: bool, number: u8) {
        self.revision += 1;
        let entry = Engine {
            started_at: Some(self.revision),
            is_draining: drains,
            ..engine(number, MODEL, Some(Stage::Decode))
        };
        self.open.retain(|_, (at, _)| *at != entry.key);
        self.started_at.insert(entry.key, self.revision);
        let change = EngineChange::Put(entry, (10 + self.revision).into());
        let effects = world.event(Event::Changed(vec![change]));
        self.apply(world.now, effects);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 200, ..ProptestConfig::with_cases(200) })]

    /// When all requests have ended, no reservation stands that hasn't expired.
    #[test]
    fn reservations_used_once(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = world(ON, SHORT);
        let mut engines = Engines::default();
        for step in steps {
            match step {
                Step::Arrive => {
                    let (_, effects) = world.arrive(request("resumed"));
                    engines.apply(world.now, effects);
                }
                Step::Leave(number) => {
                    let key = RequestKey(number as u64);
                    let effects = world.event(Event::ClientDisconnected(key));
                    engines.apply(world.now, effects);
                }
                Step::Answer(draw) => engines.answer(&mut world, draw),
                Step::Call(draw) => engines.answer_call(&mut world, draw),
                Step::Engine(drains, number) => engines.change(&mut world, drains, number),
                Step::Pass(millis) => {
                    let effects = world.advance(Duration::from_millis(millis));
                    engines.apply(world.now, effects);
                }
            }
        }
        while !engines.asks.is_empty() {
            engines.answer(&mut world, 9);
        }
        for number in 0..world.next_request {
            let effects = world.event(Event::ClientDisconnected(RequestKey(number)));
            engines.apply(world.now, effects);
        }
        engines.open.retain(|_, (_, expires_at)| world.now < *expires_at);
        prop_assert!(engines.open.is_empty(), "left: {:?}", engines.open);
        prop_assert_eq!(world.gateway.own_work(), []);
    }
}

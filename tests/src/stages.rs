//! A box that changes the stages of engines, with a store and engines that the test simulates.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use hollyspoke_gateway::effect::{Effect, Order, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Answer as Answered, CallEvent, Event, Kind, OrderAnswer};
use hollyspoke_gateway::rate_limit::Reported;
use hollyspoke_gateway::request::CallKey;
use hollyspoke_gateway::route::{Configuration, Operations, Route, RouteKind, Service, Staged};
use hollyspoke_gateway::statement::Statement;

use crate::gateway::{MODEL, World, configuration, engine, prefilled, ran, request, route};

/// The time that an engine takes to change its stage.
pub const SWITCH: Duration = Duration::from_secs(6);

/// The prefill rate of an engine, in tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 30;

/// The interval at which watches of the store are answered.
const STEP: Duration = Duration::from_millis(10);

/// An object of the store.
#[derive(Debug, Clone)]
struct Object {
    /// Its version: the store's revision at its last write.
    version: u64,
    /// Its value.
    value: String,
}

/// How engines answer orders to change their stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderBehaviour {
    /// They accept orders.
    Accepts,
    /// They refuse orders.
    Refuses,
    /// They accept orders, but their answers are lost.
    LosesAnswers,
    /// They neither receive orders nor answer.
    Unreachable,
}

/// A box, the store and the engines.
#[derive(Debug)]
pub struct StageWorld {
    /// The box.
    pub world: World,
    /// Whether the store answers.
    pub has_store: bool,
    /// How engines answer orders.
    pub order_behaviour: OrderBehaviour,
    /// The time that a decode run takes.
    pub run: Duration,
    /// The prompt tokens of the requests that arrive now.
    tokens: u64,
    /// The orders that the box sent.
    pub orders: Vec<Order>,
    /// The time of each order.
    pub ordered_at: Vec<Time>,
    /// The time at which another box last took the lease.
    pub lease_taken_at: Option<Time>,
    /// The time at which this box last wrote the lease.
    pub written_at: Option<Time>,
    /// The number of refused requests.
    pub refused: usize,
    /// The limits that rate-limited engines state in their answers, in requests per second.
    pub limits: BTreeMap<EngineKey, f64>,
    /// The engine to which each call was sent.
    calls: BTreeMap<CallKey, EngineKey>,
    /// The objects in the store.
    objects: BTreeMap<String, Object>,
    /// The engines with stages, as the store lists them.
    engines: Vec<Engine>,
    /// The number of orders that each engine has accepted.
    order_counts: BTreeMap<EngineKey, u64>,
    /// What is scheduled, with its time.
    scheduled: Vec<(Time, Scheduled)>,
    /// The revision of the store's newest change.
    revision: u64,
}

/// What is scheduled to happen.
#[derive(Debug, Clone)]
enum Scheduled {
    /// An engine has prefilled a prompt.
    Prefilled(CallKey),
    /// A stream begins.
    Begin(CallKey),
    /// A stream ends.
    End(CallKey),
    /// An engine has changed its stage.
    Changed(EngineKey, Stage),
}

/// Returns the usual configuration, with engines that can change their stage.
pub fn switchable(version: u64) -> Configuration {
    let staged = Staged {
        memory_tokens: 40_000,
        token_bytes: 163_840,
        link_mbps: 1_600_000.0,
        handle_ttl: Duration::from_millis(500),
        switch_duration: Some(SWITCH),
        operations: Operations::default(),
    };
    let once = Route { max_attempts: 1, ..route("once", RouteKind::Stream, MODEL) };
    let services = vec![Service { name: MODEL.into(), staged: Some(staged), cold_rate: None }];
    Configuration::new(version, configuration(1).limits, vec![once], services)
}

impl Default for StageWorld {
    fn default() -> StageWorld {
        StageWorld::new(4, 5)
    }
}

impl StageWorld {
    /// Creates a box that knows these numbers of prefill engines and decode engines.
    pub fn new(prefill_engines: u8, decode_engines: u8) -> StageWorld {
        let mut world = World::unconfigured();
        let prefill_engine = |it| engine(10 + it, MODEL, Some(Stage::Prefill));
        let decode_engine = |it| engine(30 + it, MODEL, Some(Stage::Decode));
        let mut engines: Vec<_> = (0..prefill_engines).map(prefill_engine).collect();
        engines.extend((0..decode_engines).map(decode_engine));
        world.event(Event::Configured(Arc::new(switchable(1))));
        world.event(Event::Listed(engines.clone(), 10.into()));
        world.event(Event::StoreAnswered(Kind::Configuration));
        world.event(Event::StoreAnswered(Kind::Engines));
        world.event(Event::StoreAnswered(Kind::Evacuations));
        StageWorld {
            world,
            has_store: true,
            order_behaviour: OrderBehaviour::Accepts,
            run: Duration::from_secs(3),
            tokens: 0,
            orders: Vec::new(),
            ordered_at: Vec::new(),
            lease_taken_at: None,
            limits: BTreeMap::new(),
            calls: BTreeMap::new(),
            written_at: None,
            refused: 0,
            objects: BTreeMap::new(),
            engines,
            order_counts: BTreeMap::new(),
            scheduled: Vec::new(),
            revision: 10,
        }
    }

    /// Returns the number of prefill engines, as the store lists them.
    pub fn prefill_count(&self) -> usize {
        self.engines.iter().filter(|it| it.stage == Some(Stage::Prefill)).count()
    }

    /// Returns the version of the lease in the store.
    pub fn lease_version(&self) -> Option<u64> {
        self.objects.get("stages").map(|it| it.version)
    }

    /// Returns the number of engines that are changing their stage.
    pub fn switching_count(&self) -> usize {
        self.scheduled.iter().filter(|it| matches!(it.1, Scheduled::Changed(..))).count()
    }

    /// Returns the number of prefill engines after all changes in progress.
    pub fn prefill_count_after_switches(&self) -> usize {
        let mut stages: BTreeMap<EngineKey, Option<Stage>> =
            self.engines.iter().map(|it| (it.key, it.stage)).collect();
        for (_, due) in &self.scheduled {
            if let Scheduled::Changed(key, stage) = due {
                stages.insert(*key, Some(*stage));
            }
        }
        stages.values().filter(|it| **it == Some(Stage::Prefill)).count()
    }

    /// Writes the lease as another box that takes it over.
    pub fn take_lease(&mut self) {
        self.revision += 1;
        let object = Object { version: self.revision, value: "another box".to_owned() };
        self.objects.insert("stages".to_owned(), object);
        self.lease_taken_at = Some(self.world.now);
    }

    /// Sends requests at a rate for a time, and simulates the answers.
    pub fn run_load(&mut self, rate_per_s: u32, tokens: u64, duration: Duration) {
        self.tokens = tokens;
        let end = self.world.now + duration;
        let every = Duration::from_secs(1).checked_div(rate_per_s);
        let mut next = self.world.now;
        while self.world.now < end {
            self.world.now = self.world.now + STEP;
            self.answer_watches();
            while let Some(every) = every.filter(|_| next <= self.world.now) {
                next = next + every;
                let mut asked = request("once");
                asked.prompt_tokens = Some(tokens);
                asked.max_answer_tokens = Some(160);
                asked.expected_answer_tokens = Some(80);
                let (_, effects) = self.world.arrive(asked);
                self.apply_effects(effects);
            }
            let effects = self.world.event(Event::Tick);
            self.apply_effects(effects);
            self.handle_due();
        }
    }

    /// Answers the watches of the store, if the store is available.
    fn answer_watches(&mut self) {
        for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
            let contact = if self.has_store { Event::StoreAnswered } else { Event::StoreFailed };
            let effects = self.world.event(contact(kind));
            self.apply_effects(effects);
        }
    }

    /// Applies the effects of the box.
    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let now = self.world.now;
            match effect {
                Effect::Send(send) if send.task == Task::Prefill => {
                    self.calls.insert(send.call, send.engine.key);
                    let took = Duration::from_millis(self.tokens / PREFILL_TOKENS_PER_MS);
                    self.scheduled.push((now + took, Scheduled::Prefilled(send.call)));
                }
                Effect::Send(send) => {
                    self.calls.insert(send.call, send.engine.key);
                    let begins = now + Duration::from_millis(50);
                    self.scheduled.push((begins, Scheduled::Begin(send.call)));
                    self.scheduled.push((now + self.run, Scheduled::End(send.call)));
                }
                Effect::Refuse(..) => self.refused += 1,
                Effect::Store(number, operation) => {
                    let answer = self.store(operation);
                    let next = self.world.event(Event::Stored(number, answer));
                    self.apply_effects(next);
                }
                Effect::QueryOrderCount(engine) => {
                    let count = self.order_counts.get(&engine.key).copied().unwrap_or(0);
                    let next = self.world.event(Event::OrderCount(engine.key, Some(count)));
                    self.apply_effects(next);
                }
                Effect::Order(order) => self.accept_order(order),
                _ => {}
            }
        }
    }

    /// Applies an order at an engine.
    fn accept_order(&mut self, order: Order) {
        let key = order.engine.key;
        let count = self.order_counts.entry(key).or_default();
        let answer = match self.order_behaviour {
            OrderBehaviour::Refuses => OrderAnswer::Refused,
            OrderBehaviour::Unreachable => OrderAnswer::Unknown,
            _ if order.expected_count != *count => OrderAnswer::Conflict,
            OrderBehaviour::Accepts | OrderBehaviour::LosesAnswers => {
                *count += 1;
                let done = self.world.now + SWITCH;
                self.scheduled.push((done, Scheduled::Changed(key, order.stage)));
                let is_answered = self.order_behaviour == OrderBehaviour::Accepts;
                if is_answered { OrderAnswer::Accepted } else { OrderAnswer::Unknown }
            }
        };
        self.orders.push(order);
        self.ordered_at.push(self.world.now);
        let next = self.world.event(Event::Ordered(key, answer));
        self.apply_effects(next);
    }

    /// Applies an operation to the store.
    fn store(&mut self, operation: Operation) -> Answer {
        if !self.has_store {
            return Answer::Away;
        }
        match operation {
            Operation::Get { name, .. } | Operation::Peek { name, .. } => {
                match self.objects.get(&name) {
                    Some(it) => Answer::Found { version: it.version, value: it.value.clone() },
                    None => Answer::Absent,
                }
            }
            Operation::Put { name, expected, value, .. } => {
                let current = self.objects.get(&name).map_or(0, |it| it.version);
                if current != expected {
                    return Answer::Conflict;
                }
                self.revision += 1;
                self.written_at = Some(self.world.now);
                let version = self.revision;
                self.objects.insert(name, Object { version, value });
                Answer::Written { version }
            }
        }
    }

    /// Handles the scheduled entries that are due.
    fn handle_due(&mut self) {
        let now = self.world.now;
        let (due, later) =
            std::mem::take(&mut self.scheduled).into_iter().partition(|it| it.0 <= now);
        self.scheduled = later;
        let mut due: Vec<_> = due;
        due.sort_by_key(|it| it.0);
        for (_, what) in due {
            let event = match what {
                Scheduled::Prefilled(call) => Event::Call(
                    call,
                    CallEvent::Answered(self.with_limit(call, prefilled("handle"))),
                ),
                Scheduled::Begin(call) => {
                    Event::Call(call, CallEvent::Began(self.with_limit(call, ran(200))))
                }
                Scheduled::End(call) => {
                    Event::Call(call, CallEvent::Answered(self.with_limit(call, ran(200))))
                }
                Scheduled::Changed(key, stage) => self.changed(key, stage),
            };
            let effects = self.world.event(event);
            self.apply_effects(effects);
        }
    }

    /// Adds the engine's limit to an answer.
    fn with_limit(&self, call: CallKey, answer: Answered) -> Answered {
        let engine = self.calls.get(&call);
        let rate = engine.and_then(|it| self.limits.get(it));
        let limit = rate.map_or(Reported::Nothing, |&it| Reported::Rate(it));
        Answered { statement: Statement { limit, ..answer.statement }, ..answer }
    }

    /// Returns the event that lists an engine with another stage.
    fn changed(&mut self, key: EngineKey, stage: Stage) -> Event {
        self.revision += 1;
        let engine = self.engines.iter_mut().find(|it| it.key == key).expect("a known engine");
        engine.stage = Some(stage);
        Event::Changed(vec![EngineChange::Put(engine.clone(), self.revision.into())])
    }
}

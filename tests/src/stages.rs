//! A box that changes engines' stages, with a store and engines made up by the test.

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
use hollyspoke_gateway::route::{Configuration, Route, RouteKind, Service, Staged};
use hollyspoke_gateway::statement::Statement;

use crate::gateway::{MODEL, World, configuration, engine, prefilled, ran, request, route};

/// How long an engine takes to change its stage.
pub const SWITCH: Duration = Duration::from_secs(6);

/// The tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 30;

/// How often the store is asked whether something has changed.
const STEP: Duration = Duration::from_millis(10);

/// One object of the store.
#[derive(Debug, Clone)]
struct Object {
    /// Its version.
    version: u64,
    /// Its value.
    value: String,
}

/// How the engines answer orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderBehaviour {
    /// They take them.
    Accepts,
    /// They refuse them.
    Refuses,
    /// They take them, and the answer is lost.
    LosesAnswers,
    /// They neither take them nor answer.
    Unreachable,
}

/// A box, the store and the engines.
#[derive(Debug)]
pub struct StageWorld {
    /// The box.
    pub world: World,
    /// Whether the store answers.
    pub has_store: bool,
    /// How the engines answer orders.
    pub order_behaviour: OrderBehaviour,
    /// How long a run takes.
    pub run: Duration,
    /// The tokens of the prompts that arrive now.
    tokens: u64,
    /// The orders given.
    pub orders: Vec<Order>,
    /// When each of them was given.
    pub ordered_at: Vec<Time>,
    /// When another box last took the lease.
    pub lease_taken_at: Option<Time>,
    /// When this box last wrote the lease.
    pub written_at: Option<Time>,
    /// The requests refused.
    pub refused: usize,
    /// The requests a second that engines in need name in their answers.
    pub limits: BTreeMap<EngineKey, f64>,
    /// Where each call was sent.
    calls: BTreeMap<CallKey, EngineKey>,
    /// The objects in the store.
    objects: BTreeMap<String, Object>,
    /// The engines with stages.
    engines: Vec<Engine>,
    /// The orders that each engine has taken.
    order_counts: BTreeMap<EngineKey, u64>,
    /// What is yet to happen, by time.
    scheduled: Vec<(Time, Scheduled)>,
    /// The store's revision.
    revision: u64,
}

/// What is yet to happen.
#[derive(Debug, Clone)]
enum Scheduled {
    /// A prompt has been read.
    Prefilled(CallKey),
    /// A stream begins.
    Begin(CallKey),
    /// A stream ends.
    End(CallKey),
    /// An engine has changed.
    Changed(EngineKey, Stage),
}

/// Returns the usual configuration with engines that can change their stage.
pub fn switchable(version: u64) -> Configuration {
    let staged = Staged {
        memory_tokens: 40_000,
        token_bytes: 163_840,
        link_mbps: 1_600_000.0,
        handle_ttl: Duration::from_millis(500),
        switch_duration: Some(SWITCH),
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
    /// Makes a box that knows engines that read and engines that generate.
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

    /// Returns how many engines read, as the store lists them.
    pub fn prefill_count(&self) -> usize {
        self.engines.iter().filter(|it| it.stage == Some(Stage::Prefill)).count()
    }

    /// Returns the version of the lease in the store.
    pub fn lease_version(&self) -> Option<u64> {
        self.objects.get("stages").map(|it| it.version)
    }

    /// Returns how many engines change their stage now.
    pub fn switching_count(&self) -> usize {
        self.scheduled.iter().filter(|it| matches!(it.1, Scheduled::Changed(..))).count()
    }

    /// Returns how many engines will read once all changes are done.
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

    /// Lets another box take the lease.
    pub fn take_lease(&mut self) {
        self.revision += 1;
        let object = Object { version: self.revision, value: "another box".to_owned() };
        self.objects.insert("stages".to_owned(), object);
        self.lease_taken_at = Some(self.world.now);
    }

    /// Has requests arrive at a rate for a time, and all that follows from them.
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

    /// Has the store's watches answer, if it is there.
    fn answer_watches(&mut self) {
        for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
            let contact = if self.has_store { Event::StoreAnswered } else { Event::StoreFailed };
            let effects = self.world.event(contact(kind));
            self.apply_effects(effects);
        }
    }

    /// Carries effects out.
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

    /// Has an engine take an order.
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

    /// Carries out an operation on the store.
    fn store(&mut self, operation: Operation) -> Answer {
        if !self.has_store {
            return Answer::Away;
        }
        match operation {
            Operation::Get { name, .. } => match self.objects.get(&name) {
                Some(it) => Answer::Found { version: it.version, value: it.value.clone() },
                None => Answer::Absent,
            },
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

    /// Has what is due happen.
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

    /// Adds to an answer what its engine takes.
    fn with_limit(&self, call: CallKey, answer: Answered) -> Answered {
        let engine = self.calls.get(&call);
        let rate = engine.and_then(|it| self.limits.get(it));
        let limit = rate.map_or(Reported::Nothing, |&it| Reported::Rate(it));
        Answered { statement: Statement { limit, ..answer.statement }, ..answer }
    }

    /// Lists an engine with another stage.
    fn changed(&mut self, key: EngineKey, stage: Stage) -> Event {
        self.revision += 1;
        let engine = self.engines.iter_mut().find(|it| it.key == key).expect("a known engine");
        engine.stage = Some(stage);
        Event::Changed(vec![EngineChange::Put(engine.clone(), self.revision.into())])
    }
}

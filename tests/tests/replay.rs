//! The reducers and the specification differ after a change to one of them.
//!
//! Random walks through the specification are drawn from fixed seeds, and each step is also applied
//! to the reducers. After each step both must agree on runs, claims and configuration versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::effect::{CallerReply, Effect};
use hollyspoke::event::{CallId, Event};
use hollyspoke::key::{Incarnation, Key};
use hollyspoke::member::{Heartbeat, State};
use hollyspoke::message::Message;
use hollyspoke::node::Node;
use hollyspoke::store::{Answer, Operation};
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::store::Store;
use hollyspoke_model::world::hold;
use hollyspoke_spec::search::{Specification, Step};
use hollyspoke_spec::{claims, configuration};

/// The number of walks through each specification.
const WALK_COUNT: u64 = 400;

/// The highest number of steps of a walk.
const MAX_STEPS: usize = 60;

/// Two boxes with their store, driven by the steps of the specification.
struct Boxes {
    /// The reducers of the boxes, absent after a crash.
    nodes: [Option<Node>; 2],
    /// The simulated time.
    now: Time,
    /// The simulated store.
    store: Store,
    /// The pending store operation of each box, with its number.
    operations: BTreeMap<usize, (u64, Operation)>,
    /// The store's answer that has yet to reach each box, with its number.
    answers: BTreeMap<usize, (u64, Answer)>,
    /// The write of each box that takes effect late.
    late: BTreeMap<usize, Operation>,
    /// The keys of forwarded requests, by the box that they are forwarded to.
    relays: BTreeMap<usize, Key>,
    /// The number of calls to the plain service so far.
    calls: u8,
    /// The number of the last connection.
    last_call: u64,
}

impl Boxes {
    /// Returns two boxes that know each other and have a site.
    fn new() -> Boxes {
        let mut boxes = Boxes {
            nodes: [Some(node(0)), Some(node(1))],
            now: Time::ZERO,
            store: Store::default(),
            operations: BTreeMap::new(),
            answers: BTreeMap::new(),
            late: BTreeMap::new(),
            relays: BTreeMap::new(),
            calls: 0,
            last_call: 0,
        };
        for me in 0..2 {
            let site = Versioned { version: 1, site: Plan::default().site() };
            boxes.step(me, Event::Site(Arc::new(site)));
            if let Some(other) = boxes.nodes[1 - me].as_ref().map(|it| it.entry().clone()) {
                boxes.step(me, Event::Seen(other));
            }
        }
        boxes
    }

    /// Applies an event to a box, and records its calls, forwarded keys and store operations.
    fn step(&mut self, me: usize, event: Event) {
        self.now = self.now + Duration::from_micros(10);
        let Some(node) = &mut self.nodes[me] else { return };
        for effect in node.step(self.now, event) {
            match effect {
                // Operations on leases are not part of the specification.
                Effect::Store { number, operation } if is_claim(&operation) => {
                    self.operations.insert(me, (number, operation));
                }
                Effect::Call { .. } => self.calls += 1,
                Effect::Reply { reply: CallerReply::Relay { key, .. }, .. } => {
                    self.relays.insert(1 - me, key);
                }
                _ => {}
            }
        }
    }

    /// Sends the request to a box; with a key, as one that the other box forwards.
    fn arrive(&mut self, me: usize, key: Option<Key>) {
        self.last_call += 1;
        let mut arrival = Box::new(hold(1));
        arrival.relayed = key.is_some();
        arrival.claim = key.is_none().then(|| "own".to_owned());
        arrival.key = key;
        self.step(me, Event::Arrive { call: CallId(self.last_call), arrival });
    }

    /// Applies a box's pending operation to the store, which answers.
    fn apply_operation(&mut self, me: usize) {
        let Some((number, operation)) = self.operations.remove(&me) else { return };
        let answer = self.store.apply(operation);
        self.answers.insert(me, (number, answer));
    }

    /// Leaves a box's pending operation without an answer. It may take effect at once, late or never.
    fn lose_answer(&mut self, me: usize, applied: bool, late: bool) {
        let Some((number, operation)) = self.operations.remove(&me) else { return };
        if applied {
            self.store.apply(operation);
        } else if late {
            self.late.insert(me, operation);
        }
        self.answers.insert(me, (number, Answer::Away));
    }

    /// Delivers the pending answer of the store to a box.
    fn answer(&mut self, me: usize) {
        let Some((number, answer)) = self.answers.remove(&me) else { return };
        self.step(me, Event::Store { number, answer });
    }

    /// Crashes a box, and announces this to the other one.
    fn crash(&mut self, me: usize) {
        self.nodes[me] = None;
        let from = incarnation(1 - me);
        let state = State::Left { successor: None };
        let beat = Heartbeat { incarnation: incarnation(me), counter: 1 << 40, epoch: 1, state };
        let message = Box::new(Message::Gossip { beats: vec![beat], site_version: 1 });
        self.step(1 - me, Event::Peer { from, message });
    }

    /// Returns the box that holds the claim of the request in the store.
    fn claim_holder(&mut self) -> Option<usize> {
        // The name of the object follows from the claim, and only one object exists.
        let value = (0..claim_object_count()).find_map(|shard| {
            let name = format!("{shard:02x}");
            match self.store.apply(Operation::Get { kind: "claims".to_owned(), name }) {
                Answer::Found { value, .. } => Some(value),
                _ => None,
            }
        })?;
        let key: Key = value.split_whitespace().nth(1)?.parse().ok()?;
        (0..2).find(|it| incarnation(*it) == key.home)
    }

    /// Applies a step of the specification of claims to the reducers.
    fn claim_step(&mut self, name: &str) {
        let me = usize::from(name.contains("box 1") || name.contains("(1"));
        if name.contains("gets the request") {
            self.arrive(me, None);
        } else if name.contains("reads again") {
            self.now = self.now + Duration::from_millis(210);
            self.step(me, Event::Tick);
        } else if name.contains("crashes") {
            self.crash(me);
        } else if name.starts_with("Get") {
            if name.contains("is lost") {
                self.lose_answer(me, false, false)
            } else {
                self.apply_operation(me)
            }
        } else if name.starts_with("PutAnswer")
            || name.starts_with("Found")
            || name.starts_with("Away")
        {
            self.answer(me);
        } else if name.starts_with("Put") {
            match (name.contains("is lost"), name.contains("is late")) {
                (true, _) => self.lose_answer(me, true, false),
                (_, true) => self.lose_answer(me, false, true),
                _ => self.apply_operation(me),
            }
        } else if name.starts_with("LatePut") {
            if let Some(operation) = self.late.remove(&me) {
                self.store.apply(operation);
            }
        } else if name.starts_with("Relay") {
            let key = self.relays.remove(&me);
            self.arrive(me, key);
        } else {
            panic!("step `{name}` is unknown to this test");
        }
    }
}

/// Returns whether an operation reads or writes claims.
fn is_claim(operation: &Operation) -> bool {
    let (Operation::Get { kind, .. } | Operation::Peek { kind, .. } | Operation::Put { kind, .. }) =
        operation;
    kind == "claims"
}

/// Returns the number of objects in the store among which claims are spread.
fn claim_object_count() -> u64 {
    hollyspoke::claim::OBJECT_COUNT
}

/// Returns the incarnation of a box by its number.
fn incarnation(number: usize) -> Incarnation {
    Incarnation(number as u64 + 1)
}

/// Returns a new box by its number.
fn node(number: usize) -> Node {
    Node::new(Time::ZERO, settings(number))
}

/// Walks through a specification at random, and passes each step to `each`; returns the number of
/// steps.
fn walk<S: Clone>(
    specification: &Specification<S>,
    seed: u64,
    mut each: impl FnMut(&Step<S>),
) -> usize {
    let mut state = specification.initial.clone();
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for step_count in 0..MAX_STEPS {
        let steps = (specification.steps)(&state);
        if steps.is_empty() {
            return step_count;
        }
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let step = &steps[(random % steps.len() as u64) as usize];
        each(step);
        state = step.next.clone();
    }
    MAX_STEPS
}

/// The reducers run a request more often than the specification, or another box holds its claim.
#[test]
fn claims_diverge() {
    let specification = claims::specification(None);
    let mut steps = 0;
    for seed in 1..=WALK_COUNT {
        let mut boxes = Boxes::new();
        let mut names = Vec::new();
        steps += walk(&specification, seed, |step| {
            names.push(step.name.clone());
            boxes.claim_step(&step.name);
            let state = &step.next;
            assert_eq!(boxes.calls, state.runs, "runs after {names:#?}");
            assert_eq!(boxes.claim_holder(), state.claim.1, "claim after {names:#?}");
        });
    }
    println!("{steps} steps of {WALK_COUNT} walks agree");
}

/// A box of the reducers has another configuration version in force than the specification says.
#[test]
fn configuration_diverges() {
    let specification = configuration::specification(None);
    let mut steps = 0;
    for seed in 1..=WALK_COUNT {
        let mut nodes = [node(0), node(1)];
        let mut now = Time::ZERO;
        let mut names = Vec::new();
        steps += walk(&specification, seed, |step| {
            names.push(step.name.clone());
            now = now + Duration::from_micros(10);
            if let Some((to, version)) = site_delivery(&step.name) {
                let site = Plan::default().site();
                let message = Message::Site(Arc::new(Versioned { version, site }));
                let from = incarnation(1 - to);
                nodes[to].step(now, Event::Peer { from, message: Box::new(message) });
            }
            if step.name.contains("starts anew") {
                nodes[1] = node(1);
            }
            for (number, node) in nodes.iter().enumerate() {
                let expected = u64::from(step.next.versions[number]);
                assert_eq!(node.site().version, expected, "box {number} after {names:#?}");
            }
        });
    }
    println!("{steps} steps of {WALK_COUNT} walks agree");
}

/// Returns the box and the version of a step `Site(<box>, <version>)`, unless the message is lost.
fn site_delivery(name: &str) -> Option<(usize, u64)> {
    let rest = name.strip_prefix("Site(")?;
    let (numbers, after) = rest.split_once(')')?;
    if after.contains("is lost") {
        return None;
    }
    let (to, version) = numbers.split_once(", ")?;
    Some((to.parse().ok()?, version.parse().ok()?))
}

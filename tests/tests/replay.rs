//! The specification's steps are replayed against the reducer, so that the two can't drift apart.
//!
//! Walks through the specification are drawn from a fixed seed; each step is done to the reducers
//! too, and after it both must agree on what has run, what is bound, and what is in force.

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

/// The walks of each part.
const WALKS: u64 = 400;

/// The most steps of a walk.
const MOST_STEPS: usize = 60;

/// Two boxes with their store, done to as the specification says.
struct Boxes {
    /// The reducers, while they live.
    nodes: [Option<Node>; 2],
    /// The time.
    now: Time,
    /// The store.
    store: Store,
    /// The operation that each box has under way.
    operations: BTreeMap<usize, (u64, Operation)>,
    /// The answer that is on its way to each box.
    answers: BTreeMap<usize, (u64, Answer)>,
    /// The write of each box that takes effect late.
    late: BTreeMap<usize, Operation>,
    /// The keys under which a box passes the request on to another.
    relays: BTreeMap<usize, Key>,
    /// Calls of the plain service so far.
    calls: u8,
    /// The number of the last connection.
    last_call: u64,
}

impl Boxes {
    /// Makes two boxes that know each other and have a site.
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

    /// Feeds a box an event, and keeps what it asks for.
    fn step(&mut self, me: usize, event: Event) {
        self.now = self.now + Duration::from_micros(10);
        let Some(node) = &mut self.nodes[me] else { return };
        for effect in node.step(self.now, event) {
            match effect {
                // Leases are a matter of their own.
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

    /// Sends a box the request.
    fn arrive(&mut self, me: usize, key: Option<Key>) {
        self.last_call += 1;
        let mut arrival = Box::new(hold(1));
        arrival.relayed = key.is_some();
        arrival.claim = key.is_none().then(|| "own".to_owned());
        arrival.key = key;
        self.step(me, Event::Arrive { call: CallId(self.last_call), arrival });
    }

    /// The store works out a box's operation and answers.
    fn operate(&mut self, me: usize) {
        let Some((number, operation)) = self.operations.remove(&me) else { return };
        let answer = self.store.apply(operation);
        self.answers.insert(me, (number, answer));
    }

    /// A box's operation gets no answer; a write may take effect at once, late, or was a read.
    fn lose(&mut self, me: usize, applied: bool, late: bool) {
        let Some((number, operation)) = self.operations.remove(&me) else { return };
        if applied {
            self.store.apply(operation);
        } else if late {
            self.late.insert(me, operation);
        }
        self.answers.insert(me, (number, Answer::Away));
    }

    /// The answer on its way reaches its box.
    fn answer(&mut self, me: usize) {
        let Some((number, answer)) = self.answers.remove(&me) else { return };
        self.step(me, Event::Store { number, answer });
    }

    /// A box dies, and the other one knows.
    fn crash(&mut self, me: usize) {
        self.nodes[me] = None;
        let from = incarnation(1 - me);
        let state = State::Left { successor: None };
        let beat = Heartbeat { incarnation: incarnation(me), counter: 1 << 40, epoch: 1, state };
        let message = Box::new(Message::Gossip { beats: vec![beat], site_version: 1 });
        self.step(1 - me, Event::Peer { from, message });
    }

    /// Gives the box to which the request is bound in the store.
    fn bound(&mut self) -> Option<usize> {
        // The object's name follows from the claim: the one object there is holds it.
        let value = (0..claims_shards()).find_map(|shard| {
            let name = format!("{shard:02x}");
            match self.store.apply(Operation::Get { kind: "claims".to_owned(), name }) {
                Answer::Found { value, .. } => Some(value),
                _ => None,
            }
        })?;
        let key: Key = value.split_whitespace().nth(1)?.parse().ok()?;
        (0..2).find(|it| incarnation(*it) == key.home)
    }

    /// Does to the reducers what a step of the claims' specification says.
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
            if name.contains("is lost") { self.lose(me, false, false) } else { self.operate(me) }
        } else if name.starts_with("PutAnswer")
            || name.starts_with("Found")
            || name.starts_with("Away")
        {
            self.answer(me);
        } else if name.starts_with("Put") {
            match (name.contains("is lost"), name.contains("is late")) {
                (true, _) => self.lose(me, true, false),
                (_, true) => self.lose(me, false, true),
                _ => self.operate(me),
            }
        } else if name.starts_with("LatePut") {
            if let Some(operation) = self.late.remove(&me) {
                self.store.apply(operation);
            }
        } else if name.starts_with("Relay") {
            let key = self.relays.remove(&me);
            self.arrive(me, key);
        } else {
            panic!("the step `{name}` is not known here");
        }
    }
}

/// Tells whether an operation is one on claims.
fn is_claim(operation: &Operation) -> bool {
    let (Operation::Get { kind, .. } | Operation::Put { kind, .. }) = operation;
    kind == "claims"
}

/// Gives the number of the claims' objects.
fn claims_shards() -> u64 {
    hollyspoke::claim::OBJECT_COUNT
}

/// Gives a box's incarnation.
fn incarnation(number: usize) -> Incarnation {
    Incarnation(number as u64 + 1)
}

/// Makes a box.
fn node(number: usize) -> Node {
    Node::new(Time::ZERO, settings(number))
}

/// Walks through a specification: `choose` gives a number below its argument.
fn walk<S: Clone>(
    specification: &Specification<S>,
    seed: u64,
    mut each: impl FnMut(&Step<S>),
) -> usize {
    let mut state = specification.initial.clone();
    let mut chance = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    for taken in 0..MOST_STEPS {
        let steps = (specification.steps)(&state);
        if steps.is_empty() {
            return taken;
        }
        chance ^= chance << 13;
        chance ^= chance >> 7;
        chance ^= chance << 17;
        let step = &steps[(chance % steps.len() as u64) as usize];
        each(step);
        state = step.next.clone();
    }
    MOST_STEPS
}

/// The claims: both agree on how often the request has run and to whom it is bound.
#[test]
fn claims_agree() {
    let specification = claims::specification(None);
    let mut steps = 0;
    for seed in 1..=WALKS {
        let mut boxes = Boxes::new();
        let mut names = Vec::new();
        steps += walk(&specification, seed, |step| {
            names.push(step.name.clone());
            boxes.claim_step(&step.name);
            let state = &step.next;
            assert_eq!(boxes.calls, state.runs, "runs after {names:#?}");
            assert_eq!(boxes.bound(), state.claim.1, "claim after {names:#?}");
        });
    }
    println!("{steps} steps of {WALKS} walks agree");
}

/// The configuration: both agree on the version in force at each box.
#[test]
fn configuration_agrees() {
    let specification = configuration::specification(None);
    let mut steps = 0;
    for seed in 1..=WALKS {
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
    println!("{steps} steps of {WALKS} walks agree");
}

/// Reads the step that brings a version to a box: `Site(<box>, <version>)`, unless it is lost.
fn site_delivery(name: &str) -> Option<(usize, u64)> {
    let rest = name.strip_prefix("Site(")?;
    let (numbers, after) = rest.split_once(')')?;
    if after.contains("is lost") {
        return None;
    }
    let (to, version) = numbers.split_once(", ")?;
    Some((to.parse().ok()?, version.parse().ok()?))
}

//! Whatever the order of events: each event id is forwarded once, at most one call runs a request,
//! and every copy is used or freed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Send, Task};
use hollyspoke_gateway::engine::Engine;
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::migration::Answer;
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_tests::gateway::{World, prefilled, ran, rejected, request};
use hollyspoke_tests::migration::{copy_of, leaving, world};
use proptest::prelude::*;

/// Something that happens to the stream.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The engine forwards events.
    Forward(u64),
    /// The stream of the active call begins.
    Begin,
    /// The older of two active calls begins or forwards an event.
    GoOn,
    /// The connection of the active call closes.
    Break,
    /// The engine of the active call could not be reached, or turns it away.
    Reject(bool),
    /// The stream is complete.
    Complete,
    /// The oldest transfer is answered.
    Answer(u8),
    /// The engine of the active call shuts down.
    Leave,
    /// The client disconnects.
    Disconnect,
    /// Time passes, in milliseconds.
    Pass(u64),
}

/// Draws a step. Those that end a stream are rare, so that most moves go on to their end.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => (1u64..4).prop_map(Step::Forward),
        30 => Just(Step::Begin),
        10 => Just(Step::GoOn),
        6 => Just(Step::Break),
        4 => any::<bool>().prop_map(Step::Reject),
        2 => Just(Step::Complete),
        40 => (0u8..14).prop_map(Step::Answer),
        20 => Just(Step::Leave),
        1 => Just(Step::Disconnect),
        30 => (10u64..400).prop_map(Step::Pass),
    ]
}

/// The engines' side of one request.
#[derive(Debug)]
struct Model {
    /// The box.
    world: World,
    /// The request.
    request: RequestKey,
    /// The active calls that may run the request: one, or two if it may be repeated.
    active: BTreeMap<CallKey, Send>,
    /// The largest number of active calls.
    max_active: usize,
    /// The calls that have begun.
    begun: BTreeSet<CallKey>,
    /// The id of the last event forwarded.
    last: u64,
    /// The transfers that await an answer, the oldest first.
    transfers: Vec<CallKey>,
    /// The copies that are neither used nor freed.
    copies: BTreeSet<String>,
    /// Whether the request has ended.
    has_ended: bool,
}

impl Model {
    /// Starts a stream.
    fn new(route: &str) -> Model {
        let mut world = world(Features { migration: true, ..Features::NONE });
        let (request_key, prefill) = world.first_call(request(route));
        let effects = world.call(prefill.call, CallEvent::Answered(prefilled("prompt")));
        let mut model = Model {
            world,
            request: request_key,
            active: BTreeMap::new(),
            max_active: if route == "resumed" { 2 } else { 1 },
            begun: BTreeSet::new(),
            last: 0,
            transfers: Vec::new(),
            copies: BTreeSet::new(),
            has_ended: false,
        };
        model.apply(effects);
        model
    }

    /// Applies the box's effects to the engines.
    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => self.start(send),
                Effect::Cancel(call) => _ = self.active.remove(&call),
                Effect::Transfer(transfer) => {
                    assert!(self.active.contains_key(&transfer.call), "the stream has ended");
                    self.transfers.push(transfer.call);
                }
                Effect::Free(source) => _ = self.copies.remove(&source.handle),
                Effect::Finish(_) | Effect::Abort(_) | Effect::Refuse(..) => self.has_ended = true,
                _ => {}
            }
        }
    }

    /// Starts a call.
    fn start(&mut self, send: Send) {
        let is_allowed = self.active.len() < self.max_active;
        assert!(is_allowed, "{:?} already run the request", self.active);
        assert!(!self.has_ended);
        if send.task != Task::Prefill {
            assert_eq!(send.last_event.unwrap_or(0), self.last, "events lost or sent twice");
            self.active.insert(send.call, send);
        }
    }

    /// Passes an event of the newest active call to the box.
    fn call(&mut self, event: CallEvent) {
        if let Some(&call) = self.active.keys().next_back() {
            self.call_of(call, event);
        }
    }

    /// Passes an event of an active call to the box. No other call is left beside one that goes on.
    fn call_of(&mut self, call: CallKey, event: CallEvent) {
        let goes_on = matches!(event, CallEvent::Began(_) | CallEvent::Forwarded(_));
        if !goes_on {
            self.active.remove(&call);
        }
        let effects = self.world.call(call, event);
        self.apply(effects);
        assert!(!goes_on || self.active.len() <= 1, "{:?} go on", self.active);
    }

    /// Lets the older of two active calls go on.
    fn go_on(&mut self) {
        let Some((&call, send)) = self.active.first_key_value() else { return };
        if self.active.len() < 2 {
            return;
        }
        if !self.begun.contains(&call) {
            return self.begin(&send.clone());
        }
        self.last += 1;
        self.call_of(call, CallEvent::Forwarded(Some(self.last)));
    }

    /// Returns the newest active call, with whether it has begun.
    fn current(&self) -> Option<(&Send, bool)> {
        let (call, send) = self.active.last_key_value()?;
        Some((send, self.begun.contains(call)))
    }

    /// Records that a call has begun, which uses its copy.
    fn begin(&mut self, send: &Send) {
        let copy = copy_of(send).map(|it| it.handle.clone());
        self.begun.insert(send.call);
        copy.map(|it| self.copies.remove(&it));
        self.call_of(send.call, CallEvent::Began(ran(200)));
    }

    /// Answers the oldest transfer.
    fn answer(&mut self, kind: u8) {
        if self.transfers.is_empty() {
            return;
        }
        let call = self.transfers.remove(0);
        let handle = format!("copy-{}", call.0);
        let answer = match kind {
            0 => Answer::NotRunning,
            1 => Answer::InProgress,
            2 => Answer::Refused { handle: None },
            3 => Answer::Refused { handle: Some(handle) },
            4 => Answer::NotConnected,
            5 => Answer::Unknown,
            _ => Answer::Copied { handle, events: self.last },
        };
        if let Answer::Copied { handle, .. } | Answer::Refused { handle: Some(handle) } = &answer {
            self.copies.insert(handle.clone());
        }
        let effects = self.world.event(Event::Transferred(call, answer));
        self.apply(effects);
    }

    /// Applies one step.
    fn step(&mut self, step: Step) {
        let has_begun = self.current().is_some_and(|it| it.1);
        match step {
            Step::Forward(count) if has_begun => {
                self.last += count;
                self.call(CallEvent::Forwarded(Some(self.last)));
            }
            Step::Begin if !has_begun => {
                if let Some(send) = self.current().map(|it| it.0.clone()) {
                    self.begin(&send);
                }
            }
            Step::GoOn => self.go_on(),
            Step::Break => self.call(CallEvent::Broken),
            Step::Reject(true) if !has_begun => self.call(CallEvent::NotConnected),
            Step::Reject(false) if !has_begun => self.call(CallEvent::Answered(rejected())),
            Step::Complete if has_begun => self.call(CallEvent::Answered(ran(200))),
            Step::Answer(kind) => self.answer(kind),
            Step::Leave => self.leave(),
            Step::Disconnect if !self.has_ended => self.disconnect(),
            Step::Pass(millis) => {
                let effects = self.world.advance(Duration::from_millis(millis));
                self.apply(effects);
            }
            _ => {}
        }
    }

    /// Lets the engine of the active call shut down.
    fn leave(&mut self) {
        let engine: Option<Arc<Engine>> = self.current().map(|it| it.0.engine.clone());
        if let Some(engine) = engine {
            let effects = self.world.event(leaving(&engine));
            self.apply(effects);
        }
    }

    /// Disconnects the client.
    fn disconnect(&mut self) {
        let effects = self.world.event(Event::ClientDisconnected(self.request));
        self.apply(effects);
        self.has_ended = true;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    #[test]
    fn event_order_breaks_move(
        route in prop_oneof![Just("once"), Just("resumed")],
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(route);
        for step in steps {
            model.step(step);
        }
        if !model.has_ended {
            model.disconnect();
        }
        while !model.transfers.is_empty() {
            model.answer(0);
        }
        prop_assert_eq!(&model.copies, &BTreeSet::new());
        prop_assert!(model.active.is_empty());
        prop_assert_eq!(model.world.gateway.own_work(), vec![]);
    }
}

//! Guarantees of the gateway under random orders of events: a request that must run once runs at most
//! once, one reported as not run has not run, each request ends once, and no load remains on the
//! books at the end.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Refusal, Send, Task};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_tests::gateway::{World, prefilled, ran, rejected, request};
use proptest::prelude::*;

/// A random step.
#[derive(Debug, Clone)]
enum Step {
    /// A request arrives on a route.
    Arrive(&'static str),
    /// One of the running calls has an outcome.
    Call(prop::sample::Index, CallOutcome),
    /// A client disconnects.
    Disconnect(prop::sample::Index),
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    /// The connection does not open.
    NotConnected,
    /// The engine rejects it.
    Rejected,
    /// Another incarnation has the address.
    Replaced,
    /// It continues as asked: prefilled, begun, an event forwarded, or answered whole.
    Succeeded,
    /// The engine fails it.
    Failed,
    /// The connection breaks after it was sent.
    ConnectionBroken,
}

/// What engines and the client have observed of a request.
#[derive(Debug, Default)]
struct RequestRecord {
    /// The route.
    route: &'static str,
    /// Calls through which an engine has run it, or may have.
    runs: u32,
    /// The number of final answers.
    final_answers: u32,
    /// Whether the client has disconnected.
    is_disconnected: bool,
}

/// The simulated box and the record of its requests.
#[derive(Default)]
struct Checker {
    /// The simulated box.
    world: World,
    /// The running calls in the order of their sending, each with the number of forwarded events.
    calls: Vec<(Send, u64)>,
    /// The record of each request.
    records: HashMap<RequestKey, RequestRecord>,
}

/// Returns a strategy for steps.
fn step() -> impl Strategy<Value = Step> {
    let route = prop::sample::select(vec!["safe", "unsafe", "once", "resumed"]);
    let outcome = prop::sample::select(vec![
        CallOutcome::Succeeded,
        CallOutcome::Succeeded,
        CallOutcome::Succeeded,
        CallOutcome::NotConnected,
        CallOutcome::Rejected,
        CallOutcome::Replaced,
        CallOutcome::Failed,
        CallOutcome::ConnectionBroken,
    ]);
    prop_oneof![
        3 => route.prop_map(Step::Arrive),
        8 => (any::<prop::sample::Index>(), outcome).prop_map(|(index, outcome)| Step::Call(index, outcome)),
        1 => any::<prop::sample::Index>().prop_map(Step::Disconnect),
        2 => (1u64..3000).prop_map(Step::Wait),
    ]
}

impl Checker {
    /// Applies a step.
    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(route) => {
                let (request_key, effects) = self.world.arrive(request(route));
                self.records
                    .insert(request_key, RequestRecord { route, ..RequestRecord::default() });
                self.check_effects(effects, None);
            }
            Step::Call(index, outcome) if !self.calls.is_empty() => {
                let index = index.index(self.calls.len());
                self.call(index, outcome);
            }
            Step::Disconnect(index) if !self.calls.is_empty() => {
                let request_key = self.calls[index.index(self.calls.len())].0.request;
                self.records.get_mut(&request_key).expect("it arrived").is_disconnected = true;
                let effects = self.world.event(Event::ClientDisconnected(request_key));
                self.check_effects(effects, Some(request_key));
            }
            Step::Call(..) | Step::Disconnect(_) => {}
            Step::Wait(millis) => {
                let effects = self.world.advance(Duration::from_millis(millis));
                self.check_effects(effects, None);
            }
        }
    }

    /// Applies an outcome to a call.
    fn call(&mut self, index: usize, outcome: CallOutcome) {
        let (send, forwarded_count) = self.calls[index].clone();
        let moved = Answer { execution: Execution::Replaced, ..ran(421) };
        let event = match (outcome, forwarded_count, &send.task) {
            (CallOutcome::NotConnected, 0, _) => CallEvent::NotConnected,
            (CallOutcome::Rejected, 0, _) => CallEvent::Answered(rejected()),
            (CallOutcome::Replaced, 0, _) => CallEvent::Answered(moved),
            (CallOutcome::Succeeded, _, Task::Prefill) => CallEvent::Answered(prefilled("h")),
            (CallOutcome::Failed, 0, _) => CallEvent::Answered(ran(500)),
            (CallOutcome::Succeeded, 0, Task::Decode(_)) => CallEvent::Began(ran(200)),
            (CallOutcome::Succeeded, 1..=2, Task::Decode(_)) => {
                CallEvent::Forwarded(Some(forwarded_count))
            }
            (CallOutcome::Succeeded, _, _) => CallEvent::Answered(ran(200)),
            (_, _, _) => CallEvent::Broken,
        };
        let is_first = forwarded_count == 0;
        let may_have_run = !matches!(
            &event,
            CallEvent::NotConnected
                | CallEvent::Answered(Answer {
                    execution: Execution::Refused | Execution::Replaced,
                    ..
                })
        );
        if is_first && may_have_run && send.task != Task::Prefill {
            self.records.get_mut(&send.request).expect("it arrived").runs += 1;
        }
        let goes_on = matches!(event, CallEvent::Began(_) | CallEvent::Forwarded(_));
        if goes_on {
            self.calls[index].1 += 1;
        } else {
            self.calls.remove(index);
        }
        let speaks = goes_on || matches!(&event, CallEvent::Answered(it) if it.status == 200);
        let effects = self.world.call(send.call, event);
        self.check_effects(effects, speaks.then_some(send.request));
        let others = self.calls.iter().filter(|it| it.0.request == send.request).count();
        assert!(!goes_on || others <= 1, "another call beside one that goes on: {send:?}");
    }

    /// Records effects, and checks the guarantees. Calls of a request are only cancelled if another
    /// one has just spoken, if its client has left (both: `settled`), or if it ends.
    fn check_effects(&mut self, effects: Vec<Effect>, settled: Option<RequestKey>) {
        let ended: Vec<_> = effects.iter().filter_map(ended_request).collect();
        for effect in effects {
            match effect {
                Effect::Send(send) => self.sent(send),
                Effect::Cancel(call) => {
                    let of = self.calls.iter().find(|it| it.0.call == call).map(|it| it.0.request);
                    let is_right = of.is_none_or(|it| settled == Some(it) || ended.contains(&it));
                    assert!(is_right, "cancelled before another one has spoken: {call:?}");
                    self.cancelled(call);
                }
                Effect::Deliver(request_key, call) => {
                    let is_stream = self.calls.iter().any(|it| it.0.call == call);
                    if !is_stream {
                        self.ended(request_key);
                    }
                }
                Effect::Refuse(request_key, refusal) => {
                    let record = &self.records[&request_key];
                    if matches!(refusal, Refusal::NotRun(..)) {
                        assert_eq!(record.runs, 0, "it ran: {record:?}");
                        let is_under_way = self
                            .calls
                            .iter()
                            .any(|it| it.0.request == request_key && it.0.task != Task::Prefill);
                        assert!(!is_under_way, "it may run yet: {record:?}");
                    }
                    self.ended(request_key);
                }
                Effect::Abort(request_key) | Effect::Finish(request_key) => self.ended(request_key),
                _ => {}
            }
        }
    }

    /// Records a call that was sent.
    fn sent(&mut self, send: Send) {
        let record = &self.records[&send.request];
        if send.task != Task::Prefill && matches!(record.route, "unsafe" | "once") {
            assert_eq!(record.runs, 0, "it runs again: {record:?}");
        }
        let others: Vec<_> = self.calls.iter().filter(|it| it.0.request == send.request).collect();
        let may_run = others.iter().filter(|it| it.0.task != Task::Prefill).count();
        let is_idempotent = matches!(record.route, "safe" | "resumed");
        assert!(may_run <= usize::from(is_idempotent), "too many calls at once: {send:?}");
        assert!(others.len() <= 2, "too many calls at once: {send:?}");
        self.calls.push((send, 0));
    }

    /// Records a cancelled call: it may have run.
    fn cancelled(&mut self, call: CallKey) {
        let Some(index) = self.calls.iter().position(|it| it.0.call == call) else { return };
        let (send, forwarded_count) = self.calls.remove(index);
        if forwarded_count == 0 && send.task != Task::Prefill {
            self.records.get_mut(&send.request).expect("it arrived").runs += 1;
        }
    }

    /// Records a final answer.
    fn ended(&mut self, request_key: RequestKey) {
        let record = self.records.get_mut(&request_key).expect("it arrived");
        record.final_answers += 1;
        assert_eq!(record.final_answers, 1, "it ends again: {record:?}");
    }
}

/// Returns the request that an effect ends.
fn ended_request(effect: &Effect) -> Option<RequestKey> {
    match effect {
        Effect::Refuse(key, _) | Effect::Abort(key) | Effect::Finish(key) => Some(*key),
        Effect::Deliver(key, _) => Some(*key),
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn request_guarantees_broken(steps in prop::collection::vec(step(), 1..120)) {
        let mut checker = Checker::default();
        for step in steps {
            checker.apply(step);
        }
        checker.apply(Step::Wait(30_000));
        for record in checker.records.values() {
            prop_assert!(record.final_answers == 1 || record.is_disconnected, "it never ended: {record:?}");
        }
        prop_assert_eq!(checker.world.gateway.in_flight_count(), 0);
        prop_assert!(checker.calls.is_empty());
        prop_assert!(checker.world.gateway.own_work().is_empty());
    }
}

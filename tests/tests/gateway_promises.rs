//! Promises of the gateway under every order of events that a test draws: what must run once runs
//! at most once, what is said not to have run has not, each request ends once, and no work is left
//! in the books at the end.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Refusal, Send, Task};
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_tests::gateway::{World, prefilled, ran, rejected, request};
use proptest::prelude::*;

/// One drawn step.
#[derive(Debug, Clone)]
enum Step {
    /// A request arrives on a route.
    Arrive(&'static str),
    /// Something happens to one of the calls under way.
    Call(prop::sample::Index, Fate),
    /// A client leaves.
    Leave(prop::sample::Index),
    /// Time passes, in milliseconds.
    Pass(u64),
}

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// The connection does not open.
    Unsent,
    /// The engine turns it away.
    TurnedAway,
    /// Another incarnation has the address.
    Moved,
    /// It goes on as asked: read, begun, an event passed, or answered whole.
    Good,
    /// The engine fails it.
    Failed,
    /// The connection breaks after it was sent.
    Broken,
}

/// What the engines and the client have seen of one request.
#[derive(Debug, Default)]
struct Seen {
    /// The route.
    route: &'static str,
    /// Calls through which an engine has run it, or may have.
    runs: u32,
    /// Final answers.
    ends: u32,
    /// Whether the client left.
    is_left: bool,
}

/// The world and what was seen of it.
#[derive(Default)]
struct Watch {
    /// The reducer.
    world: World,
    /// The calls under way, in the order in which they were sent, and the events passed.
    calls: Vec<(Send, u64)>,
    /// The requests.
    seen: HashMap<RequestKey, Seen>,
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
    let route = prop::sample::select(vec!["safe", "unsafe", "once", "resumed"]);
    let fate = prop::sample::select(vec![
        Fate::Good,
        Fate::Good,
        Fate::Good,
        Fate::Unsent,
        Fate::TurnedAway,
        Fate::Moved,
        Fate::Failed,
        Fate::Broken,
    ]);
    prop_oneof![
        3 => route.prop_map(Step::Arrive),
        8 => (any::<prop::sample::Index>(), fate).prop_map(|(index, fate)| Step::Call(index, fate)),
        1 => any::<prop::sample::Index>().prop_map(Step::Leave),
        2 => (1u64..3000).prop_map(Step::Pass),
    ]
}

impl Watch {
    /// Takes a step.
    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(route) => {
                let (flight, effects) = self.world.arrive(request(route));
                self.seen.insert(flight, Seen { route, ..Seen::default() });
                self.watch(effects);
            }
            Step::Call(index, fate) if !self.calls.is_empty() => {
                let index = index.index(self.calls.len());
                self.call(index, fate);
            }
            Step::Leave(index) if !self.calls.is_empty() => {
                let flight = self.calls[index.index(self.calls.len())].0.request;
                self.seen.get_mut(&flight).expect("it arrived").is_left = true;
                let effects = self.world.event(Event::ClientDisconnected(flight));
                self.watch(effects);
            }
            Step::Call(..) | Step::Leave(_) => {}
            Step::Pass(millis) => {
                let effects = self.world.advance(Duration::from_millis(millis));
                self.watch(effects);
            }
        }
    }

    /// Has something happen to a call.
    fn call(&mut self, index: usize, fate: Fate) {
        let (send, passed) = self.calls[index].clone();
        let moved = Answer { execution: Execution::Replaced, ..ran(421) };
        let event = match (fate, passed, &send.task) {
            (Fate::Unsent, 0, _) => CallEvent::NotConnected,
            (Fate::TurnedAway, 0, _) => CallEvent::Answered(rejected()),
            (Fate::Moved, 0, _) => CallEvent::Answered(moved),
            (Fate::Good, _, Task::Prefill) => CallEvent::Answered(prefilled("h")),
            (Fate::Failed, 0, _) => CallEvent::Answered(ran(500)),
            (Fate::Good, 0, Task::Decode(_)) => CallEvent::Began(ran(200)),
            (Fate::Good, 1..=2, Task::Decode(_)) => CallEvent::Forwarded(Some(passed)),
            (Fate::Good, _, _) => CallEvent::Answered(ran(200)),
            (_, _, _) => CallEvent::Broken,
        };
        let is_first = passed == 0;
        let may_have_run = !matches!(
            &event,
            CallEvent::NotConnected
                | CallEvent::Answered(Answer {
                    execution: Execution::Refused | Execution::Replaced,
                    ..
                })
        );
        if is_first && may_have_run && send.task != Task::Prefill {
            self.seen.get_mut(&send.request).expect("it arrived").runs += 1;
        }
        let goes_on = matches!(event, CallEvent::Began(_) | CallEvent::Forwarded(_));
        if goes_on {
            self.calls[index].1 += 1;
        } else {
            self.calls.remove(index);
        }
        let effects = self.world.call(send.call, event);
        self.watch(effects);
    }

    /// Takes note of effects, and checks what they promise.
    fn watch(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => self.sent(send),
                Effect::Cancel(call) => self.cancelled(call),
                Effect::Deliver(flight, call) => {
                    let is_stream = self.calls.iter().any(|it| it.0.call == call);
                    if !is_stream {
                        self.ended(flight);
                    }
                }
                Effect::Refuse(flight, refusal) => {
                    let seen = &self.seen[&flight];
                    if matches!(refusal, Refusal::NotRun(..)) {
                        assert_eq!(seen.runs, 0, "it ran: {seen:?}");
                        let is_under_way = self
                            .calls
                            .iter()
                            .any(|it| it.0.request == flight && it.0.task != Task::Prefill);
                        assert!(!is_under_way, "it may run yet: {seen:?}");
                    }
                    self.ended(flight);
                }
                Effect::Abort(flight) | Effect::Finish(flight) => self.ended(flight),
                _ => {}
            }
        }
    }

    /// Takes note of a call that was sent.
    fn sent(&mut self, send: Send) {
        let seen = &self.seen[&send.request];
        if send.task != Task::Prefill && matches!(seen.route, "unsafe" | "once") {
            assert_eq!(seen.runs, 0, "it runs again: {seen:?}");
        }
        let is_doubled = self.calls.iter().any(|it| it.0.request == send.request);
        assert!(!is_doubled, "two calls at once: {send:?}");
        self.calls.push((send, 0));
    }

    /// Takes note of a call that was dropped: what was sent may have run.
    fn cancelled(&mut self, call: CallKey) {
        let Some(index) = self.calls.iter().position(|it| it.0.call == call) else { return };
        let (send, passed) = self.calls.remove(index);
        if passed == 0 && send.task != Task::Prefill {
            self.seen.get_mut(&send.request).expect("it arrived").runs += 1;
        }
    }

    /// Takes note of a final answer.
    fn ended(&mut self, flight: RequestKey) {
        let seen = self.seen.get_mut(&flight).expect("it arrived");
        seen.ends += 1;
        assert_eq!(seen.ends, 1, "it ends again: {seen:?}");
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
    fn promises_hold(steps in prop::collection::vec(step(), 1..120)) {
        let mut watch = Watch::default();
        for step in steps {
            watch.take(step);
        }
        watch.take(Step::Pass(30_000));
        for seen in watch.seen.values() {
            prop_assert!(seen.ends == 1 || seen.is_left, "it never ended: {seen:?}");
        }
        prop_assert_eq!(watch.world.gateway.in_flight_count(), 0);
        prop_assert!(watch.calls.is_empty());
        prop_assert!(watch.world.gateway.own_work().is_empty());
    }
}

//! Runs that break long after they began: the request is not what crashes their engines.

use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineChange, Stage};
use hollyspoke_gateway::event::{CallEvent, Event, Probe};
use hollyspoke_gateway::request::CallKey;
use hollyspoke_tests::gateway::{MODEL, World, engine, only_send, prefilled, ran, request};

/// The interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// The number of events of a stream that is written for a second.
const LONG_COUNT: u64 = 5;

/// The number of crashes after which a request is held back.
const MAX_CRASHES: usize = 3;

/// A box and the incarnations of its engines.
struct Engines {
    /// The box.
    world: World,
    /// The number of crashes so far.
    crash_count: u64,
}

impl Engines {
    /// Creates a box whose engines report when they were started.
    fn new() -> Engines {
        let mut engines = Engines { world: World::new(), crash_count: 0 };
        for number in [11, 12] {
            engines.put(engine(number, MODEL, Some(Stage::Prefill)));
        }
        for number in [21, 22, 23, 24] {
            engines.put(engine(number, MODEL, Some(Stage::Decode)));
        }
        engines
    }

    /// Lists an engine that has just started.
    fn put(&mut self, engine: Engine) -> Vec<Effect> {
        self.crash_count += 1;
        let engine = Engine { started_at: Some(self.crash_count), ..engine };
        let change = EngineChange::Put(engine, (100 + self.crash_count).into());
        self.world.event(Event::Changed(vec![change]))
    }

    /// Begins a run of the stream whose client doesn't resume it, which is the same each time. Returns
    /// the refusal if there is one.
    fn begin(&mut self) -> Result<Send, Refusal> {
        let (_, effects) = self.world.arrive(request("once"));
        let refusal = effects.iter().find_map(|it| match it {
            Effect::Refuse(_, refusal) => Some(*refusal),
            _ => None,
        });
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        let mut send = only_send(&effects);
        if send.task == Task::Prefill {
            let effects = self.world.call(send.call, CallEvent::Answered(prefilled("h")));
            send = only_send(&effects);
        }
        self.world.call(send.call, CallEvent::Began(ran(200)));
        Ok(send)
    }

    /// Lets the engine of a call write events.
    fn write(&mut self, call: CallKey, count: u64) {
        for id in 1..=count {
            if id > 1 {
                self.world.advance(EVENT_INTERVAL);
            }
            self.world.call(call, CallEvent::Forwarded(Some(id)));
        }
    }

    /// Crashes the engine of a call, which is back at once.
    fn crash(&mut self, send: &Send) {
        self.world.call(send.call, CallEvent::Broken);
        self.world.event(Event::Probed(send.engine.key, Probe::NotConnected));
        self.put((*send.engine).clone());
        self.world.advance(Duration::from_millis(100));
    }

    /// Begins runs whose engines crash as they begin.
    fn crash_at_onset(&mut self, count: usize) {
        for _ in 0..count {
            let send = self.begin().expect("the request is sent");
            self.crash(&send);
        }
    }
}

/// A stream that had been written for a second broke at three crashing engines, one after the other,
/// and was refused as if it had crashed them.
#[test]
fn written_stream_refused() {
    let mut engines = Engines::new();
    for round in 0..2 * MAX_CRASHES {
        let begun = engines.begin();
        let send = begun.unwrap_or_else(|it| panic!("round {round}: {it:?}"));
        engines.write(send.call, LONG_COUNT);
        engines.crash(&send);
    }
}

/// A run that was being written for a second left the crashes that had come before it in force, until
/// its answer was complete.
#[test]
fn survivor_ignored() {
    let mut engines = Engines::new();
    engines.crash_at_onset(MAX_CRASHES - 1);
    let survivor = engines.begin().expect("the request is sent");
    engines.write(survivor.call, LONG_COUNT);
    engines.crash_at_onset(MAX_CRASHES - 1);
    assert!(engines.begin().is_ok());
}

/// A request that crashes engines as they begin to run it must be held back, also if they have written
/// its first events, for less than a second.
#[test]
fn onset_crash_overlooked() {
    for event_count in 0..LONG_COUNT {
        let mut engines = Engines::new();
        for _ in 0..MAX_CRASHES {
            let send = engines.begin().expect("the request is sent");
            engines.write(send.call, event_count);
            engines.crash(&send);
        }
        let refusal = engines.begin().expect_err("the request is held back");
        assert!(matches!(refusal, Refusal::Quarantined(_)), "{event_count} events: {refusal:?}");
    }
}

/// Events that had waited for the client, or for a box that was paused, don't show how long their
/// engine has lived.
#[test]
fn late_events_taken_for_survival() {
    let mut engines = Engines::new();
    for _ in 0..MAX_CRASHES {
        let send = engines.begin().expect("the request is sent");
        engines.write(send.call, 1);
        engines.world.now = engines.world.now + Duration::from_secs(2);
        engines.world.event(Event::Paused(Duration::from_secs(2)));
        engines.world.call(send.call, CallEvent::Forwarded(Some(2)));
        engines.world.advance(Duration::from_millis(1500));
        engines.world.call(send.call, CallEvent::ForwardedLate(Some(3)));
        engines.crash(&send);
    }
    let refusal = engines.begin().expect_err("the request is held back");
    assert!(matches!(refusal, Refusal::Quarantined(_)), "{refusal:?}");
}

/// A break that is seen long after an engine's last event doesn't show that it lived until then.
#[test]
fn silence_taken_for_survival() {
    let mut engines = Engines::new();
    for _ in 0..MAX_CRASHES {
        let send = engines.begin().expect("the request is sent");
        engines.write(send.call, 1);
        engines.world.advance(Duration::from_millis(1100));
        engines.crash(&send);
    }
    let refusal = engines.begin().expect_err("the request is held back");
    assert!(matches!(refusal, Refusal::Quarantined(_)), "{refusal:?}");
}

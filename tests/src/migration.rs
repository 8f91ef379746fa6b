//! Streams of a box whose engines support moves and backups.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::effect::{Effect, Prompt, Send, Source, Task};
use hollyspoke_gateway::engine::{Engine, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::gateway::{Gateway, Settings};
use hollyspoke_gateway::migration::{Answer, Transfer};
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_gateway::route::{Configuration, Operations, Service, Staged};
use hollyspoke_gateway::statement::Statement;

use crate::gateway::{
    MODEL, World, configuration, engine, engines, only_send, ran, request, settings,
};

/// The time in which the retry budget fills up.
const BUDGET_FILL_TIME: Duration = Duration::from_secs(10);

/// Returns the usual configuration with engines that support moves and backups.
fn supporting_configuration() -> Configuration {
    let usual = configuration(1);
    let operations = Operations { can_migrate: true, can_back_up: true, max_reservation: None };
    let support = |it: &Service| Service {
        staged: it.staged.map(|staged| Staged { operations, ..staged }),
        ..it.clone()
    };
    let services = usual.services().map(support).collect();
    let routes = usual.routes().map(|it| (**it).clone()).collect();
    Configuration::new(1, usual.limits, routes, services)
}

/// Returns a box with some mechanisms and three decode engines (21, 22, 23) that support moves and
/// backups.
pub fn world(features: Features) -> World {
    let gateway = Gateway::new(Settings { features, ..settings(1) });
    let mut world = World::of(gateway);
    world.event(Event::Configured(Arc::new(supporting_configuration())));
    let decoder = engine(23, MODEL, Some(Stage::Decode));
    let engines = engines().into_iter().chain([decoder]).collect();
    world.event(Event::Listed(engines, 10.into()));
    world.advance(BUDGET_FILL_TIME);
    world
}

/// Returns a box that moves streams.
pub fn moving_world() -> World {
    world(Features { migration: true, ..Features::NONE })
}

/// Returns what an engine says when it shuts down.
pub fn leaving(engine: &Engine) -> Event {
    Event::Statement(engine.key, Statement { is_leaving: true, ..Statement::default() })
}

/// A stream that is being moved.
#[derive(Debug)]
pub struct MovingStream {
    /// The box.
    pub world: World,
    /// The request.
    pub request: RequestKey,
    /// The call at the source.
    pub first: Send,
    /// The address of the engine that receives the first copy.
    pub target: SocketAddr,
}

impl MovingStream {
    /// Starts a stream on a route, up to the order to copy it while it runs.
    pub fn copying(route: &str) -> MovingStream {
        let mut world = moving_world();
        let (request_key, first) = world.begin_stream(request(route));
        world.call(first.call, CallEvent::Forwarded(Some(4)));
        let effects = world.event(leaving(&first.engine));
        let transfer = only_transfer(&effects);
        assert!(!transfer.is_final);
        MovingStream { world, request: request_key, first, target: transfer.target }
    }

    /// Starts a stream on a route, up to the order to stop it.
    pub fn stopping(route: &str) -> MovingStream {
        let mut stream = MovingStream::copying(route);
        let effects = stream.answer(copied());
        assert!(only_transfer(&effects).is_final);
        stream
    }

    /// Starts a stream on a route, up to the call with which it continues.
    pub fn continuing(route: &str) -> (MovingStream, Send) {
        let mut stream = MovingStream::stopping(route);
        assert_eq!(stream.close(), []);
        let second = only_send(&stream.answer(copied()));
        (stream, second)
    }

    /// Passes the engine's answer to the latest transfer to the box.
    pub fn answer(&mut self, answer: Answer) -> Vec<Effect> {
        self.world.event(Event::Transferred(self.first.call, answer))
    }

    /// Closes the source's connection without the end of the stream.
    pub fn close(&mut self) -> Vec<Effect> {
        self.world.call(self.first.call, CallEvent::Broken)
    }

    /// Asserts that the stream still runs at its source, to its end.
    pub fn assert_runs_on(&mut self) {
        let call = self.first.call;
        assert_eq!(self.world.call(call, CallEvent::Forwarded(Some(5))), []);
        let effects = self.world.call(call, CallEvent::Answered(ran(200)));
        assert!(effects.contains(&Effect::Finish(self.request)), "{effects:?}");
    }
}

/// Returns the answer to a successful transfer.
pub fn copied() -> Answer {
    Answer::Copied { handle: "copy".to_owned(), events: 4 }
}

/// Returns the only transfer among effects.
pub fn only_transfer(effects: &[Effect]) -> Transfer {
    let found = transfers(effects);
    assert_eq!(found.len(), 1, "one transfer among {effects:?}");
    found[0].clone()
}

/// Returns the transfers among effects.
pub fn transfers(effects: &[Effect]) -> Vec<Transfer> {
    let transfer = |it: &Effect| match it {
        Effect::Transfer(transfer) => Some(transfer.clone()),
        _ => None,
    };
    effects.iter().filter_map(transfer).collect()
}

/// Returns the copies freed among effects.
pub fn freed(effects: &[Effect]) -> Vec<Source> {
    let source = |it: &Effect| match it {
        Effect::Free(source) => Some(source.clone()),
        _ => None,
    };
    effects.iter().filter_map(source).collect()
}

/// Returns the copy that a call continues from.
pub fn copy_of(send: &Send) -> Option<&Source> {
    match &send.task {
        Task::Decode(Prompt::Copied(source)) => Some(source),
        _ => None,
    }
}

/// Returns the calls cancelled among effects.
pub fn cancelled(effects: &[Effect]) -> Vec<CallKey> {
    let call = |it: &Effect| match it {
        Effect::Cancel(call) => Some(*call),
        _ => None,
    };
    effects.iter().filter_map(call).collect()
}

//! Requests with the same prompt on routes of different services. A service's engines serve only the
//! requests that the configuration sends to it, whatever prompts they cache.

use std::sync::Arc;

use hollyspoke_gateway::effect::{Prompt, Send, Task};
use hollyspoke_gateway::engine::{Engine, Stage};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_gateway::message::{Message, StoreView};
use hollyspoke_gateway::prompt::{CachedPrompt, PromptKey};
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::route::{Configuration, Route, RouteKind, Service};
use hollyspoke_tests::gateway::{
    MODEL, World, configuration, engine, engines, heartbeat, only_send, prefilled, ran, request,
    route,
};

/// The second service with stages.
const OTHER: &str = "other";

/// Returns a configuration in which the route `resumed` leads to a service, and `other` to
/// [`OTHER`].
fn leading_to(version: u64, service: &str) -> Configuration {
    let usual = configuration(version);
    let resumable = |name: &str, service: &str| Route {
        resumable: true,
        ..route(name, RouteKind::Stream, service)
    };
    let routes = vec![resumable("resumed", service), resumable("other", OTHER)];
    let model = usual.service(MODEL).expect("it is configured");
    let other = Service { name: OTHER.into(), ..model.clone() };
    let services = vec![model.clone(), other];
    Configuration::new(version, usual.limits, routes, services)
}

/// Returns the usual engines, and a prefill engine (31) and two decode engines (41, 42) of [`OTHER`].
fn all_engines() -> Vec<Engine> {
    let others = [
        engine(31, OTHER, Some(Stage::Prefill)),
        engine(41, OTHER, Some(Stage::Decode)),
        engine(42, OTHER, Some(Stage::Decode)),
    ];
    engines().into_iter().chain(others).collect()
}

/// Returns a world with both services.
fn world() -> World {
    let mut world = World::new();
    world.event(Event::Configured(Arc::new(leading_to(20, MODEL))));
    world.event(Event::Listed(all_engines(), 20.into()));
    world
}

/// Returns a request with the session's prompt.
fn in_session(route: &str) -> Request {
    Request { prompt: Some(PromptKey(7)), ..request(route) }
}

/// Runs a request until its stream begins; returns its prefill and decode calls.
fn run(world: &mut World, route: &str) -> [Send; 2] {
    let (_, prefill) = world.first_call(in_session(route));
    assert_eq!(prefill.task, Task::Prefill);
    let decode = only_send(&world.call(prefill.call, CallEvent::Answered(prefilled("h"))));
    world.call(decode.call, CallEvent::Began(ran(200)));
    [prefill, decode]
}

/// Both the engine that prefilled the session's prompt and the one that decoded it cache it.
#[test]
fn prompt_at_other_service_used() {
    let mut world = world();
    run(&mut world, "resumed");
    let calls = run(&mut world, "other");
    assert!(calls.iter().all(|it| &*it.engine.service == OTHER), "{calls:?}");
}

/// An engine of another service decodes the session's next request after its route was moved.
#[test]
fn moved_route_keeps_service() {
    let mut world = world();
    run(&mut world, "resumed");
    world.event(Event::Configured(Arc::new(leading_to(21, OTHER))));
    let calls = run(&mut world, "resumed");
    assert!(calls.iter().all(|it| &*it.engine.service == OTHER), "{calls:?}");
}

/// An engine imports a prompt from one of another service, whose model differs.
#[test]
fn prompt_imported_from_other_service() {
    for number in [11, 21] {
        let mut world = world();
        let engine = engine(number, MODEL, None).key;
        let cached_prompts = vec![CachedPrompt { prompt: PromptKey(7), engine }];
        let message = Message { cached_prompts, ..heartbeat(2, 1, StoreView::default()) };
        world.event(Event::Received(message));
        let (_, call) = world.first_call(in_session("other"));
        assert_eq!(&*call.engine.service, OTHER);
        assert_eq!(call.task, Task::Prefill);
    }
}

/// A prompt that the own service caches is still used.
#[test]
fn own_cached_prompt_forgotten() {
    let mut world = world();
    let [_, own] = run(&mut world, "other");
    let (_, again) = world.first_call(in_session("other"));
    assert_eq!(again.task, Task::Decode(Prompt::Cached));
    assert_eq!(again.engine.id, own.engine.id);
}

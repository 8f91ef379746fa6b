//! Selection of the route and service of a request, and of the configuration in force.

use std::sync::Arc;

use hollyspoke_gateway::effect::{Effect, LogEvent, NotRunReason, Refusal};
use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::request::{Request, RequestKey};
use hollyspoke_gateway::route::{Route, RouteKind, Split};
use hollyspoke_tests::gateway::{
    HOST, MODEL, PLAIN, World, configuration_of, engines, only_refusal, only_send, request, route,
};

/// Returns a route with the given prefix.
fn with_prefix(name: &str, prefix: &str) -> Route {
    Route { prefix: prefix.into(), ..route(name, RouteKind::Safe, PLAIN) }
}

#[test]
fn shorter_prefix_selected() {
    let routes = vec![with_prefix("a", "/"), with_prefix("b", "/x/"), with_prefix("c", "/x/y/")];
    let configuration = configuration_of(1, routes);
    let found = |path: &str| configuration.route(HOST, path).map(|it| it.name.to_string());
    assert_eq!(found("/x/y/z").as_deref(), Some("c"));
    assert_eq!(found("/x/y/").as_deref(), Some("c"));
    assert_eq!(found("/x/y").as_deref(), Some("b"));
    assert_eq!(found("/x").as_deref(), Some("a"));
    assert!(configuration.route("other.example", "/x/").is_none());
}

#[test]
fn split_weight_ignored() {
    let splits = vec![
        Split { service: PLAIN.into(), weight: 90 },
        Split { service: MODEL.into(), weight: 10 },
    ];
    let route = Route { splits, ..route("a", RouteKind::Safe, PLAIN) };
    let to_model = (0..1000).filter(|&it| &**route.service(it) == MODEL).count();
    assert_eq!(to_model, 100);
}

/// A stream that its client takes up goes to the service that began it, and new ones by the weights.
#[test]
fn resumed_stream_changes_service() {
    let splits = vec![
        Split { service: PLAIN.into(), weight: 70 },
        Split { service: MODEL.into(), weight: 30 },
    ];
    let route = Route { splits, resumable: true, ..route("a", RouteKind::Stream, PLAIN) };
    let mut to_model = 0;
    for number in 0..1000 {
        let first = Request { id: format!("first-{number}").into(), ..request("a") };
        let resuming = Request {
            id: format!("second-{number}").into(),
            resumed_id: Some(first.id.clone()),
            last_event: Some(3),
            ..request("a")
        };
        let service = |it, random| route.service(route.service_draw(it, random)).clone();
        assert_eq!(service(&first, 0), service(&resuming, 85));
        to_model += usize::from(*service(&first, 0) == *MODEL);
    }
    assert!((250..350).contains(&to_model), "{to_model}");
}

#[test]
fn unknown_route_accepted() {
    let mut world = World::new();
    let (_, effects) = world.arrive(request("nowhere"));
    assert_eq!(only_refusal(&effects), Refusal::NoRoute);
}

#[test]
fn request_without_configuration() {
    let mut world = World::unconfigured();
    let (_, effects) = world.arrive(request("safe"));
    let Refusal::NotRun(_, reason, _) = only_refusal(&effects) else { panic!("{effects:?}") };
    assert_eq!(reason, NotRunReason::NoConfiguration);
    assert!(!world.gateway.is_ready());
}

/// A request that is refused on arrival was missing in the log.
#[test]
fn refusal_not_logged() {
    let mut world = World::unconfigured();
    let arrived = |key| Event::Arrived(RequestKey(key), request("nowhere"));
    let logged = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|it| match it {
            Effect::Log(LogEvent::Ended { outcome, .. }) => Some(outcome),
            _ => None,
        })
    };
    let now = world.now;
    let first = world.gateway.step(now, arrived(1));
    assert_eq!(logged(first), Some("refused: no configuration"));
    let mut world = World::new();
    let second = world.gateway.step(now, arrived(2));
    assert_eq!(logged(second), Some("no route"));
}

#[test]
fn ready_without_configuration() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    assert!(!world.gateway.is_ready());
    world.event(Event::Configured(Arc::new(configuration_of(1, Vec::new()))));
    assert!(world.gateway.is_ready());
}

#[test]
fn older_configuration_applied() {
    let mut world = World::unconfigured();
    world.event(Event::Listed(engines(), 10.into()));
    let newer = vec![route("safe", RouteKind::Safe, PLAIN)];
    world.event(Event::Configured(Arc::new(configuration_of(7, newer))));
    world.event(Event::Configured(Arc::new(configuration_of(6, Vec::new()))));
    assert_eq!(world.gateway.version(), Some(7));
    let (_, effects) = world.arrive(request("safe"));
    only_send(&effects);
}

#[test]
fn stale_list_applied() {
    let mut world = World::new();
    world.event(Event::Listed(Vec::new(), 9.into()));
    let (_, effects) = world.arrive(request("safe"));
    only_send(&effects);
}

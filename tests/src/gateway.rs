//! A box's gateway without input and output, with engines that the test simulates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::Tolerance;
use hollyspoke::store::{Answer as Answered, Operation};
use hollyspoke::time::Time;
use hollyspoke_gateway::budget::Bound;
use hollyspoke_gateway::effect::{Effect, Refusal, Send, Task};
use hollyspoke_gateway::engine::{Engine, EngineKey, Stage};
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::event::{Answer, CallEvent, Event, Execution};
use hollyspoke_gateway::features::Features;
use hollyspoke_gateway::framing::Framing;
use hollyspoke_gateway::gateway::{CASES, Gateway, STREAMS, Settings, Sharing, VERSIONS};
use hollyspoke_gateway::message::{DataCentreKey, Format, Message, Readiness, StoreView, Usage};
use hollyspoke_gateway::region::{AllowedRegions, Regions};
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};
use hollyspoke_gateway::route::{
    Configuration, Limits, Operations, Route, RouteKind, Service, Split, Staged,
};
use hollyspoke_gateway::signature::Content;
use hollyspoke_gateway::statement::Statement;
use hollyspoke_gateway::version::SoftwareVersion;

/// The service of plain requests.
pub const PLAIN: &str = "orders";

/// The service of engines with stages.
pub const MODEL: &str = "model";

/// The host of all routes.
pub const HOST: &str = "host.example";

/// The register of versions where all engines have always had version `v1`.
const ONLY_VERSIONS: &str = r#"{"era":0,"services":{"model":{"version":"v1","since":0},"orders":{"version":"v1","since":0}}}"#;

/// The memory of an engine with stages, in tokens.
pub const MEMORY: u64 = 60_000;

/// A gateway and the clock that the test advances.
#[derive(Debug)]
pub struct World {
    /// The gateway.
    pub gateway: Gateway,
    /// The current time.
    pub now: Time,
    /// The number of the next request.
    pub next_request: u64,
    /// The engines that the gateway has probed, in order.
    pub probed: Vec<EngineKey>,
}

/// Returns the settings of a box by its number.
pub fn settings(number: u8) -> Settings {
    Settings {
        data_centre: "north".into(),
        regions: Regions::default(),
        peer: SocketAddr::from(([10, 0, 0, number], 7000)),
        front: SocketAddr::from(([10, 0, 0, number], 8000)),
        proxy: Some(SocketAddr::from(([10, 0, 0, number], 9000))),
        retry_bound: Bound { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) },
        tolerance: Tolerance { window: Duration::from_secs(8), overrun: 0.1, slack: 0.0 },
        sharing: Sharing::Totals,
        boxes: None,
        grace: Duration::from_secs(8),
        order_pause: Duration::from_secs(3),
        drain: Duration::from_secs(2),
        features: Features::NONE,
        incarnation: u64::from(number),
        unix_start: 1_790_000_000,
        is_first_start: false,
    }
}

/// Returns a route with the prefix `/NAME/`.
pub fn route(name: &str, kind: RouteKind, service: &str) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        kind,
        timeout: Duration::from_secs(14),
        target_latency: Duration::from_millis(900),
        priority: 1,
        splits: vec![Split { service: service.into(), weight: 1 }],
        is_auth_exempt: false,
        max_attempts: 2,
        resumable: false,
        max_gap: Some(Duration::from_millis(300)),
        allowed_regions: AllowedRegions::default(),
    }
}

/// Returns a configuration with the usual services and the routes `safe`, `unsafe`, `once` and
/// `resumed`.
pub fn configuration(version: u64) -> Configuration {
    let resumed = Route { resumable: true, ..route("resumed", RouteKind::Stream, MODEL) };
    let once = Route { max_attempts: 1, ..route("once", RouteKind::Stream, MODEL) };
    let routes = vec![
        route("safe", RouteKind::Safe, PLAIN),
        route("unsafe", RouteKind::Unsafe, PLAIN),
        once,
        resumed,
    ];
    configuration_of(version, routes)
}

/// Returns a configuration with the usual services and the given routes.
pub fn configuration_of(version: u64, routes: Vec<Route>) -> Configuration {
    let staged = Staged {
        memory_tokens: MEMORY,
        token_bytes: 18_432,
        link_mbps: 350_000.0,
        handle_ttl: Duration::from_millis(500),
        switch_duration: None,
        operations: Operations::default(),
    };
    let limits = Limits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = vec![
        Service { name: PLAIN.into(), staged: None, cold_rate: None },
        Service { name: MODEL.into(), staged: Some(staged), cold_rate: None },
    ];
    Configuration::new(version, limits, routes, services)
}

/// Returns an engine; its number is the last byte of its address.
pub fn engine(number: u8, service: &str, stage: Option<Stage>) -> Engine {
    let id = format!("engine-{number}");
    Engine {
        key: EngineKey::of(&id),
        id: id.into(),
        started_at: None,
        service: service.into(),
        address: SocketAddr::from(([10, 1, 0, number], 9000)),
        data_centre: "north".into(),
        stage,
        slots: 6,
        is_draining: false,
        cold_left_ms: 0,
        version: Some(SoftwareVersion::new("v1")),
    }
}

/// Returns two plain engines (1, 2), two prefill engines (11, 12) and two decode engines (21, 22).
pub fn engines() -> Vec<Engine> {
    vec![
        engine(1, PLAIN, None),
        engine(2, PLAIN, None),
        engine(11, MODEL, Some(Stage::Prefill)),
        engine(12, MODEL, Some(Stage::Prefill)),
        engine(21, MODEL, Some(Stage::Decode)),
        engine(22, MODEL, Some(Stage::Decode)),
    ]
}

/// Returns a request on a route of [`configuration`].
pub fn request(route: &str) -> Request {
    Request {
        id: format!("request-{route}").into(),
        host: HOST.to_owned(),
        path: format!("/{route}/x"),
        deadline: Some(Duration::from_secs(14)),
        prompt_tokens: Some(5000),
        max_answer_tokens: Some(1000),
        expected_answer_tokens: Some(800),
        prompt: None,
        shared_parts: [].into(),
        last_event: None,
        resumed_id: None,
        credential: None,
        body_bytes: 5000,
        content: Content::of("POST", HOST, &format!("/{route}/x"), b""),
        is_proxied: false,
    }
}

/// Returns an answer that proves that the request ran.
pub fn ran(status: u16) -> Answer {
    Answer {
        status,
        execution: Execution::Ran,
        framing: Framing::Marked,
        statement: Statement::default(),
        handle: None,
    }
}

/// Returns the same with a body that only the close of its connection delimits.
pub fn ran_unmarked(status: u16) -> Answer {
    Answer { framing: Framing::Close, ..ran(status) }
}

/// Returns an answer that proves that the request did not run.
pub fn rejected() -> Answer {
    Answer { execution: Execution::Refused, ..ran(503) }
}

/// Returns the answer to a prefill call.
pub fn prefilled(handle: &str) -> Answer {
    Answer { handle: Some(handle.to_owned()), ..ran(200) }
}

impl Default for World {
    fn default() -> World {
        World::new()
    }
}

impl World {
    /// Creates a box with the usual configuration and engines.
    pub fn new() -> World {
        let mut world = World::unconfigured();
        world.event(Event::Configured(Arc::new(configuration(1))));
        world.event(Event::Listed(engines(), 10.into()));
        world
    }

    /// Creates a box with a number, without configuration and engines.
    pub fn numbered(number: u8) -> World {
        World::of(Gateway::new(settings(number)))
    }

    /// Creates a world around a gateway that has handled no event.
    pub fn of(gateway: Gateway) -> World {
        World { gateway, now: Time::from_millis(1000), next_request: 0, probed: Vec::new() }
    }

    /// Creates box 1 without configuration and engines.
    pub fn unconfigured() -> World {
        World::numbered(1)
    }

    /// Passes an event to the gateway and returns the effects, without log entries and without work
    /// that is independent of requests: announcements, probes, the store's quarantine cases, versions,
    /// streams and watches, and queries for cached prompts. The store tells that all engines have had
    /// one version so far, and keeps no streams.
    pub fn event(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = self.gateway.step(self.now, event);
        if let Some(number) = register_read(&effects) {
            let value = ONLY_VERSIONS.to_owned();
            let answer = Event::Stored(number, Answered::Found { version: 1, value });
            effects.extend(self.gateway.step(self.now, answer));
        }
        for number in archive_reads(&effects) {
            let answer = Event::Stored(number, Answered::Absent);
            effects.extend(self.gateway.step(self.now, answer));
        }
        self.probed.extend(effects.iter().filter_map(|it| match it {
            Effect::Probe(engine) => Some(engine.key),
            _ => None,
        }));
        effects.retain(|it| {
            let is_log = matches!(it, Effect::Log(_));
            let is_background = match it {
                Effect::Store(_, Operation::Get { kind, .. } | Operation::Put { kind, .. }) => {
                    kind == CASES || kind == VERSIONS || kind == STREAMS
                }
                Effect::Announce(..)
                | Effect::Notify(..)
                | Effect::WatchStore(_)
                | Effect::QueryCachedPrompts(_)
                | Effect::Probe(_)
                | Effect::ProbeBox(_) => true,
                _ => false,
            };
            !is_log && !is_background
        });
        effects
    }

    /// Passes a new request to the gateway.
    pub fn arrive(&mut self, request: Request) -> (RequestKey, Vec<Effect>) {
        let request_key = RequestKey(self.next_request);
        self.next_request += 1;
        (request_key, self.event(Event::Arrived(request_key, request)))
    }

    /// Passes a new request to the gateway and returns the request's first call.
    pub fn first_call(&mut self, request: Request) -> (RequestKey, Send) {
        let (request_key, effects) = self.arrive(request);
        (request_key, only_send(&effects))
    }

    /// Passes an event of a call to the gateway.
    pub fn call(&mut self, call: CallKey, event: CallEvent) -> Vec<Effect> {
        self.event(Event::Call(call, event))
    }

    /// Starts a stream up to the beginning of its answer, and returns the decode call.
    pub fn begin_stream(&mut self, request: Request) -> (RequestKey, Send) {
        let (request_key, prefill) = self.first_call(request);
        assert_eq!(prefill.task, Task::Prefill);
        let effects = self.call(prefill.call, CallEvent::Answered(prefilled("h")));
        let decode = only_send(&effects);
        let effects = self.call(decode.call, CallEvent::Began(ran(200)));
        assert_eq!(effects, [Effect::Deliver(request_key, decode.call)]);
        (request_key, decode)
    }

    /// Advances the clock, with a tick whenever the gateway requires one.
    pub fn advance(&mut self, duration: Duration) -> Vec<Effect> {
        let end = self.now + duration;
        let mut effects = Vec::new();
        while self.now < end {
            let due = self.gateway.next_due();
            self.now = due.max(self.now + Duration::from_micros(1)).min(end);
            effects.extend(self.event(Event::Tick));
        }
        effects
    }
}

/// Returns the number of the operation by which the gateway reads the register of versions.
fn register_read(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|it| match it {
        Effect::Store(number, Operation::Get { kind, .. }) if kind == VERSIONS => Some(*number),
        _ => None,
    })
}

/// Returns the numbers of the operations by which the gateway reads the versions of streams.
fn archive_reads(effects: &[Effect]) -> Vec<u64> {
    let reads = effects.iter().filter_map(|it| match it {
        Effect::Store(number, Operation::Get { kind, .. }) if kind == STREAMS => Some(*number),
        _ => None,
    });
    reads.collect()
}

/// Returns the only call among effects.
pub fn only_send(effects: &[Effect]) -> Send {
    let sends: Vec<_> = effects
        .iter()
        .filter_map(|it| match it {
            Effect::Send(send) => Some(send.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(sends.len(), 1, "one call among {effects:?}");
    sends.into_iter().next().expect("there is one")
}

/// Returns the only refusal among effects.
pub fn only_refusal(effects: &[Effect]) -> Refusal {
    let mut refusals = effects.iter().filter_map(|it| match it {
        Effect::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    });
    let first = refusals.next().unwrap_or_else(|| panic!("no refusal among {effects:?}"));
    assert!(refusals.next().is_none(), "more than one refusal among {effects:?}");
    first
}

/// Returns another box's heartbeat with its view of the store.
pub fn heartbeat(number: u8, sequence: u64, store_view: StoreView) -> Message {
    let Settings { peer, front, .. } = settings(number);
    Message {
        incarnation: 1,
        sequence,
        sender: peer,
        front,
        data_centre: DataCentreKey::of("north"),
        is_relayed: false,
        readiness: Readiness::Ready,
        loads: Vec::new(),
        is_whole: true,
        cadence: None,
        store_view,
        evacuation: Evacuation::default(),
        demand: Vec::new(),
        usage: Usage::default(),
        stage_switches: Vec::new(),
        replaced: Vec::new(),
        unreachable: Vec::new(),
        crashes: Vec::new(),
        rejections: Vec::new(),
        engine_update: None,
        cached_prompts: Vec::new(),
        peers: Vec::new(),
        era: 0,
        format: Some(Format::Eras),
        extension: None,
    }
}

//! Announcements and snapshots of boxes with all fields set. The bytes that an older version wrote
//! for them are recorded, and tests compare them with what is read and written now.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use hollyspoke::quota::{Account, Limit};
use hollyspoke_gateway::cadence::Cadence;
use hollyspoke_gateway::credential::KeyDigest;
use hollyspoke_gateway::customer::{Customer, CustomerKey, Unit};
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey, Stage};
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::message::{
    DataCentreKey, Demand, EngineUpdate, Load, Message, PeerAddress, Readiness, Rejection,
    StageSwitch, StoreView, Usage,
};
use hollyspoke_gateway::prompt::{CachedPrompt, PromptKey};
use hollyspoke_gateway::quarantine::{Announcement, Crash, Proof};
use hollyspoke_gateway::region::AllowedRegions;
use hollyspoke_gateway::request::Request;
use hollyspoke_gateway::route::{Configuration, RouteKind, Service};
use hollyspoke_gateway::signature::Signature;
use hollyspoke_gateway::snapshot::{ConfigurationParts, Listing, Snapshot, SnapshotRequest};

use crate::gateway::{
    MODEL, PLAIN, configuration, configuration_of, engine, heartbeat, request, route,
};

/// Returns a box's address.
fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns the signature of a request.
fn signature() -> Signature {
    let Request { content, .. } = request("safe");
    Signature::of(content, Some("north-desk"), None)
}

/// Returns an engine with all optional fields set.
fn full_engine() -> Engine {
    let stage = Some(Stage::Decode);
    Engine {
        started_at: Some(1_790_000_000_123),
        is_draining: true,
        cold_left_ms: 2500,
        version: None,
        ..engine(21, MODEL, stage)
    }
}

/// Returns a heartbeat with all fields set.
pub fn whole() -> Message {
    let load = Load { prefill_tokens: 5000, calls: 3, held_tokens: 70_000 };
    let account =
        |level| Account { customer: CustomerKey::of("north-desk"), total: 123_456, level };
    let crash = Crash {
        engine: EngineKey::of("engine-21"),
        born: Some(1_790_000_000_123),
        proof: Proof::Proven,
    };
    let announcement = Announcement {
        signature: signature(),
        epoch: 2,
        crashes: [Some(crash), None, None],
        at: 1_790_000_100,
    };
    Message {
        incarnation: 0xfeed_beef_0000_0001,
        readiness: Readiness::Stopping,
        is_relayed: true,
        loads: vec![(EngineKey::of("engine-21"), load), (EngineKey(7), Load::default())],
        cadence: Some(Cadence { local_interval_ms: 800, remote_interval_ms: 3200 }),
        evacuation: Evacuation {
            revision: 90.into(),
            data_centres: BTreeSet::from([Arc::from("north"), Arc::from("west")]),
        },
        demand: vec![(
            77,
            Demand { prefill_tokens_per_s: 9000, held_tokens: 60_000, requests: 44 },
        )],
        usage: Usage {
            accounts: vec![account(None), account(Some(-9))],
            is_complete: true,
            peak_boxes: 985,
        },
        stage_switches: vec![StageSwitch {
            engine: EngineKey(9),
            stage: Stage::Prefill,
            duration_ms: 3000,
        }],
        replaced: vec![EngineKey(1)],
        unreachable: vec![EngineKey(2), EngineKey(3)],
        crashes: vec![announcement],
        rejections: vec![Rejection { engine: EngineKey(4), held_tokens: 5271 }],
        engine_update: Some(Box::new(EngineUpdate {
            since: 80.into(),
            changes: vec![
                EngineChange::Put(full_engine(), 81.into()),
                EngineChange::Left("engine-1".into(), 82.into()),
            ],
        })),
        cached_prompts: vec![CachedPrompt { prompt: PromptKey::of("part"), engine: EngineKey(5) }],
        peers: vec![PeerAddress { address: address(9), data_centre: DataCentreKey::of("west") }],
        ..heartbeat(2, 300, StoreView { version: 12, revision: 99.into(), has_lost_store: true })
    }
}

/// Returns an announcement that has only a change.
pub fn partial() -> Message {
    let load = Load { prefill_tokens: 0, calls: 1, held_tokens: 0 };
    Message {
        is_whole: false,
        loads: vec![(EngineKey::of("engine-1"), load)],
        ..heartbeat(3, 4, StoreView { version: 1, revision: 10.into(), has_lost_store: false })
    }
}

/// Returns the request of a box that already has a list of engines.
pub fn snapshot_request() -> SnapshotRequest {
    SnapshotRequest { version: 11, revision: Some(70.into()) }
}

/// Returns a snapshot with a whole configuration and a whole list of engines.
pub fn snapshot() -> Snapshot {
    let homes = AllowedRegions::new(vec![Arc::from("south")]);
    let customer = Customer {
        key: CustomerKey::of("north-desk"),
        name: "north-desk".into(),
        priority: Some(2),
        unit: Unit::Token { plain: 40 },
        limit: Some(Limit { rate: 120.5, burst: 800.0 }),
        allowed_regions: homes.clone(),
        credentials: vec![KeyDigest::of(b"a key")],
    };
    let mut once = route("once", RouteKind::Unsafe, PLAIN);
    once.allowed_regions = homes;
    let usual = configuration(12);
    let service = Service { cold_rate: Some(9.9), name: PLAIN.into(), staged: None };
    let staged = usual.service(MODEL).cloned();
    let services = [service].into_iter().chain(staged).collect();
    let small: Configuration = configuration_of(12, Vec::new());
    let version = ConfigurationParts {
        version: 12,
        limits: small.limits,
        routes: vec![once],
        services,
        customers: Some(vec![customer]),
    };
    Snapshot {
        configuration: Some(version),
        listing: Some(Listing::Whole { engines: vec![full_engine()], revision: 99.into() }),
        evacuation: Evacuation {
            revision: 90.into(),
            data_centres: BTreeSet::from([Arc::from("north")]),
        },
        departures: Vec::new(),
    }
}

/// Returns a snapshot with changes only.
pub fn changes() -> Snapshot {
    let changes = vec![
        EngineChange::Put(full_engine(), 81.into()),
        EngineChange::Left("engine-1".into(), 82.into()),
    ];
    Snapshot {
        listing: Some(Listing::Changes { changes, revision: 85.into() }),
        ..Snapshot::default()
    }
}

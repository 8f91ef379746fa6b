//! What comes from outside, drawn: no bytes and no numbers end the process, or have it take up
//! memory or time without bound.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::Account;
use hollyspoke::store::Operation;
use hollyspoke::store::Revision;
use hollyspoke_gateway::cadence::Cadence;
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::engine::{EngineChange, EngineKey, Stage};
use hollyspoke_gateway::event::{Event, Kind};
use hollyspoke_gateway::message::{
    DataCentreKey, Demand, EngineUpdate, Load, Message, PeerAddress, Readiness, Rejection,
    StageSwitch, StoreView, Usage,
};
use hollyspoke_gateway::prompt::{CachedPrompt, PromptKey};
use hollyspoke_platform::DIALECT;
use hollyspoke_tests::gateway::{World, configuration, engine, engines, heartbeat, request};
use http::StatusCode;
use proptest::prelude::*;

/// Draws a number, the ends of its range as often as others.
fn number() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()]
}

/// Draws an engine of the site, or one that is not known.
fn some_engine() -> impl Strategy<Value = EngineKey> {
    (0..40u8).prop_map(|it| EngineKey::of(&format!("engine-{it}")))
}

/// Draws work.
fn load() -> impl Strategy<Value = Load> {
    (number(), number(), number()).prop_map(|(prefill_tokens, calls, held_tokens)| Load {
        prefill_tokens,
        calls,
        held_tokens,
    })
}

/// Draws how a box stands.
fn standing() -> impl Strategy<Value = Readiness> {
    prop_oneof![Just(Readiness::Starting), Just(Readiness::Ready), Just(Readiness::Stopping)]
}

/// Draws what a box has let through for customers.
fn usage() -> impl Strategy<Value = Usage> {
    let account =
        (number(), number(), any::<Option<i32>>()).prop_map(|(customer, total, level)| Account {
            customer: CustomerKey::of(&customer.to_string()),
            total,
            level,
        });
    (prop::collection::vec(account, 0..4), any::<bool>(), number())
        .prop_map(|(accounts, is_complete, peak_boxes)| Usage { accounts, is_complete, peak_boxes })
}

/// Draws a revision.
fn revision() -> impl Strategy<Value = Revision> {
    (prop_oneof![0..4u64, any::<u64>()], any::<u64>()).prop_map(|(era, it)| Revision::new(era, it))
}

/// Draws changes of engines.
fn news() -> impl Strategy<Value = EngineUpdate> {
    let change = (0..40u8, revision(), any::<bool>()).prop_map(|(it, revision, is_put)| {
        if is_put {
            EngineChange::Put(engine(it, "model", Some(Stage::Decode)), revision)
        } else {
            EngineChange::Left(format!("engine-{it}").into(), revision)
        }
    });
    (revision(), prop::collection::vec(change, 0..4))
        .prop_map(|(since, changes)| EngineUpdate { since, changes })
}

/// Draws what a box tells of itself.
fn from_a_box() -> impl Strategy<Value = Message> {
    let cadence = (number(), number()).prop_map(|(local_interval_ms, remote_interval_ms)| {
        Cadence { local_interval_ms, remote_interval_ms }
    });
    let knowledge = (any::<u64>(), revision(), any::<bool>()).prop_map(
        |(version, revision, has_lost_store)| StoreView { version, revision, has_lost_store },
    );
    let who = (2..5u8, any::<u64>(), any::<u64>(), 0..3u32, any::<bool>());
    (who, standing(), prop::option::of(cadence), knowledge, any::<bool>(), usage()).prop_map(
        |(who, readiness, cadence, knowledge, is_whole, usage)| {
            let (number, incarnation, sequence, data_centre, is_relayed) = who;
            Message {
                incarnation,
                sequence,
                data_centre: DataCentreKey(data_centre),
                is_relayed,
                readiness,
                cadence,
                is_whole,
                usage,
                ..heartbeat(number, 0, knowledge)
            }
        },
    )
}

/// Draws a datagram.
fn datagram() -> impl Strategy<Value = Message> {
    let loads = prop::collection::vec((some_engine(), load()), 0..6);
    let demand = (any::<u64>(), number(), number(), number()).prop_map(
        |(service, prefill_tokens_per_s, held_tokens, requests)| {
            (service, Demand { prefill_tokens_per_s, held_tokens, requests })
        },
    );
    let stage_switches =
        (some_engine(), any::<bool>(), number()).prop_map(|(engine, reads, duration_ms)| {
            let stage = if reads { Stage::Prefill } else { Stage::Decode };
            StageSwitch { engine, stage, duration_ms }
        });
    let rejections = (some_engine(), number())
        .prop_map(|(engine, held_tokens)| Rejection { engine, held_tokens });
    let cached_prompts = (any::<u64>(), some_engine())
        .prop_map(|(prompt, engine)| CachedPrompt { prompt: PromptKey(prompt), engine });
    let address = (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from);
    let peer = (address, 0..3u32).prop_map(|(address, data_centre)| PeerAddress {
        address,
        data_centre: DataCentreKey(data_centre),
    });
    let engines = || prop::collection::vec(some_engine(), 0..3);
    let lists = (
        prop::collection::vec(demand, 0..3),
        prop::collection::vec(stage_switches, 0..3),
        prop::collection::vec(rejections, 0..3),
        prop::collection::vec(cached_prompts, 0..3),
        prop::collection::vec(peer, 0..5),
    );
    (from_a_box(), loads, lists, engines(), engines(), prop::option::of(news())).prop_map(
        |(message, loads, lists, replaced, unreachable, news)| {
            let (demand, stage_switches, rejections, cached_prompts, peers) = lists;
            Message {
                loads,
                demand,
                stage_switches,
                rejections,
                cached_prompts,
                peers,
                replaced,
                unreachable,
                engine_update: news.map(Box::new),
                ..message
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever other boxes say, a box goes on, and answers what it is asked.
    #[test]
    fn datagrams_handled(messages in prop::collection::vec(datagram(), 1..12)) {
        let mut world = World::unconfigured();
        world.event(Event::Configured(Arc::new(configuration(1))));
        world.event(Event::Listed(engines(), 10.into()));
        for message in messages {
            world.event(Event::Received(message));
            world.arrive(request("safe"));
            world.arrive(request("resumed"));
            world.advance(Duration::from_millis(400));
        }
        world.advance(Duration::from_secs(16));
        prop_assert_eq!(world.gateway.in_flight_count(), 0);
    }

    /// Bytes that are no message are no message; a message with a byte changed may be another one.
    #[test]
    fn bytes_of_datagrams(message in datagram(), at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = bincode::serialize(&message).expect("a message can be written");
        let at = at.index(bytes.len());
        bytes[at] = to;
        _ = bincode::deserialize::<Message>(&bytes);
        bytes.truncate(at);
        _ = bincode::deserialize::<Message>(&bytes);
    }

    /// Pages, changes and objects of the store, and what engines tell, with some bytes changed.
    #[test]
    fn bytes_of_answers(
        which in 0..SAMPLES.len(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let mut bytes = SAMPLES[which].as_bytes().to_vec();
        for (at, to) in changes {
            let at = at.index(bytes.len());
            bytes[at] = to;
        }
        read_all(&bytes);
    }

    /// Bytes that nothing was written into.
    #[test]
    fn any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        read_all(&bytes);
    }
}

/// What the platform and engines answer.
const SAMPLES: [&str; 5] = [
    r#"{"items":[{"metadata":{"name":"main","revision":7,"made":1,"finalizers":[],"deleting":false},
        "spec":{"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","service":"s",
        "timeoutMs":14000,"maxAttempts":2,"kind":"stream"}],"services":[{"name":"s"}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000}},"status":null}],"more":false,"at":9}"#,
    r#"{"items":[{"metadata":{"name":"i-1","revision":8},"spec":{"service":"s",
        "address":"10.0.0.1:80","zone":"z","version":1,"slots":128,"state":"ready","coldLeftMs":0,
        "callSeq":2}}],"more":true,"at":18446744073709551615}"#,
    r#"{"events":[{"object":{"metadata":{"name":"i-1","revision":8},"spec":null},"gone":true}],
        "at":12}"#,
    r#"{"prefillHandle":"3fa09c41b7d5","tokens":1460,"version":1,"callSeq":4,"stage":"decode"}"#,
    r#"{"epoch":1,"nextToken":0,"held":[["","a",900,"m"],["","b",-1,"m"]]}"#,
];

/// Has all that reads bytes read some.
fn read_all(bytes: &[u8]) {
    for kind in [Kind::Configuration, Kind::Engines, Kind::Evacuations] {
        _ = (DIALECT.read_page)(kind, bytes);
        _ = (DIALECT.read_changes)(kind, bytes);
    }
    let get = Operation::Get { kind: "census".to_owned(), name: "boxes".to_owned() };
    for status in [StatusCode::OK, StatusCode::CONFLICT, StatusCode::SERVICE_UNAVAILABLE] {
        _ = (DIALECT.read_operation_answer)(&get, status, bytes);
    }
    _ = (DIALECT.read_handle)(bytes);
    _ = (DIALECT.read_cached_prompts)(bytes);
    _ = (DIALECT.read_report)(bytes);
}

//! The heads of requests and the lists of cached prompts in the platform's format.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke_gateway::customer::Caller;
use hollyspoke_gateway::effect::{Prompt, Send, Task};
use hollyspoke_gateway::migration;
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_gateway::reservation;
use hollyspoke_platform::engine::{call_head, read_reservation, read_survey, read_transfer};
use hollyspoke_platform::ingress::read_request;
use hollyspoke_tests::gateway::{MODEL, engine};
use http::{Request, StatusCode, request};

/// Returns a client's head with the parts of a prompt.
fn head(parts: &str) -> request::Parts {
    let request = Request::post("/a/b").header("x-prompt-prefix", parts).body(());
    request.expect("the head is well formed").into_parts().0
}

/// Returns a decode call.
fn decode_call(prompt: Prompt) -> Send {
    Send {
        request: RequestKey(1),
        call: CallKey(1),
        engine: engine(21, MODEL, None).into(),
        caller: Caller::Unchecked,
        task: Task::Decode(prompt),
        deadline: Duration::from_secs(1),
        last_event: None,
        priority: None,
        reservation: None,
        backup: None,
    }
}

#[test]
fn prompt_key_misread() {
    let read = read_request(&head("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), 10);
    assert_eq!(read.prompt, Some(PromptKey::of("e4402b7d")));
}

/// Returns the names of the shared parts that are read from a list of parts.
fn shared_parts(parts: &str) -> Vec<String> {
    read_request(&head(parts), 10).shared_parts.iter().map(|it| it.to_string()).collect()
}

#[test]
fn shared_parts_misread() {
    assert_eq!(shared_parts("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), ["5c1e07a2", "91bd3f06"]);
    assert_eq!(shared_parts("e4402b7d:250"), [""; 0]);
    assert_eq!(shared_parts(""), [""; 0]);
    assert_eq!(shared_parts("a:1,A:2 , a,b"), ["a"]);
    assert_eq!(shared_parts("a:1,b:1,a:1"), ["a", "b"]);
    assert_eq!(shared_parts(",:7,not hex:x,\u{e9}:1,b"), ["not hex"; 0]);
    assert_eq!(shared_parts(",:7,not hex:x,b"), ["not hex"]);
    let mut client = head("a:1,b:1");
    client.headers.append("x-prompt-prefix", "c:1,d:1".parse().expect("a value"));
    assert_eq!(*read_request(&client, 10).shared_parts, ["a".into(), "b".into(), "c".into()]);
}

#[test]
fn wrong_cache_source() {
    let cached_at = SocketAddr::from(([10, 1, 64, 9], 8080));
    let mut client = head("a:1");
    client.headers.insert("kv-fetch", "10.9.9.9:1".parse().expect("a value"));
    let call = call_head(&client, &decode_call(Prompt::CachedAt(cached_at)));
    assert_eq!(call.headers["kv-fetch"], "10.1.64.9:8080");
    for prompt in [Prompt::Cached, Prompt::NotPrefilled] {
        let call = call_head(&client, &decode_call(prompt));
        assert!(!call.headers.contains_key("kv-fetch"));
        assert!(!call.headers.contains_key("x-kv-source"));
    }
}

/// Clients can't set the headers that only a box sets.
#[test]
fn client_header_kept() {
    let mut client = head("a:1");
    for name in ["x-request-priority", "x-kv-hold", "x-kv-backup"] {
        client.headers.insert(name, "0".parse().expect("a value"));
    }
    let call = call_head(&client, &decode_call(Prompt::NotPrefilled));
    assert!(!call.headers.contains_key("x-request-priority"));
    assert!(!call.headers.contains_key("x-kv-hold"));
    assert!(!call.headers.contains_key("x-kv-backup"));
    let backup = SocketAddr::from(([10, 1, 64, 9], 8080));
    let send = Send {
        priority: Some(12),
        reservation: Some("r-1".into()),
        backup: Some(backup),
        ..decode_call(Prompt::NotPrefilled)
    };
    let call = call_head(&client, &send);
    assert_eq!(call.headers["x-request-priority"], "9");
    assert_eq!(call.headers["x-kv-hold"], "r-1");
    assert_eq!(call.headers["x-kv-backup"], "10.1.64.9:8080");
}

#[test]
fn reservation_misread() {
    let answer = |status, body: &[u8]| read_reservation(status, body);
    let granted = answer(StatusCode::OK, br#"{"hold":"r-1","more":1}"#);
    assert_eq!(granted, reservation::Answer::Granted("r-1".into()));
    assert_eq!(answer(StatusCode::OK, b"{}"), reservation::Answer::Unknown);
    assert_eq!(answer(StatusCode::SERVICE_UNAVAILABLE, b""), reservation::Answer::Full);
    assert_eq!(answer(StatusCode::MISDIRECTED_REQUEST, b""), reservation::Answer::Replaced);
    assert_eq!(answer(StatusCode::NOT_FOUND, b""), reservation::Answer::Unsupported);
    assert_eq!(answer(StatusCode::BAD_GATEWAY, b""), reservation::Answer::Unknown);
}

#[test]
fn transfer_misread() {
    let answer = |status, body: &[u8]| read_transfer(status, body);
    let copied = answer(StatusCode::OK, br#"{"prefillHandle":"c-1","made":14}"#);
    assert_eq!(copied, migration::Answer::Copied { handle: "c-1".to_owned(), events: 14 });
    assert_eq!(answer(StatusCode::OK, b"{}"), migration::Answer::Unknown);
    assert_eq!(answer(StatusCode::NOT_FOUND, b""), migration::Answer::NotRunning);
    assert_eq!(answer(StatusCode::CONFLICT, b""), migration::Answer::InProgress);
    let refused = answer(StatusCode::SERVICE_UNAVAILABLE, br#"{"prefillHandle":"c-1"}"#);
    assert_eq!(refused, migration::Answer::Refused { handle: Some("c-1".to_owned()) });
    let refused = answer(StatusCode::SERVICE_UNAVAILABLE, b"");
    assert_eq!(refused, migration::Answer::Refused { handle: None });
    assert_eq!(answer(StatusCode::METHOD_NOT_ALLOWED, b""), migration::Answer::Unsupported);
}

#[test]
fn cache_list_misread() {
    let body = br#"{"epoch":"e","nextToken":9,"held":[["","5c1e",200,"m"],["","91bd",5000,"m"]]}"#;
    let prompts = read_survey(body).expect("a list");
    assert_eq!(prompts, [PromptKey::of("91bd"), PromptKey::of("5c1e")]);
    assert_eq!(read_survey(b"{}"), None);
}

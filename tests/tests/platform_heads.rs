//! The heads of requests and the lists of cached prompts in the platform's format.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke_gateway::customer::Caller;
use hollyspoke_gateway::effect::{Prompt, Send, Task};
use hollyspoke_gateway::prompt::PromptKey;
use hollyspoke_gateway::request::{CallKey, RequestKey};
use hollyspoke_platform::engine::{call_head, read_survey};
use hollyspoke_platform::ingress::read_request;
use hollyspoke_tests::gateway::{MODEL, engine};
use http::{Request, request};

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
    }
}

#[test]
fn prompt_key_misread() {
    let read = read_request(&head("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), 10);
    assert_eq!(read.prompt, Some(PromptKey::of("e4402b7d")));
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

#[test]
fn cache_list_misread() {
    let body = br#"{"epoch":"e","nextToken":9,"held":[["","5c1e",200,"m"],["","91bd",5000,"m"]]}"#;
    let prompts = read_survey(body).expect("a list");
    assert_eq!(prompts, [PromptKey::of("91bd"), PromptKey::of("5c1e")]);
    assert_eq!(read_survey(b"{}"), None);
}

//! The heads of requests as the platform spells them.

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

/// Gives a client's head with the parts of a prompt.
fn head(parts: &str) -> request::Parts {
    let request = Request::post("/a/b").header("x-prompt-prefix", parts).body(());
    request.expect("the head is well formed").into_parts().0
}

/// Gives a call that generates.
fn generating(prompt: Prompt) -> Send {
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
fn prompt_named_by_last_part() {
    let read = read_request(&head("5c1e07a2:800,91bd3f06:410, e4402b7d:250"), 10);
    assert_eq!(read.prompt, Some(PromptKey::of("e4402b7d")));
}

#[test]
fn kept_elsewhere() {
    let keeper = SocketAddr::from(([10, 1, 64, 9], 8080));
    let mut client = head("a:1");
    client.headers.insert("kv-fetch", "10.9.9.9:1".parse().expect("a value"));
    let made = call_head(&client, &generating(Prompt::CachedAt(keeper)));
    assert_eq!(made.headers["kv-fetch"], "10.1.64.9:8080");
    for prompt in [Prompt::Cached, Prompt::NotPrefilled] {
        let made = call_head(&client, &generating(prompt));
        assert!(!made.headers.contains_key("kv-fetch"));
        assert!(!made.headers.contains_key("x-kv-source"));
    }
}

#[test]
fn kept_list_is_read() {
    let body = br#"{"epoch":"e","nextToken":9,"held":[["","5c1e",200,"m"],["","91bd",5000,"m"]]}"#;
    let kept = read_survey(body).expect("a list");
    assert_eq!(kept, [PromptKey::of("91bd"), PromptKey::of("5c1e")]);
    assert_eq!(read_survey(b"{}"), None);
}

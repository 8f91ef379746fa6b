//! Customers' keys: what clients send, and what reaches engines.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollyspoke_platform::ingress::read_request;
use hollyspoke_platform::store::read_page;
use hollyspoke_server::dialect::Kind;
use hollyspoke_server::run::Running;
use hollyspoke_tests::platform::{
    Action, Engine, LAST_CHUNK, Script, Store, ask, chunk, client_head, engine, event, handle,
    local, node, status, store, stream_head, whole,
};
use http::Request;
use serde_json::{Value, json};

/// A key of the customer `press`.
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Returns the customer `press` with some keys and a rate in tokens per second.
fn press_customer(keys: &[&str], rate: u64) -> Value {
    json!([{"name": "press", "apiKeys": keys, "priority": 1, "unit": "token_stream",
        "plainTokens": 200, "ratePerS": rate, "burstSize": rate}])
}

/// Returns a client's head with additional lines.
fn head_with_lines(path: &str, id: &str, lines: &str) -> String {
    client_head("POST", path, id, "").replace("Content-Length", &format!("{lines}Content-Length"))
}

/// Returns a client's head with a key.
fn head_with_key(path: &str, id: &str, key: &str) -> String {
    head_with_lines(path, id, &format!("Authorization: Bearer {key}\r\n"))
}

/// A box with a plain engine, a prefill engine and two decode engines.
struct World {
    /// The store.
    store: Store,
    /// The box.
    node: Running,
    /// All engines.
    engines: Vec<Engine>,
}

/// Starts a box that knows the customer `press`.
async fn world(rate: u64) -> World {
    let store = store().await;
    store.configure_customers(1, press_customer(&[KEY], rate));
    let plain: Script = Rc::new(|it| vec![Action::Send(whole(it, "x"))]);
    let prefills: Script = Rc::new(|it| vec![Action::Send(handle(it))]);
    // The first decode engine resets the connection after an event, so that the stream is resumed at
    // the second.
    let breaks: Script = Rc::new(|it| {
        let after: u64 = it.header("last-event-id").map_or(0, |it| it.parse().unwrap_or(0));
        let mut actions =
            vec![Action::Send(stream_head(it)), Action::Send(chunk(&event(after + 1)))];
        actions.push(if after == 0 { Action::Reset } else { Action::Send(LAST_CHUNK.to_vec()) });
        actions
    });
    let scripts = [
        ("e-1", plain, "plain", None),
        ("p-1", prefills, "model", Some("prefill")),
        ("d-1", breaks.clone(), "model", Some("decode")),
        ("d-2", breaks, "model", Some("decode")),
    ];
    let mut engines = Vec::new();
    for (id, script, service, stage) in scripts {
        let engine = engine(script).await;
        store.list(id, &engine, service, stage);
        engines.push(engine);
    }
    World { node: node(&store).await, store, engines }
}

impl World {
    /// Sends a request; returns the status.
    async fn status(&self, head: &str) -> String {
        status(&ask(self.node.front, head).await).to_owned()
    }

    /// Returns how many requests engines have received.
    fn received(&self) -> usize {
        let requests =
            |it: &Engine| it.received.borrow().iter().filter(|it| !it.is_probe()).count();
        self.engines.iter().map(requests).sum()
    }
}

/// On no path does the key reach an engine. Each try names the customer of the key, even if the client
/// sends another name.
#[test]
fn key_reaches_engine() {
    local(async {
        let world = world(0).await;
        let forged = format!("Authorization: Bearer {KEY}\r\nX-Tenant: other\r\n");
        for (number, path) in ["/safe/x", "/unsafe/x", "/once/x", "/resumed/x"].iter().enumerate() {
            ask(world.node.front, &head_with_lines(path, &format!("id-{number}"), &forged)).await;
        }
        assert!(world.received() >= 7, "{}", world.received());
        for engine in &world.engines {
            for received in engine.received.borrow().iter() {
                // The probe after a broken call is sent for no customer.
                let customer = (!received.is_probe()).then_some("press");
                assert_eq!(received.header("x-tenant"), customer, "{received:?}");
                assert!(!format!("{received:?}").contains(KEY), "{received:?}");
            }
        }
    });
}

/// Anything but one known key in the `Bearer` scheme is refused before an engine receives it.
#[test]
fn invalid_key_accepted() {
    local(async {
        let world = world(0).await;
        let lines = [
            String::new(),
            "Authorization: Bearer other\r\n".to_owned(),
            "Authorization: Bearer\r\n".to_owned(),
            "Authorization: Bearer  \r\n".to_owned(),
            format!("Authorization: Basic {KEY}\r\n"),
            format!("Authorization: {KEY}\r\n"),
            format!("Authorization: Bearer{KEY}\r\n"),
            format!("Authorization: Bearer {KEY}\r\nAuthorization: Bearer {KEY}\r\n"),
            format!("Authorization: Bearer {}\r\n", "k".repeat(8192)),
            format!("X-Tenant: press\r\nX-Api-Key: {KEY}\r\n"),
        ];
        for line in lines {
            let answer = ask(world.node.front, &head_with_lines("/safe/x", "id", &line)).await;
            assert_eq!(status(&answer), "401", "{line:.60}");
            assert!(answer.to_ascii_lowercase().contains("www-authenticate: bearer"));
        }
        assert_eq!(world.received(), 0);
        let scheme = format!("Authorization: bEARER  {KEY}\r\n");
        assert_eq!(world.status(&head_with_lines("/safe/x", "id", &scheme)).await, "200");
    });
}

/// A key that is not text has a digest like any other.
#[test]
fn binary_key_ignored() {
    let binary = http::HeaderValue::from_bytes(b"Bearer \xff\xfe").expect("a value");
    let head = Request::get("/x").header("authorization", binary).body(()).expect("a head");
    assert!(read_request(&head.into_parts().0, 0).credential.is_some());
}

#[test]
fn old_key_accepted() {
    local(async {
        let world = world(0).await;
        assert_eq!(world.status(&head_with_key("/safe/x", "id", KEY)).await, "200");
        world.store.configure_customers(2, press_customer(&["newer"], 0));
        let changed = async {
            while world.status(&head_with_key("/safe/x", "id", "newer")).await != "200" {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(3), changed)
            .await
            .expect("the new key is accepted");
        assert_eq!(world.status(&head_with_key("/safe/x", "id", KEY)).await, "401");
    });
}

#[test]
fn wrong_retry_time() {
    local(async {
        let world = world(300).await;
        tokio::time::sleep(Duration::from_millis(1100)).await;
        assert_eq!(world.status(&head_with_key("/safe/x", "id", KEY)).await, "200");
        let answer = ask(world.node.front, &head_with_key("/safe/x", "id", KEY)).await;
        assert_eq!(status(&answer), "429");
        let lower = answer.to_ascii_lowercase();
        let after = lower.split("retry-after: ").nth(1).and_then(|it| it.lines().next());
        let after: f64 = after.expect("a time").trim().parse().expect("seconds");
        assert!(after > 0.0 && after < 2.0, "{after}");
        tokio::time::sleep(Duration::from_secs_f64(after)).await;
        assert_eq!(world.status(&head_with_key("/safe/x", "id", KEY)).await, "200");
    });
}

/// The findings on an invalid configuration are logged, without the keys in it.
#[test]
fn findings_show_keys() {
    let page = |tenants: Value| {
        let spec = json!({"version": 1, "routes": [], "services": [], "limits": {
            "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": 1},
            "tenants": tenants});
        let item = json!({"metadata": {"name": "main", "revision": 3}, "spec": spec});
        let body = json!({"items": [item], "more": false, "at": 3}).to_string();
        read_page(Kind::Configuration, &Bytes::from(body)).expect("a page")
    };
    let invalid = [
        json!([{"name": "a", "apiKeys": KEY}]),
        json!([{"name": "a", "apiKeys": [[KEY]]}]),
        json!([{"name": "a", "apiKeys": {"first": KEY}}]),
        json!([{"name": "a\nb", "apiKeys": [KEY]}]),
    ];
    for tenants in invalid {
        let page = page(tenants.clone());
        assert_eq!(page.findings.len(), 1, "{tenants}");
        assert!(!page.findings[0].contains(KEY), "{}", page.findings[0]);
    }
    let valid = page(json!([{"name": "Imprenta \u{f1}", "apiKeys": [KEY]}]));
    assert!(valid.findings.is_empty() && valid.items.len() == 1);
    assert!(!format!("{valid:?}").contains(KEY));
}

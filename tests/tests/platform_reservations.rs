//! Reservations of an engine's memory through sockets.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_gateway::features::Features;
use hollyspoke_platform::DIALECT;
use hollyspoke_server::run;
use hollyspoke_server::settings::Settings;
use hollyspoke_tests::platform::{
    Action, Engine, LAST_CHUNK, Received, Script, answer, ask, chunk, client_head, engine, event,
    handle, local, log, settings, status, store, stream_head, whole,
};

/// The interval at which a condition is checked.
const STEP: Duration = Duration::from_millis(2);

/// The number of checks after which a condition is given up.
const MAX_STEP_COUNT: u32 = 1000;

/// Returns the script of a decode engine that answers asks with a status, and streams.
fn reserves(reserved: &'static str) -> Script {
    Rc::new(move |it| {
        if it.line.starts_with("POST /hold-take ") {
            return vec![Action::Send(answer(it, reserved, "", r#"{"hold":"r-1"}"#))];
        }
        if it.line.starts_with("DELETE /hold-drop/") {
            return vec![Action::Send(whole(it, ""))];
        }
        let stream = [stream_head(it), chunk(&event(1)), LAST_CHUNK.to_vec()];
        stream.into_iter().map(Action::Send).collect()
    })
}

/// Sends a request that takes most of an engine's memory to a box whose decode engine answers asks
/// with a status. Returns the answer's status and the requests that the decode engine received, of
/// which there are `count`.
async fn decoded(reserved: &'static str, count: usize) -> (String, Vec<Received>) {
    decoded_after(Duration::ZERO, reserved, count).await
}

/// Does the same with a decode engine that stands still for a time before it answers.
async fn decoded_after(
    silence: Duration,
    reserved: &'static str,
    count: usize,
) -> (String, Vec<Received>) {
    let store = store().await;
    store.configure(1);
    let (_, mut spec) = store.object("config", "main").expect("it was just put");
    spec["services"][1]["engine"]["holdMs"] = 2000.into();
    store.put("config", "main", spec);
    let prefill = engine(Rc::new(|it| vec![Action::Send(handle(it))])).await;
    store.list("p-1", &prefill, "model", Some("prefill"));
    let decode = engine(reserves(reserved)).await;
    store.list("d-1", &decode, "model", Some("decode"));
    let features = Features { reservations: true, ..Features::NONE };
    let settings = Settings { features, ..settings(store.address, Vec::new()) };
    let box_ = run::start(&settings, DIALECT, log()).await.expect("the ports are free");
    while !box_.node.with(|it| it.is_ready()) {
        tokio::time::sleep(STEP).await;
    }
    decode.stand_still(silence);
    let head = client_head("POST", "/once/x", "id-1", "prompt");
    let answered = ask(box_.front, &head.replace("300,20", "50000,20")).await;
    // The drop of a reservation has a connection of its own.
    for _ in 0..MAX_STEP_COUNT {
        if requests(&decode).len() >= count {
            break;
        }
        tokio::time::sleep(STEP).await;
    }
    (status(&answered).to_owned(), requests(&decode))
}

/// Returns the requests that an engine received, without probes.
fn requests(engine: &Engine) -> Vec<Received> {
    engine.received.borrow().iter().filter(|it| !it.is_probe()).cloned().collect()
}

#[test]
fn reservation_kept() {
    local(async {
        let (status, received) = decoded("200 OK", 3).await;
        assert_eq!(status, "200");
        assert_eq!(received[0].header("x-expect-instance"), Some("d-1"));
        let mut lines: Vec<_> = received.iter().map(|it| it.line.as_str()).collect();
        assert_eq!(lines.remove(0), "POST /hold-take HTTP/1.1");
        lines.sort_unstable();
        assert_eq!(lines, ["DELETE /hold-drop/r-1 HTTP/1.1", "POST /once/x HTTP/1.1"]);
        assert!(received.iter().all(|it| it.header("x-kv-hold").is_none()));
    });
}

#[test]
fn unknown_operation_fatal() {
    local(async {
        let (status, received) = decoded("404 Not Found", 2).await;
        assert_eq!(status, "200");
        assert_eq!(received.len(), 2);
        assert_eq!(received[1].header("x-kv-hold"), None);
    });
}

/// Returns how many of some requests begin with a text.
fn count(received: &[Received], start: &str) -> usize {
    received.iter().filter(|it| it.line.starts_with(start)).count()
}

/// An engine that answers late has set memory aside, which is dropped.
#[test]
fn late_reservation_unused() {
    local(async {
        for (silence_ms, asks) in [(200, 2), (400, 2), (900, 2)] {
            let silence = Duration::from_millis(silence_ms);
            let (status, received) = decoded_after(silence, "200 OK", 2 * asks + 1).await;
            let asked = count(&received, "POST /hold-take ");
            let dropped = count(&received, "DELETE /hold-drop/");
            let case = format!("silent for {silence_ms} ms: {asked} asks, {dropped} drops");
            assert_eq!((&*status, asked, dropped), ("200", asks, asks), "{case}");
        }
    });
}

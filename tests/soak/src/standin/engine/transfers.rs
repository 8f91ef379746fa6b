//! Copies of a running stream's memory at another engine, where the stream can go on.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{Received, receive};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::memory::{Lease, Purpose};
use super::{Breach, Engine, answer};
use crate::observation::{LeaseEnd, RunEnd, What};

/// How long an engine keeps a copy that is not used.
const COPY_LIFE: Duration = Duration::from_millis(1000);

/// The number of tokens that are copied in a millisecond.
const COPIED_A_MS: u64 = 100;

/// The number of events between two parts of a backup.
const BACKUP_EVERY: u64 = 4;

/// The time within which a stream stops for a transfer.
const STOPS_WITHIN: Duration = Duration::from_secs(1);

/// The path through which one stand-in sends another a copy.
pub(super) const COPY_PATH: &str = "/copy-in";

/// The part of a copy's name that tells it from a prefilled prompt.
const COPY_MARK: &str = "-c";

/// A stream that runs.
#[derive(Debug, Default)]
pub(super) struct Stream {
    /// Its memory, in tokens.
    pub(super) tokens: u64,
    /// The priority that its request named.
    pub(super) priority: Option<u8>,
    /// The number of its last event.
    pub(super) events: Cell<u64>,
    /// Whether it was told to stop.
    pub(super) is_stopped: Cell<bool>,
    /// Whether its caller was sent bytes that are not part of it.
    pub(super) is_spoilt: Cell<bool>,
    /// Wakes it when it was told to stop.
    pub(super) stop: Notify,
    /// How it ended.
    pub(super) end: Cell<Option<RunEnd>>,
    /// Whether a transfer is in progress.
    is_copying: Cell<bool>,
    /// The name and the address of the copy, and its number of events.
    copy: RefCell<Option<(String, SocketAddr, u64)>>,
}

impl Stream {
    /// Creates a stream that has no event yet.
    pub(super) fn new(tokens: u64, priority: Option<u8>) -> Stream {
        Stream { tokens, priority, ..Stream::default() }
    }
}

/// Marks a transfer of a stream as in progress until it is dropped.
struct Copying<'a>(&'a Stream);

impl Drop for Copying<'_> {
    fn drop(&mut self) {
        self.0.is_copying.set(false);
    }
}

impl Engine {
    /// Answers an order to copy a stream's memory to another engine; `None` if the answer is lost.
    pub(super) async fn transfer(self: &Rc<Engine>, received: &Received) -> Option<Vec<u8>> {
        let breach = self.draw_breach();
        let body: Value = serde_json::from_slice(&received.body).unwrap_or_default();
        let attempt = body["id"].as_str().unwrap_or_default().to_owned();
        let stream = self.streams.borrow().get(&attempt).cloned();
        let told =
            |status: &str, body: &str| Some(answer(received, status, &self.terms_headers(), body));
        if self.is_other(received) {
            return told("421 Misdirected Request", "");
        }
        let Some(stream) = stream.filter(|_| breach != Some(Breach::Unknown)) else {
            return told("404 Not Found", "");
        };
        let target = body["targetVersion"].as_str().and_then(|it| it.parse().ok());
        let Some(target) = target else { return told("400 Bad Request", "") };
        if stream.is_copying.replace(true) {
            return told("409 Conflict", "");
        }
        let _copying = Copying(&stream);
        let is_final = body["last"].as_bool().unwrap_or(false);
        let name = self.copy_name(&stream, target);
        if is_final && !self.stop(&attempt, &stream, &name).await {
            return told("404 Not Found", "");
        }
        let is_copied = breach != Some(Breach::Refuse)
            && self.copy(&attempt, &stream, &name, target, breach).await;
        let is_answered = !matches!(breach, Some(Breach::Lose | Breach::Late));
        let (engine, copied) = (self.settings.id.clone(), name.clone());
        self.see(What::Transferred { engine, name: copied, attempt, is_final, is_answered });
        self.delay(breach).await;
        if breach == Some(Breach::Lose) {
            return None;
        }
        if !is_copied {
            let body = json!({"prefillHandle": name}).to_string();
            return told("503 Service Unavailable", if is_final { &body } else { "" });
        }
        told("200 OK", &json!({"prefillHandle": name, "made": stream.events.get()}).to_string())
    }

    /// Returns the name of a stream's copy at another engine.
    fn copy_name(&self, stream: &Stream, target: SocketAddr) -> String {
        let mut copy = stream.copy.borrow_mut();
        if let Some((name, _, _)) = copy.as_ref().filter(|it| it.1 == target) {
            return name.clone();
        }
        let name = format!("{}{COPY_MARK}{}", self.settings.id, self.number());
        *copy = Some((name.clone(), target, 0));
        self.sent_copies.borrow_mut().insert(name.clone(), target);
        name
    }

    /// Stops a stream without its end and keeps its memory; returns whether it was still running.
    async fn stop(&self, attempt: &str, stream: &Stream, name: &str) -> bool {
        stream.is_stopped.set(true);
        stream.stop.notify_one();
        let latest = Instant::now() + STOPS_WITHIN;
        while stream.end.get().is_none() && Instant::now() < latest {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let is_moved = stream.end.get() == Some(RunEnd::Moved);
        if is_moved {
            self.keep_copy(name, attempt, stream.tokens, false, false);
        }
        is_moved
    }

    /// Copies what is new of a stream's memory; returns whether the target has it then.
    async fn copy(
        &self,
        attempt: &str,
        stream: &Stream,
        name: &str,
        target: SocketAddr,
        breach: Option<Breach>,
    ) -> bool {
        let copied = stream.copy.borrow().as_ref().map_or(0, |it| it.2);
        let tokens = if copied > 0 { stream.events.get() - copied } else { stream.tokens };
        let expires = breach == Some(Breach::Expire);
        if !send_copy(target, name, attempt, stream.tokens, expires).await {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(tokens / COPIED_A_MS)).await;
        if breach == Some(Breach::Crash) {
            std::process::exit(1);
        }
        if let Some(copy) = stream.copy.borrow_mut().as_mut() {
            copy.2 = stream.events.get();
        }
        true
    }

    /// Handles a copy that another stand-in sends.
    pub(super) fn receive_copy(&self, received: &Received) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&received.body).unwrap_or_default();
        let name = body["name"].as_str().unwrap_or_default();
        let tokens = body["tokens"].as_u64().unwrap_or_default();
        let is_known = self.memory.borrow().has(name, Purpose::Copy, Instant::now());
        if !is_known && (!self.memory.borrow().has_room(tokens) || self.rejects_all()) {
            return answer(received, "503 Service Unavailable", "", "");
        }
        let attempt = body["run"].as_str().unwrap_or_default();
        let expires = body["expires"].as_bool().unwrap_or(false);
        self.keep_copy(name, attempt, tokens, true, expires);
        answer(received, "200 OK", "", "")
    }

    /// Keeps a copy until it is used, dropped, or lapses.
    fn keep_copy(&self, name: &str, attempt: &str, tokens: u64, has_slot: bool, expires: bool) {
        let life = if expires { Duration::ZERO } else { COPY_LIFE };
        let until = Instant::now() + life;
        let lease = Lease { purpose: Purpose::Copy, tokens, has_slot, until };
        self.memory.borrow_mut().lease(name, lease);
        let (engine, attempt) = (self.settings.id.clone(), attempt.to_owned());
        self.see(What::Copied { engine, name: name.to_owned(), attempt });
    }

    /// Returns the name of the copy that a request's source names, if this engine has it.
    pub(super) fn own_copy(&self, source: &str) -> Option<String> {
        let (_, name) = source.split_once('/')?;
        let has = self.memory.borrow().has(name, Purpose::Copy, Instant::now());
        has.then(|| name.to_owned())
    }

    /// Uses a copy, and frees the one at the engine where the stream was stopped.
    pub(super) fn use_copy(&self, source: &str, name: &str) {
        self.end_copy(name, LeaseEnd::Used);
        let Some((address, _)) = source.split_once('/') else { return };
        let Ok(address) = address.parse() else { return };
        let path = format!("/kv-handle/{name}");
        tokio::task::spawn_local(async move {
            // The copy at the source lapses if the request is lost.
            _ = call(address, "DELETE", &path, "").await;
        });
    }

    /// Frees a copy here and, if this engine has sent it, at the other one; returns whether there
    /// was one here.
    pub(super) fn free_copy(&self, name: &str) -> bool {
        if let Some(target) = self.sent_copies.borrow_mut().remove(name) {
            let path = format!("/kv-handle/{name}");
            tokio::task::spawn_local(async move {
                // The copy at the target lapses if the request is lost.
                _ = call(target, "DELETE", &path, "").await;
            });
        }
        self.end_copy(name, LeaseEnd::Dropped)
    }

    /// Ends a copy; returns whether there was one.
    fn end_copy(&self, name: &str, how: LeaseEnd) -> bool {
        let is_there = self.memory.borrow_mut().take(name, Instant::now()).is_some();
        if is_there {
            let (engine, name) = (self.settings.id.clone(), name.to_owned());
            self.see(What::CopyEnded { engine, name, how });
        }
        is_there
    }

    /// Sends a stream's backup its next part, if it is time for it.
    pub(super) fn back_up(&self, attempt: &str, stream: &Stream, target: Option<SocketAddr>) {
        let Some(target) = target else { return };
        if stream.events.get() % BACKUP_EVERY != 1 {
            return;
        }
        let (name, tokens) = (attempt.to_owned(), stream.tokens);
        tokio::task::spawn_local(async move {
            // A target without room keeps no backup.
            _ = send_copy(target, &name, &name, tokens, false).await;
        });
    }

    /// Frees the backup of a stream that has ended well.
    pub(super) fn free_backup(&self, attempt: &str, target: Option<SocketAddr>) {
        let Some(target) = target else { return };
        let path = format!("/kv-handle/{attempt}");
        tokio::task::spawn_local(async move {
            // The backup lapses if the request is lost.
            _ = call(target, "DELETE", &path, "").await;
        });
    }
}

/// Returns whether this is the name of a stream's copy rather than of a prefilled prompt.
pub(super) fn is_copy(name: &str) -> bool {
    name.contains(COPY_MARK)
}

/// Sends another stand-in a copy; returns whether it has it then.
async fn send_copy(
    target: SocketAddr,
    name: &str,
    attempt: &str,
    tokens: u64,
    expires: bool,
) -> bool {
    let body = json!({"name": name, "run": attempt, "tokens": tokens, "expires": expires});
    call(target, "POST", COPY_PATH, &body.to_string()).await
}

/// Calls another stand-in; returns whether it answers with success.
pub(super) async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    receive(&mut stream).await.is_some_and(|it| it.line.contains(" 200 "))
}

//! How clients take the answers that are written to them, and which of them is disconnected when the
//! box lacks memory or descriptors.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// The time for which a client is given a chance to take what waits for it, before its speed counts.
const MIN_BLOCKED: Duration = Duration::from_secs(1);

/// The progress of one connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// When an answer first had to wait for the client, since the connection had written all; none if
    /// nothing waits.
    pub blocked_since: Option<Instant>,
    /// The bytes that the client has taken since.
    pub taken: u64,
    /// When the connection last read or wrote a byte.
    pub active_at: Instant,
    /// Whether it carries a request.
    pub is_serving: bool,
}

impl Progress {
    /// Returns the progress of a new connection.
    fn new(now: Instant) -> Progress {
        Progress { blocked_since: None, taken: 0, active_at: now, is_serving: false }
    }

    /// Returns the bytes a second that a client takes of an answer that waits for it; none if nothing
    /// waits, or not for long enough to tell.
    pub fn rate(&self, now: Instant) -> Option<f64> {
        let blocked = now.saturating_duration_since(self.blocked_since?);
        (blocked >= MIN_BLOCKED).then(|| self.taken as f64 / blocked.as_secs_f64())
    }

    /// Returns how long a connection has been without a request; none if it carries one, or an
    /// answer waits for its client.
    pub fn idle_for(&self, now: Instant) -> Option<Duration> {
        let is_idle = !self.is_serving && self.blocked_since.is_none();
        is_idle.then(|| now.saturating_duration_since(self.active_at))
    }
}

/// Returns the connection whose client takes its answer most slowly.
pub fn slowest<'a, K: Copy>(
    connections: impl Iterator<Item = (K, &'a Progress)>,
    now: Instant,
) -> Option<K> {
    let rated = connections.filter_map(|(key, it)| Some((key, it.rate(now)?)));
    rated.min_by(|a, b| a.1.total_cmp(&b.1)).map(|it| it.0)
}

/// Returns the connection that has been without a request for the longest time.
pub fn longest_idle<'a, K: Copy>(
    connections: impl Iterator<Item = (K, &'a Progress)>,
    now: Instant,
) -> Option<K> {
    let idle = connections.filter_map(|(key, it)| Some((key, it.idle_for(now)?)));
    idle.max_by_key(|it| it.1).map(|it| it.0)
}

/// One connection of a client.
#[derive(Debug)]
struct Connection {
    /// Its progress.
    progress: Progress,
    /// Wakes the task that serves it, which then drops it.
    close: Rc<Notify>,
}

/// The connections of all clients.
#[derive(Debug, Default)]
pub struct Deliveries {
    /// The connections. They are in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Connection>>,
    /// The key of the next one.
    next_key: Cell<u64>,
    /// How many were disconnected.
    closed: Cell<u64>,
}

impl Deliveries {
    /// Adds a connection.
    pub fn add(self: &Rc<Deliveries>) -> Rc<Delivery> {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let close = Rc::new(Notify::new());
        let connection =
            Connection { progress: Progress::new(Instant::now()), close: close.clone() };
        self.connections.borrow_mut().insert(key, connection);
        Rc::new(Delivery { key, close, deliveries: self.clone() })
    }

    /// Returns how many connections were disconnected.
    pub fn closed_count(&self) -> u64 {
        self.closed.get()
    }

    /// Disconnects the client that takes its answer most slowly. Returns whether there is one.
    pub fn close_slowest(&self, now: Instant) -> bool {
        let slowest =
            slowest(self.connections.borrow().iter().map(|it| (*it.0, &it.1.progress)), now);
        self.close(slowest)
    }

    /// Disconnects a client so that its descriptor is free: the one that has been without a request for
    /// the longest time, or else the slowest one. Returns whether there is one.
    pub fn close_least_useful(&self, now: Instant) -> bool {
        let connections = self.connections.borrow();
        let idle = longest_idle(connections.iter().map(|it| (*it.0, &it.1.progress)), now);
        drop(connections);
        self.close(idle) || self.close_slowest(now)
    }

    /// Disconnects a client, if there is one.
    fn close(&self, key: Option<u64>) -> bool {
        let closed = key.and_then(|it| self.connections.borrow_mut().remove(&it));
        let Some(connection) = closed else { return false };
        connection.close.notify_one();
        self.closed.set(self.closed.get() + 1);
        true
    }

    /// Changes the progress of a connection, unless it is being disconnected.
    fn update(&self, key: u64, change: impl FnOnce(&mut Progress)) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(&key) {
            change(&mut connection.progress);
        }
    }
}

/// The record of one connection, until it is dropped.
#[derive(Debug)]
pub struct Delivery {
    /// The connection's key.
    key: u64,
    /// Wakes the task that serves the connection.
    close: Rc<Notify>,
    /// All connections.
    deliveries: Rc<Deliveries>,
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.deliveries.connections.borrow_mut().remove(&self.key);
    }
}

impl Delivery {
    /// Waits until the client is to be disconnected.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Records that bytes have arrived.
    pub fn record_read(&self) {
        self.deliveries.update(self.key, |it| it.active_at = Instant::now());
    }

    /// Records whether the connection carries a request.
    pub fn record_serving(&self, is_serving: bool) {
        self.deliveries.update(self.key, |it| {
            it.is_serving = is_serving;
            it.active_at = Instant::now();
        });
    }

    /// Records that the client has taken bytes.
    pub fn record_taken(&self, bytes: usize) {
        self.deliveries.update(self.key, |it| {
            it.taken += bytes as u64;
            it.active_at = Instant::now();
        });
    }

    /// Records that bytes wait for the client.
    pub fn record_blocked(&self) {
        self.deliveries.update(self.key, |it| {
            if it.blocked_since.is_none() {
                it.blocked_since = Some(Instant::now());
                it.taken = 0;
            }
        });
    }

    /// Records that nothing waits for the client any more.
    pub fn record_written(&self) {
        self.deliveries.update(self.key, |it| it.blocked_since = None);
    }
}

//! The memory that a box uses for bytes that it holds for clients and engines, over all connections.
//!
//! Each place that holds such bytes takes them from the account of the process before it keeps them,
//! and gives them back once they are written or dropped. When an account is empty, the client that
//! makes the least progress is disconnected, and what arrives waits unread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::delivery::Deliveries;

/// The memory of a box whose settings name none, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 128 << 20;

/// The part of the memory for bytes held for others. The rest is for the box's own state, for the
/// buffers of connections and for what the allocator leaves unused.
const HELD_SHARE: f64 = 0.5;

/// The part of these for the beginnings of answers, so that small ones don't wait behind large ones.
const SMALL_SHARE: f64 = 0.125;

/// The part of these for the heads of requests that are not complete.
const HEADS_SHARE: f64 = 0.125;

/// The part of these that the bodies of requests may take, so that there is room for their answers.
const BODIES_SHARE: f64 = 0.5;

/// The part of an answer that counts as its beginning, in bytes.
pub(crate) const SMALL_BYTES: usize = 32 << 10;

/// The memory that a separate part takes besides its bytes.
const OVERHEAD_BYTES: usize = 128;

/// The interval at which what waits tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Bytes that find no free memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// A part of the memory.
#[derive(Debug, Clone)]
struct Account(Arc<Semaphore>);

impl Account {
    /// Creates an account of which all bytes are free.
    fn new(bytes: f64) -> Account {
        Account(Arc::new(Semaphore::new((bytes as usize).min(u32::MAX as usize))))
    }

    /// Takes free memory, if there is as much.
    fn take(&self, bytes: usize) -> Result<OwnedSemaphorePermit, Exhausted> {
        let bytes = u32::try_from(bytes).map_err(|_| Exhausted)?;
        self.0.clone().try_acquire_many_owned(bytes).map_err(|_| Exhausted)
    }
}

/// The memory of a box for bytes that it holds for others.
#[derive(Debug, Clone)]
pub struct Memory {
    /// All but what is set aside for small answers and heads.
    shared: Account,
    /// What bodies of requests may take of it.
    bodies: Account,
    /// What is set aside for the beginnings of answers.
    small: Account,
    /// What is set aside for heads of requests.
    heads: Account,
    /// The answers that clients are receiving.
    pub deliveries: Rc<Deliveries>,
}

/// Memory that is taken until this is dropped.
#[derive(Debug, Default)]
pub struct Held(Vec<OwnedSemaphorePermit>);

impl Held {
    /// Attaches the memory to the bytes for which it was taken. It is free again once the last
    /// reference to them is dropped.
    pub(crate) fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(Owner { bytes, _held: self })
    }

    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.0.iter().map(OwnedSemaphorePermit::num_permits).sum()
    }

    /// Adds memory that was taken from the same account, or from another one.
    pub(crate) fn add(&mut self, permit: OwnedSemaphorePermit) {
        match self.0.iter_mut().find(|it| Arc::ptr_eq(it.semaphore(), permit.semaphore())) {
            Some(known) => known.merge(permit),
            None => self.0.push(permit),
        }
    }
}

impl Memory {
    /// Creates the memory of a box whose process may use a number of bytes.
    pub fn new(process_bytes: usize) -> Memory {
        let held = process_bytes as f64 * HELD_SHARE;
        Memory {
            shared: Account::new(held * (1.0 - SMALL_SHARE - HEADS_SHARE)),
            bodies: Account::new(held * BODIES_SHARE),
            small: Account::new(held * SMALL_SHARE),
            heads: Account::new(held * HEADS_SHARE),
            deliveries: Rc::default(),
        }
    }

    /// Takes memory for a part of a request's body: of the bodies' part and of the shared one.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub(crate) fn take_for_body(&self, bytes: usize, held: &mut Held) -> Result<(), Exhausted> {
        let body = self.bodies.take(bytes)?;
        held.add(self.shared.take(bytes)?);
        held.add(body);
        Ok(())
    }

    /// Takes memory for a part of a head.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub fn take_for_head(&self, bytes: usize, held: &mut Held) -> Result<(), Exhausted> {
        held.add(self.heads.take(bytes)?);
        Ok(())
    }

    /// Takes memory for a part of an answer.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub(crate) fn take_for_answer(
        &self,
        bytes: usize,
        is_beginning: bool,
    ) -> Result<OwnedSemaphorePermit, Exhausted> {
        let beginning = if is_beginning { self.small.take(bytes) } else { Err(Exhausted) };
        beginning.or_else(|_| self.shared.take(bytes))
    }

    /// Returns bytes of a stream that hold their memory until they are dropped, after waiting for it if
    /// necessary. `on_wait` is called before.
    pub async fn hold_events(&self, bytes: Bytes, on_wait: impl FnOnce()) -> Bytes {
        let length = bytes.len() + OVERHEAD_BYTES;
        let is_beginning = length <= SMALL_BYTES;
        let permit = match self.take_for_answer(length, is_beginning) {
            Ok(permit) => permit,
            Err(Exhausted) => {
                on_wait();
                self.wait_for_answer(length, is_beginning).await
            }
        };
        Held(vec![permit]).attach(bytes)
    }

    /// Waits for memory for a part of an answer. Clients that make no progress are disconnected.
    pub(crate) async fn wait_for_answer(
        &self,
        bytes: usize,
        is_beginning: bool,
    ) -> OwnedSemaphorePermit {
        loop {
            self.deliveries.close_slowest(Instant::now());
            tokio::time::sleep(RETRY_INTERVAL).await;
            if let Ok(permit) = self.take_for_answer(bytes, is_beginning) {
                return permit;
            }
        }
    }
}

/// Bytes with the memory that they take.
struct Owner<T> {
    /// The bytes.
    bytes: T,
    /// The memory.
    _held: Held,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Owner<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

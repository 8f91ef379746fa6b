//! The memory of answers that are kept until they are whole, and of events until they are complete.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::memory::{Exhausted, Held, Memory, SMALL_BYTES};

/// How much memory a growing answer takes ahead, in bytes.
const GROWTH_BYTES: usize = 64 << 10;

/// How long an answer waits for memory. Clients that make no progress are disconnected meanwhile.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// The number of incomplete bytes of a stream from which on memory is taken for them. Most events come
/// whole.
const MIN_RESERVED_BYTES: usize = 8 << 10;

/// How often the reader of events keeps each of the bytes.
const READER_COPIES: usize = 2;

/// Memory that is taken for bytes that are arriving.
#[derive(Debug)]
pub struct Reservation<'a> {
    /// What was taken.
    held: Held,
    /// The memory of the box.
    memory: &'a Memory,
}

impl<'a> Reservation<'a> {
    /// Creates a reservation of nothing.
    pub fn new(memory: &'a Memory) -> Reservation<'a> {
        Reservation { held: Held::default(), memory }
    }

    /// Takes memory for a length, after waiting for it if necessary. `on_wait` is called before that.
    ///
    /// # Errors
    ///
    /// If there is none for too long.
    pub async fn reserve(&mut self, length: usize, on_wait: impl Fn()) -> Result<(), Exhausted> {
        for (end, is_beginning) in [(length.min(SMALL_BYTES), true), (length, false)] {
            let lacking = end.saturating_sub(self.held.len());
            if lacking > 0 {
                self.take(lacking, is_beginning, &on_wait).await?;
            }
        }
        Ok(())
    }

    /// Takes memory for the incomplete events of a stream, or gives it back if there are few bytes of
    /// them.
    ///
    /// # Errors
    ///
    /// As [`Reservation::reserve`].
    pub async fn reserve_events(
        &mut self,
        length: usize,
        on_wait: impl Fn(),
    ) -> Result<(), Exhausted> {
        if length < MIN_RESERVED_BYTES {
            self.held = Held::default();
            return Ok(());
        }
        self.reserve(length * READER_COPIES, on_wait).await
    }

    /// Takes memory, after waiting for it if necessary.
    async fn take(
        &mut self,
        bytes: usize,
        is_beginning: bool,
        on_wait: &impl Fn(),
    ) -> Result<(), Exhausted> {
        let permit = match self.memory.take_for_answer(bytes, is_beginning) {
            Ok(permit) => permit,
            Err(Exhausted) => {
                on_wait();
                let waiting = self.memory.wait_for_answer(bytes, is_beginning);
                tokio::time::timeout(MAX_WAIT, waiting).await.map_err(|_| Exhausted)?
            }
        };
        self.held.add(permit);
        Ok(())
    }
}

/// An answer that is arriving.
#[derive(Debug)]
pub struct Buffer<'a> {
    /// What has arrived.
    bytes: BytesMut,
    /// The memory that it takes.
    reservation: Reservation<'a>,
}

impl<'a> Buffer<'a> {
    /// Creates an empty answer.
    pub fn new(memory: &'a Memory) -> Buffer<'a> {
        Buffer { bytes: BytesMut::new(), reservation: Reservation::new(memory) }
    }

    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes memory for an announced length, as [`Reservation::reserve`] does.
    ///
    /// # Errors
    ///
    /// If there is none for too long.
    pub async fn reserve(&mut self, length: usize, on_wait: impl Fn()) -> Result<(), Exhausted> {
        self.reservation.reserve(length, on_wait).await
    }

    /// Appends a part, and takes memory for what was not reserved.
    ///
    /// # Errors
    ///
    /// If there is none for too long.
    pub async fn push(&mut self, part: &[u8], on_wait: impl Fn()) -> Result<(), Exhausted> {
        let length = self.bytes.len() + part.len();
        if length > self.reservation.held.len() {
            let ahead = if length > SMALL_BYTES { GROWTH_BYTES } else { 0 };
            self.reserve(length + ahead, on_wait).await?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the answer. Its memory is free again once the last reference to it is dropped.
    pub fn freeze(self) -> Bytes {
        self.reservation.held.attach(self.bytes)
    }
}

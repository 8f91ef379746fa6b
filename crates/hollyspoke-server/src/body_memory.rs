//! The memory that the bodies of clients' requests take, for all connections together.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The bytes that bodies may take together. Besides these, a box that is given 110 MB has room for
/// engines' answers and its own state.
pub const MAX_BODIES_BYTES: u32 = 32 << 20;

/// A body that finds no free memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

/// The memory for bodies.
#[derive(Debug, Clone)]
pub struct Memory {
    /// The bytes that are free.
    free: Arc<Semaphore>,
}

impl Default for Memory {
    /// Creates the memory of a box, all of it free.
    fn default() -> Memory {
        Memory { free: Arc::new(Semaphore::new(MAX_BODIES_BYTES as usize)) }
    }
}

impl Memory {
    /// Returns an empty body with memory for its announced length.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub fn reserve(&self, length: usize) -> Result<Buffer, Exhausted> {
        let permit = self.take(length)?;
        Ok(Buffer { bytes: BytesMut::with_capacity(length), permit, memory: self.clone() })
    }

    /// Takes free memory.
    fn take(&self, length: usize) -> Result<OwnedSemaphorePermit, Exhausted> {
        let length = u32::try_from(length).map_err(|_| Exhausted)?;
        self.free.clone().try_acquire_many_owned(length).map_err(|_| Exhausted)
    }
}

/// A body that is arriving.
#[derive(Debug)]
pub struct Buffer {
    /// What has arrived.
    bytes: BytesMut,
    /// The memory that it takes.
    permit: OwnedSemaphorePermit,
    /// The memory of the box.
    memory: Memory,
}

impl Buffer {
    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends a part, and takes memory for what was not announced.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Exhausted> {
        let length = self.bytes.len() + part.len();
        let lacking = length.saturating_sub(self.permit.num_permits());
        if lacking > 0 {
            self.permit.merge(self.memory.take(lacking)?);
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body. Its memory is free again once the last reference to it is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(Body { bytes: self.bytes, _permit: self.permit })
    }
}

/// A body that has arrived.
struct Body {
    /// The bytes.
    bytes: BytesMut,
    /// The memory that they take.
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

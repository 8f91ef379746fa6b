//! The bodies of clients' requests while they arrive.

use bytes::{Bytes, BytesMut};

use crate::memory::{DEFAULT_MEMORY_BYTES, Exhausted, Held, Memory};

/// The bytes that bodies may take together at a box whose settings don't limit its memory.
pub const MAX_BODIES_BYTES: u32 = (DEFAULT_MEMORY_BYTES / 4) as u32;

/// A body that is arriving.
#[derive(Debug)]
pub struct Buffer {
    /// What has arrived.
    bytes: BytesMut,
    /// The number of bytes for which memory was taken.
    length: usize,
    /// The memory.
    held: Held,
    /// The memory of the box.
    memory: Memory,
}

impl Buffer {
    /// Creates an empty body with memory for its announced length.
    ///
    /// # Errors
    ///
    /// If not as much is free.
    pub fn new(memory: &Memory, length: usize) -> Result<Buffer, Exhausted> {
        let memory = memory.clone();
        let mut buffer =
            Buffer { bytes: BytesMut::new(), length: 0, held: Held::default(), memory };
        buffer.grow(length)?;
        buffer.bytes.reserve(length);
        Ok(buffer)
    }

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
        self.grow(self.bytes.len() + part.len())?;
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Takes the memory that is lacking for a length.
    fn grow(&mut self, length: usize) -> Result<(), Exhausted> {
        if length > self.length {
            self.memory.take_for_body(length - self.length, &mut self.held)?;
            self.length = length;
        }
        Ok(())
    }

    /// Returns the body. Its memory is free again once the last reference to it is dropped.
    pub fn freeze(self) -> Bytes {
        self.held.attach(self.bytes)
    }
}

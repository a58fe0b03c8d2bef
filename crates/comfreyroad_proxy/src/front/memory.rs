use std::cell::Cell;
use std::rc::Rc;

/// Bytes of a body that are always admitted. Most bodies are shorter, so that a few long ones cannot keep them out.
const FREE_BYTES: usize = 64 * 1024;
/// Bytes taken by a body for each byte that was read: its buffer grows by doubling.
const BUFFER_FACTOR: usize = 2;
/// Part (1/16) of the memory of the VM that bodies may take together, beyond the bytes that are always admitted.
const VM_MEMORY_DIVISOR: usize = 16;
/// Least memory for bodies, which has room for one of the longest that configurations usually allow (4 MiB).
const MIN_BYTES: usize = 8 * 1024 * 1024;

/// The memory that the bodies of requests and responses share.
#[derive(Clone, Debug)]
pub struct Memory {
    max_bytes: usize,
    taken: Rc<Cell<usize>>,
}

/// The share of one body, released on drop.
#[derive(Debug)]
pub struct Share {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// Creates the memory for bodies on a VM with so many bytes.
    pub fn of_vm(bytes: usize) -> Self {
        Self {
            max_bytes: (bytes / VM_MEMORY_DIVISOR).max(MIN_BYTES),
            taken: Rc::default(),
        }
    }

    /// An empty share.
    pub fn share(&self) -> Share {
        Share {
            memory: self.clone(),
            bytes: 0,
        }
    }
}

impl Share {
    /// Extends the share to the length of a body. Returns false if there is no memory left.
    pub fn extend_to(&mut self, length: usize) -> bool {
        bytes_taken(length) <= self.bytes || self.resize_to(length)
    }

    /// Changes the share to the length of what is left of a body. Returns false if it grows and there is no memory left.
    pub fn resize_to(&mut self, length: usize) -> bool {
        let wanted = bytes_taken(length);
        let taken = &self.memory.taken;
        let others = taken.get() - self.bytes;
        if wanted > self.bytes && others + wanted > self.memory.max_bytes {
            return false;
        }
        taken.set(others + wanted);
        self.bytes = wanted;
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let taken = &self.memory.taken;
        taken.set(taken.get() - self.bytes);
    }
}

/// Bytes that a body of a length takes beyond those that are always admitted.
fn bytes_taken(length: usize) -> usize {
    (length * BUFFER_FACTOR).saturating_sub(FREE_BYTES)
}

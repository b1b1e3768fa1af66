//! Bounded buffers for responses; see `docs/platform.md`, "Bytes without end".

use std::{cell::Cell, rc::Rc};

use bytes::Bytes;

/// Largest response that is complete before it is passed on, so that another upstream can answer instead of one that breaks
/// off.
const MAX_BUFFERED_RESPONSE: usize = 256 * 1024;
/// Bytes of responses that are buffered at the same time; the smallest gateways have 88 MB of memory.
const MAX_BUFFERED_BYTES: usize = 8 * 1024 * 1024;

/// Memory for the responses that a gateway buffers at the same time; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Buffers {
    /// Bytes in use.
    used: Rc<Cell<usize>>,
}

/// Buffered part of a response; its memory is in use until it is dropped.
#[derive(Debug)]
pub struct Buffer {
    buffers: Buffers,
    body: Vec<u8>,
}

impl Buffers {
    /// Starts the buffer of a response.
    pub fn start(&self) -> Buffer {
        Buffer { buffers: self.clone(), body: Vec::new() }
    }
}

impl Buffer {
    /// Whether another part fits.
    pub fn has_room_for(&self, part: &Bytes) -> bool {
        self.body.len() + part.len() <= MAX_BUFFERED_RESPONSE
            && self.buffers.used.get() + part.len() <= MAX_BUFFERED_BYTES
    }

    /// Appends a part.
    pub fn push(&mut self, part: &Bytes) {
        self.body.extend_from_slice(part);
        self.buffers.used.set(self.buffers.used.get() + part.len());
    }

    /// Returns what was buffered, followed by a part that did not fit.
    pub fn finish(mut self, last: Option<&Bytes>) -> Bytes {
        self.release();
        let mut body = std::mem::take(&mut self.body);
        body.extend_from_slice(last.map_or(&[], |part| part));
        body.into()
    }

    fn release(&self) {
        self.buffers.used.set(self.buffers.used.get() - self.body.len());
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.release();
    }
}

//! Body of an answer that is being read.

use {
    bytes::{Bytes, BytesMut},
    std::collections::VecDeque,
};

/// Size of the segments of a large body. One contiguous buffer would be
/// reallocated again and again, and leave the heap fragmented.
const SEGMENT_BYTES: usize = 64 << 10;

/// Part of a body that has arrived.
#[derive(Debug, Default)]
pub struct Body {
    segments: VecDeque<BytesMut>,
    len: usize,
}

impl Body {
    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of bytes for which memory is allocated.
    pub fn capacity(&self) -> usize {
        let last = self.segments.back().map_or(0, BytesMut::capacity);
        self.segments.len().saturating_sub(1) * SEGMENT_BYTES + last
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.segments.back().is_none_or(|last| last.len() == SEGMENT_BYTES) {
                // Most bodies have a single small segment.
                let first = bytes.len().min(SEGMENT_BYTES);
                let size = if self.segments.is_empty() { first } else { SEGMENT_BYTES };
                self.segments.push_back(BytesMut::with_capacity(size));
            }
            let Some(last) = self.segments.back_mut() else { return };
            let (now, later) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - last.len()));
            last.extend_from_slice(now);
            bytes = later;
        }
    }

    /// Takes some of the first bytes; `None` if there are none.
    pub fn take(&mut self) -> Option<Bytes> {
        let first = self.segments.pop_front()?;
        self.len -= first.len();
        Some(first.freeze())
    }

    /// Returns all bytes.
    pub fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop_back().unwrap_or_default().freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.len);
        self.segments.drain(..).for_each(|segment| bytes.extend_from_slice(&segment));
        bytes.freeze()
    }
}

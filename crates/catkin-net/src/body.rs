//! Body of an answer that is being read.

use bytes::{Bytes, BytesMut};

/// Size of the segments of a large body. One contiguous buffer would be
/// reallocated again and again, and leave the heap fragmented.
const SEGMENT_BYTES: usize = 64 << 10;

/// Part of a body that has arrived.
#[derive(Debug, Default)]
pub(crate) struct Body {
    segments: Vec<BytesMut>,
    len: usize,
}

impl Body {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of bytes for which memory is allocated.
    pub(crate) fn capacity(&self) -> usize {
        let last = self.segments.last().map_or(0, BytesMut::capacity);
        self.segments.len().saturating_sub(1) * SEGMENT_BYTES + last
    }

    /// Appends bytes.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.segments.last().is_none_or(|last| last.len() == SEGMENT_BYTES) {
                // Most bodies have a single small segment.
                let first = bytes.len().min(SEGMENT_BYTES);
                let size = if self.segments.is_empty() { first } else { SEGMENT_BYTES };
                self.segments.push(BytesMut::with_capacity(size));
            }
            let Some(last) = self.segments.last_mut() else { return };
            let (now, later) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - last.len()));
            last.extend_from_slice(now);
            bytes = later;
        }
    }

    /// Returns all bytes.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default().freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.len);
        self.segments.drain(..).for_each(|segment| bytes.extend_from_slice(&segment));
        bytes.freeze()
    }
}

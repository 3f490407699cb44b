//! Request bodies of uploads, generated in chunks while they are sent.

use {
    bytes::Bytes,
    catkin::types::Span,
    futures_util::{Stream, stream},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{convert::Infallible, rc::Rc},
};

const CHUNK_BYTES: usize = 64 << 10;

/// Creates request bodies that repeat one random block. Each starts with the
/// bytes of its number, so that bodies differ.
pub(crate) struct Bodies {
    block: Bytes,
}

/// A request body whose chunks are generated on demand.
#[derive(Clone)]
pub(crate) struct Body {
    block: Bytes,
    number: u64,
    length: u64,
}

impl Bodies {
    /// Draws the block that all bodies repeat from the seed.
    pub(crate) fn new(seed: u64) -> Rc<Self> {
        let mut block = vec![0; CHUNK_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut block);
        Rc::new(Self { block: block.into() })
    }

    /// Creates the body of the request with this number, `length` bytes long.
    pub(crate) fn create(&self, number: u64, length: u64) -> Body {
        Body { block: self.block.clone(), number, length }
    }
}

impl Body {
    /// Returns the CRC-32 of the whole body.
    pub(crate) fn checksum(&self) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        self.chunks().for_each(|chunk| hasher.update(&chunk));
        hasher.finalize()
    }

    /// Streams the body in chunks, with a pause of `pace` between two of them.
    pub(crate) fn stream(&self, pace: Span) -> impl Stream<Item = Result<Bytes, Infallible>> + use<> {
        let chunks = self.clone().into_chunks();
        stream::unfold((chunks, true), move |(mut chunks, is_first)| async move {
            let chunk = chunks.next()?;
            if !is_first && !pace.is_zero() {
                actix_rt::time::sleep(pace.as_duration()).await;
            }
            Some((Ok(chunk), (chunks, false)))
        })
    }

    fn chunks(&self) -> impl Iterator<Item = Bytes> {
        self.clone().into_chunks()
    }

    fn into_chunks(self) -> impl Iterator<Item = Bytes> {
        let mut offset = 0;
        std::iter::from_fn(move || {
            let size = usize::try_from(self.length - offset).unwrap_or(usize::MAX).min(CHUNK_BYTES);
            let chunk = if offset == 0 { self.first_chunk(size) } else { self.block.slice(..size) };
            offset += size as u64;
            (size > 0).then_some(chunk)
        })
    }

    fn first_chunk(&self, size: usize) -> Bytes {
        let mut chunk = self.block[..size].to_vec();
        chunk.iter_mut().zip(self.number.to_le_bytes()).for_each(|(byte, digit)| *byte = digit);
        chunk.into()
    }
}

//! Bodies of uploads.

use {
    bytes::Bytes,
    catkin::types::Span,
    futures_util::{Stream, stream},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{convert::Infallible, rc::Rc},
};

const PART_BYTES: usize = 64 << 10;

/// Makes bodies that differ from each other in their first bytes.
pub(crate) struct Bodies {
    block: Bytes,
}

/// A body that is not yet made.
#[derive(Clone)]
pub(crate) struct Body {
    block: Bytes,
    number: u64,
    length: u64,
}

impl Bodies {
    /// Draws the block of which all bodies are made.
    pub(crate) fn new(seed: u64) -> Rc<Self> {
        let mut block = vec![0; PART_BYTES];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut block);
        Rc::new(Self { block: block.into() })
    }

    /// Returns the body with a number.
    pub(crate) fn get(&self, number: u64, length: u64) -> Body {
        Body { block: self.block.clone(), number, length }
    }
}

impl Body {
    /// Returns the CRC-32 of the body.
    pub(crate) fn checksum(&self) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        self.parts().for_each(|part| sum.update(&part));
        sum.finalize()
    }

    /// Returns the body in parts, with a pause between two of them.
    pub(crate) fn stream(&self, pace: Span) -> impl Stream<Item = Result<Bytes, Infallible>> + use<> {
        let parts = self.clone().into_parts();
        stream::unfold((parts, true), move |(mut parts, is_first)| async move {
            let part = parts.next()?;
            if !is_first && !pace.is_zero() {
                actix_rt::time::sleep(pace.as_duration()).await;
            }
            Some((Ok(part), (parts, false)))
        })
    }

    fn parts(&self) -> impl Iterator<Item = Bytes> {
        self.clone().into_parts()
    }

    fn into_parts(self) -> impl Iterator<Item = Bytes> {
        let mut at = 0;
        std::iter::from_fn(move || {
            let left = usize::try_from(self.length - at).unwrap_or(usize::MAX).min(PART_BYTES);
            let part = if at == 0 { self.first(left) } else { self.block.slice(..left) };
            at += left as u64;
            (left > 0).then_some(part)
        })
    }

    fn first(&self, length: usize) -> Bytes {
        let mut part = self.block[..length].to_vec();
        part.iter_mut().zip(self.number.to_le_bytes()).for_each(|(byte, own)| *byte = own);
        part.into()
    }
}

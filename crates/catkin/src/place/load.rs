//! Measured load of slices, and detection of their hot keys.

use {
    crate::types::{Key, Rate, Service, SliceId, Span, Time},
    std::{collections::BTreeMap, mem::size_of},
};

/// Time constant of the decay. The measured load shows a move within a few of
/// these, and tracks hot keys that change within minutes.
pub const DECAY_TIME: Span = Span::from_secs(5);

/// Maximum number of keys in one sketch. A key with more than a quarter of a
/// slice's load is always among them.
const SKETCH_KEYS_MAX: usize = 4;
/// Maximum number of slices of a service that have a sketch, the hottest ones.
/// This bounds the memory; a key that matters for the balance makes its slice one
/// of them.
const SKETCHES_MAX: usize = 256;
/// Least age over which a rate is computed. The first requests of a new slice
/// say little about its rate.
const RATE_AGE_MIN: Span = Span::from_secs(1);
/// Decayed sum below which a slice is removed from the table.
const LOAD_MIN: f64 = 1e-3;

/// A sum that decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    sum: f64,
    updated_at: Time,
}

impl Decayed {
    fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.sum_at(now) + amount;
        self.updated_at = now;
    }

    fn sum_at(self, now: Time) -> f64 {
        self.sum * decay_factor(now.since(self.updated_at))
    }
}

fn decay_factor(span: Span) -> f64 {
    (-span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}

/// A bounded sketch of the heaviest keys (Space-Saving algorithm). A key that
/// is not in it replaces the lightest one and inherits its weight as error.
#[derive(Clone, Debug, Default)]
pub struct Sketch {
    since: Option<Time>,
    updated_at: Time,
    keys: Vec<HeavyKey>,
}

#[derive(Clone, Debug)]
struct HeavyKey {
    key: Key,
    weight: f64,
    error: f64,
}

impl Sketch {
    /// Adds the weight of one request.
    pub fn add(&mut self, now: Time, key: &Key, weight: f64) {
        let factor = decay_factor(now.since(self.updated_at));
        self.updated_at = now;
        self.since.get_or_insert(now);
        for heavy in &mut self.keys {
            heavy.weight *= factor;
            heavy.error *= factor;
        }
        if let Some(heavy) = self.keys.iter_mut().find(|heavy| heavy.key == *key) {
            heavy.weight += weight;
        } else if self.keys.len() < SKETCH_KEYS_MAX {
            self.keys.push(HeavyKey { key: key.clone(), weight, error: 0.0 });
        } else if let Some(lightest) = self.keys.iter_mut().min_by(|a, b| a.weight.total_cmp(&b.weight)) {
            let error = lightest.weight;
            *lightest = HeavyKey { key: key.clone(), weight: error + weight, error };
        }
    }

    /// Returns the keys with a lower bound of their weight, heaviest first.
    pub fn heaviest(&self) -> Vec<(&Key, f64)> {
        let mut keys: Vec<_> =
            self.keys.iter().map(|heavy| (&heavy.key, heavy.weight - heavy.error)).collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys
    }

    fn bytes(&self) -> usize {
        let text = |heavy: &HeavyKey| heavy.key.as_str().len() + 2 * size_of::<usize>();
        self.keys.capacity() * size_of::<HeavyKey>() + self.keys.iter().map(text).sum::<usize>()
    }
}

#[derive(Clone, Debug, Default)]
struct SliceLoad {
    since: Time,
    sum: Decayed,
    sketch: Option<Box<Sketch>>,
}

impl SliceLoad {
    fn rate(&self, now: Time) -> f64 {
        self.sum.sum_at(now) / window_secs(now, self.since)
    }
}

/// Returns the effective length in seconds of the window of a decayed sum,
/// which is less than the time constant while the sum is young.
fn window_secs(now: Time, since: Time) -> f64 {
    let age = now.since(since).max(RATE_AGE_MIN);
    DECAY_TIME.as_secs_f64() * (1.0 - decay_factor(age))
}

/// Loads of the slices whose owners this VM keeps.
#[derive(Clone, Debug, Default)]
pub struct SliceLoads {
    services: BTreeMap<Service, BTreeMap<SliceId, SliceLoad>>,
}

impl SliceLoads {
    /// Creates a table without slices.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that was sent to the owner of a slice. The weight is
    /// the time for which it occupies a slot, or 1 to count requests; all VMs
    /// must use the same unit.
    pub fn record(&mut self, now: Time, service: &Service, slice: SliceId, key: &Key, weight: f64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(slices) = self.services.get_mut(service) else { return };
        // The first request only starts the measurement: a span that begins
        // with a request holds one request more than its rate says.
        let Some(slice) = slices.get_mut(&slice) else {
            let sum = Decayed { sum: 0.0, updated_at: now };
            slices.insert(slice, SliceLoad { since: now, sum, sketch: None });
            return;
        };
        slice.sum.add(now, weight);
        if let Some(sketch) = &mut slice.sketch {
            sketch.add(now, key, weight);
        }
    }

    /// Removes slices without load, and gives a sketch to the hottest of the rest.
    /// Call it before each plan.
    pub fn sweep(&mut self, now: Time) {
        for slices in self.services.values_mut() {
            slices
                .retain(|_, slice| now.since(slice.since) < DECAY_TIME || slice.sum.sum_at(now) >= LOAD_MIN);
            let mut rates: Vec<f64> = slices.values().map(|slice| slice.rate(now)).collect();
            rates.sort_by(|a, b| b.total_cmp(a));
            let threshold = rates.get(SKETCHES_MAX).copied().unwrap_or_default();
            for slice in slices.values_mut() {
                if slice.rate(now) > threshold {
                    slice.sketch.get_or_insert_default();
                } else {
                    slice.sketch = None;
                }
            }
        }
    }

    /// Removes a slice, when another VM has become the keeper of its owner.
    pub fn forget(&mut self, service: &Service, slice: SliceId) {
        if let Some(slices) = self.services.get_mut(service) {
            slices.remove(&slice);
        }
    }

    /// Returns the load of a slice, 0 if it is not in the table.
    pub fn rate(&self, now: Time, service: &Service, slice: SliceId) -> Rate {
        let slice = self.services.get(service).and_then(|slices| slices.get(&slice));
        Rate::from_per_second(slice.map_or(0.0, |slice| slice.rate(now)))
    }

    /// Returns the heavy keys of a slice with a lower bound of their load,
    /// heaviest first. A sketch is used only from the age of [`DECAY_TIME`],
    /// because a younger one understates its keys.
    pub fn heavy_keys(&self, now: Time, service: &Service, slice: SliceId) -> Vec<(Key, Rate)> {
        let slice = self.services.get(service).and_then(|slices| slices.get(&slice));
        let Some(sketch) = slice.and_then(|slice| slice.sketch.as_ref()) else { return Vec::new() };
        let since = sketch.since.unwrap_or(now);
        if now.since(since) < DECAY_TIME {
            return Vec::new();
        }
        let factor = decay_factor(now.since(sketch.updated_at)) / window_secs(now, since);
        let keys = sketch.heaviest().into_iter();
        keys.map(|(key, weight)| (key.clone(), Rate::from_per_second(weight * factor))).collect()
    }

    /// Returns the memory that the table uses, in bytes, without the nodes of
    /// its maps.
    pub fn bytes(&self) -> usize {
        let slice = |slice: &SliceLoad| {
            let sketch = slice.sketch.as_ref().map_or(0, |s| size_of::<Sketch>() + s.bytes());
            size_of::<SliceId>() + size_of::<SliceLoad>() + sketch
        };
        self.services.values().flat_map(BTreeMap::values).map(slice).sum()
    }
}

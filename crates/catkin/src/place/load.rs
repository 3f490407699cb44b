//! Measured load of slices and the hot keys in them.

use {
    crate::types::{Key, Rate, Service, SliceId, Span, Time},
    std::{collections::BTreeMap, mem::size_of},
};

/// Time constant of the decay. A move is answered by the measure within a few
/// of these, and hot keys that change within minutes are followed.
pub const DECAY: Span = Span::from_secs(5);

/// Keys of one sketch. A key with more than a quarter of a slice's load is
/// always among them.
const SKETCH_KEYS: usize = 4;
/// Slices of a service that have a sketch, the hottest ones. This bounds the
/// memory; a key that matters for the balance makes its slice one of them.
const SKETCHES_MAX: usize = 256;
/// Age from which a rate is trusted. The first requests of a new slice say
/// little about it.
const AGE_MIN: Span = Span::from_secs(1);
/// Decayed sum below which a slice is forgotten.
const FORGET_BELOW: f64 = 1e-3;

/// A sum that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    sum: f64,
    at: Time,
}

impl Decayed {
    fn add(&mut self, now: Time, amount: f64) {
        self.sum = self.sum_at(now) + amount;
        self.at = now;
    }

    fn sum_at(self, now: Time) -> f64 {
        self.sum * decay(now.since(self.at))
    }
}

fn decay(span: Span) -> f64 {
    (-span.as_secs_f64() / DECAY.as_secs_f64()).exp()
}

/// A bounded sketch of the heaviest keys (Space-Saving). A key that is not in
/// it takes the place of the lightest one and inherits its weight as error.
#[derive(Clone, Debug, Default)]
pub struct Sketch {
    since: Option<Time>,
    at: Time,
    keys: Vec<Heavy>,
}

#[derive(Clone, Debug)]
struct Heavy {
    key: Key,
    weight: f64,
    error: f64,
}

impl Sketch {
    /// Adds the weight of one request.
    pub fn add(&mut self, now: Time, key: &Key, weight: f64) {
        let factor = decay(now.since(self.at));
        self.at = now;
        self.since.get_or_insert(now);
        for heavy in &mut self.keys {
            heavy.weight *= factor;
            heavy.error *= factor;
        }
        if let Some(heavy) = self.keys.iter_mut().find(|heavy| heavy.key == *key) {
            heavy.weight += weight;
        } else if self.keys.len() < SKETCH_KEYS {
            self.keys.push(Heavy { key: key.clone(), weight, error: 0.0 });
        } else if let Some(least) = self.keys.iter_mut().min_by(|a, b| a.weight.total_cmp(&b.weight)) {
            let error = least.weight;
            *least = Heavy { key: key.clone(), weight: error + weight, error };
        }
    }

    /// Returns the keys with the weight that they certainly have, heaviest
    /// first.
    pub fn heaviest(&self) -> Vec<(&Key, f64)> {
        let mut keys: Vec<_> =
            self.keys.iter().map(|heavy| (&heavy.key, heavy.weight - heavy.error)).collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys
    }

    fn bytes(&self) -> usize {
        let text = |heavy: &Heavy| heavy.key.as_str().len() + 2 * size_of::<usize>();
        self.keys.capacity() * size_of::<Heavy>() + self.keys.iter().map(text).sum::<usize>()
    }
}

#[derive(Clone, Debug, Default)]
struct Slice {
    since: Time,
    sum: Decayed,
    sketch: Option<Box<Sketch>>,
}

impl Slice {
    fn rate(&self, now: Time) -> f64 {
        self.sum.sum_at(now) / window(now, self.since)
    }
}

/// Returns the seconds over which a decayed sum has been taken, which is less
/// than the time constant while the sum is young.
fn window(now: Time, since: Time) -> f64 {
    let age = now.since(since).max(AGE_MIN);
    DECAY.as_secs_f64() * (1.0 - decay(age))
}

/// Loads of the slices whose owners this VM keeps.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    services: BTreeMap<Service, BTreeMap<SliceId, Slice>>,
}

impl Loads {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request that was sent to the owner of a slice. The weight is
    /// the time that it takes of a slot, or 1 to count requests; all VMs must
    /// use the same.
    pub fn note(&mut self, now: Time, service: &Service, slice: SliceId, key: &Key, weight: f64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(slices) = self.services.get_mut(service) else { return };
        // The first request only starts the measure: the span that begins with
        // it has one request more than its rate says.
        let Some(slice) = slices.get_mut(&slice) else {
            let sum = Decayed { sum: 0.0, at: now };
            slices.insert(slice, Slice { since: now, sum, sketch: None });
            return;
        };
        slice.sum.add(now, weight);
        if let Some(sketch) = &mut slice.sketch {
            sketch.add(now, key, weight);
        }
    }

    /// Chooses the slices that have a sketch and forgets those without load.
    /// It is called before each plan.
    pub fn sweep(&mut self, now: Time) {
        for slices in self.services.values_mut() {
            slices.retain(|_, slice| now.since(slice.since) < DECAY || slice.sum.sum_at(now) >= FORGET_BELOW);
            let mut rates: Vec<f64> = slices.values().map(|slice| slice.rate(now)).collect();
            rates.sort_by(|a, b| b.total_cmp(a));
            let from = rates.get(SKETCHES_MAX).copied().unwrap_or_default();
            for slice in slices.values_mut() {
                if slice.rate(now) > from {
                    slice.sketch.get_or_insert_default();
                } else {
                    slice.sketch = None;
                }
            }
        }
    }

    /// Forgets a slice, because another VM keeps its owner now.
    pub fn forget(&mut self, service: &Service, slice: SliceId) {
        if let Some(slices) = self.services.get_mut(service) {
            slices.remove(&slice);
        }
    }

    /// Returns the load of a slice.
    pub fn rate(&self, now: Time, service: &Service, slice: SliceId) -> Rate {
        let slice = self.services.get(service).and_then(|slices| slices.get(&slice));
        Rate::from_per_second(slice.map_or(0.0, |slice| slice.rate(now)))
    }

    /// Returns the heavy keys of a slice with the load that they certainly
    /// have, heaviest first. A sketch is used once it is as old as the decay,
    /// because a younger one understates its keys.
    pub fn heavy(&self, now: Time, service: &Service, slice: SliceId) -> Vec<(Key, Rate)> {
        let slice = self.services.get(service).and_then(|slices| slices.get(&slice));
        let Some(sketch) = slice.and_then(|slice| slice.sketch.as_ref()) else { return Vec::new() };
        let since = sketch.since.unwrap_or(now);
        if now.since(since) < DECAY {
            return Vec::new();
        }
        let factor = decay(now.since(sketch.at)) / window(now, since);
        let keys = sketch.heaviest().into_iter();
        keys.map(|(key, weight)| (key.clone(), Rate::from_per_second(weight * factor))).collect()
    }

    /// Returns the memory that the table holds, in bytes, without the nodes
    /// of its maps.
    pub fn bytes(&self) -> usize {
        let slice = |slice: &Slice| {
            let sketch = slice.sketch.as_ref().map_or(0, |s| size_of::<Sketch>() + s.bytes());
            size_of::<SliceId>() + size_of::<Slice>() + sketch
        };
        self.services.values().flat_map(BTreeMap::values).map(slice).sum()
    }
}

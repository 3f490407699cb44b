//! Assignments of slices.

use {
    super::Keepers,
    crate::{
        Code, Error,
        config::Fleet,
        record::{Move, SplitOff, Writer},
        types::{Fence, Key, Offset, Service, SliceId, TargetId, Version},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Seed of the hash that maps keys to slices. It must be the same for all readers,
/// because they would otherwise map one key to different slices.
const KEY_HASH_SEED: u64 = 0x6361_746b_696e;

/// Maximum number of keys that are split off in one service.
pub const SPLIT_KEYS_MAX: usize = 1_024;

/// Assignment of a slice to its owner and standby.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRow {
    /// Target that serves the slice.
    pub owner: TargetId,
    /// Target that takes over if the owner fails.
    pub standby: Option<TargetId>,
    /// Version that the next move of the slice must expect.
    pub version: Version,
    /// Fence under which the owner serves the slice.
    pub fence: Fence,
    /// Previous owner with its fence. It may be the same target.
    pub previous: Option<(TargetId, Fence)>,
    /// For the slice of a key that was split off: the slice that held the key
    /// before, with the last fence under which it did.
    pub parent: Option<(SliceId, Fence)>,
}

/// Slices of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Layout {
    /// Configured number of slices. It never changes, because readers at two
    /// revisions would map one key to two slices.
    count: u32,
    /// Keys that were split off, with their slices.
    split_off: BTreeMap<Key, SliceId>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Slices {
    layouts: BTreeMap<Service, Layout>,
    rows: BTreeMap<(Service, SliceId), SliceRow>,
}

impl Slices {
    pub(super) fn row(&self, service: &Service, slice: SliceId) -> Option<&SliceRow> {
        self.rows.get(&(service.clone(), slice))
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = (&Service, SliceId, &SliceRow)> {
        self.rows.iter().map(|((service, slice), row)| (service, *slice, row))
    }

    pub(super) fn split_off(&self, service: &Service) -> impl Iterator<Item = (&Key, SliceId)> {
        let keys = self.layouts.get(service).into_iter().flat_map(|layout| &layout.split_off);
        keys.map(|(key, slice)| (key, *slice))
    }

    pub(super) fn slice(&self, service: &Service, key: &Key) -> Option<SliceId> {
        let layout = self.layouts.get(service)?;
        if let Some(slice) = layout.split_off.get(key) {
            return Some(*slice);
        }
        let hash = xxh3_64_with_seed(key.as_str().as_bytes(), KEY_HASH_SEED);
        let slice = hash.checked_rem(u64::from(layout.count))?;
        u32::try_from(slice).ok().map(SliceId)
    }

    /// Checks that a configuration keeps the number of slices of every service
    /// that ever had one.
    pub(super) fn check(&self, fleet: &Fleet) -> Result<(), Error> {
        for (service, entry) in &fleet.services {
            let count = self.layouts.get(service).map(|layout| layout.count);
            if count.is_some_and(|count| entry.keyed && entry.slices != count) {
                let detail =
                    format!("{} slices, the service has {}", entry.slices, count.unwrap_or_default());
                return Err(
                    Error::new(Code::ConfigRange, detail).with_path(format!("services.{service}.slices"))
                );
            }
        }
        Ok(())
    }

    pub(super) fn configure(&mut self, fleet: &Fleet) {
        for (service, entry) in fleet.services.iter().filter(|(_, entry)| entry.keyed) {
            let layout = self.layouts.entry(service.clone()).or_default();
            layout.count = entry.slices;
        }
    }

    pub(super) fn assign(
        &mut self,
        offset: Offset,
        writer: &Writer,
        keepers: &Keepers,
        service: &Service,
        slice_move: Move,
    ) -> Result<(), Error> {
        self.check_slice(service, slice_move.slice)?;
        if slice_move.standby.as_ref() == Some(&slice_move.owner) {
            return Err(Error::new(Code::BadValue, format!("{} is owner and standby", slice_move.owner)));
        }
        let row = self.rows.get(&(service.clone(), slice_move.slice));
        super::check_version(slice_move.expects, row.map(|row| row.version).unwrap_or_default())?;
        if let Some(row) = row {
            super::check_keeper(keepers, &row.owner, writer)?;
            check_provisional(row, &slice_move)?;
        }
        let row = SliceRow {
            owner: slice_move.owner,
            standby: slice_move.standby,
            version: slice_move.expects.next(),
            fence: Fence::new(offset),
            previous: row.map(|row| (row.owner.clone(), row.fence)),
            parent: row.and_then(|row| row.parent),
        };
        self.rows.insert((service.clone(), slice_move.slice), row);
        Ok(())
    }

    fn check_slice(&self, service: &Service, slice: SliceId) -> Result<(), Error> {
        let layout = self.layouts.get(service);
        let count = layout.map(|layout| layout.count as usize + layout.split_off.len()).unwrap_or_default();
        if (slice.0 as usize) < count {
            return Ok(());
        }
        Err(Error::new(Code::UnknownSlice, format!("slice {slice} of {service}, which has {count}")))
    }

    /// Splits off a hot key into a slice of its own with the same owner.
    ///
    /// The slice that held the key gets a new fence as well. A reader that has
    /// not applied this record sends the key under the old fence and must be
    /// refused once the new slice has moved.
    pub(super) fn split_key(
        &mut self,
        offset: Offset,
        writer: &Writer,
        keepers: &Keepers,
        split_off: SplitOff,
    ) -> Result<(), Error> {
        let service = split_off.service;
        let unknown =
            || Error::new(Code::UnknownSlice, format!("no assigned slice of {service} holds the key"));
        let slice = self.slice(&service, &split_off.key).ok_or_else(unknown)?;
        let layout = self.layouts.get_mut(&service).ok_or_else(unknown)?;
        let row = self.rows.get_mut(&(service.clone(), slice)).ok_or_else(unknown)?;
        super::check_version(split_off.expects, row.version)?;
        super::check_keeper(keepers, &row.owner, writer)?;
        let id = layout.count as usize + layout.split_off.len();
        let id = u32::try_from(id).map_err(|_| unknown())?;
        if layout.split_off.contains_key(&split_off.key) || layout.split_off.len() >= SPLIT_KEYS_MAX {
            let detail =
                format!("{service} has {} keys split off, at most {SPLIT_KEYS_MAX}", layout.split_off.len());
            return Err(Error::new(Code::UnknownSlice, detail));
        }
        let previous = (row.owner.clone(), row.fence);
        row.version = row.version.next();
        row.fence = Fence::new(offset);
        row.previous = Some(previous.clone());
        let own_row = SliceRow { version: Version(1), parent: Some((slice, previous.1)), ..row.clone() };
        layout.split_off.insert(split_off.key, SliceId(id));
        self.rows.insert((service, SliceId(id)), own_row);
        Ok(())
    }
}

/// Checks that a record that makes a provisional move durable replaces the row
/// from which that move was made.
fn check_provisional(row: &SliceRow, slice_move: &Move) -> Result<(), Error> {
    match slice_move.provisional {
        Some(fence) if fence != row.fence.next_step() => {
            let detail = format!("provisional fence {fence} on top of {}", row.fence);
            Err(Error::new(Code::StaleVersion, detail))
        }
        Some(_) if row.standby.as_ref() != Some(&slice_move.owner) => {
            Err(Error::new(Code::StaleVersion, format!("{} is not the standby", slice_move.owner)))
        }
        _ => Ok(()),
    }
}

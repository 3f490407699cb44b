//! The targets that the platform's directory names.

use {
    catkin::types::{Span, Time},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Time for which a target that announced its leaving still gets requests for
/// keys that it owns, so that its keys can move. With the delay of reading the
/// directory it stays under the smallest drain bound of 2 s.
const DRAIN_GRACE: Span = Span::from_millis(600);

/// Time after the return of the directory's store within which entries that
/// lapsed during the outage come back.
const RETURN_GRACE: Span = Span::from_millis(2_200);

/// Share of all entries whose removal at once means that they lapsed. Planned
/// work takes fewer away at a time.
const LAPSE_SHARE: f64 = 0.4;

/// Least number of such entries.
const LAPSE_MIN: usize = 3;

/// One process of a target. A restarted target has the same id and a later
/// start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Life {
    /// Id of the target.
    pub id: Arc<str>,
    /// Start of the process, in Unix milliseconds of the target.
    pub born: u64,
}

/// What an entry of the directory says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The process.
    pub life: Life,
    /// Its service.
    pub service: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold: Span,
}

/// A known target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its newest entry.
    pub entry: Entry,
    /// When it was first seen leaving or gone.
    pub leaving: Option<Time>,
    /// When its entry was removed while the store had been away; it counts as
    /// present until the given time.
    pub lapsed: Option<Time>,
    /// End of its slow start.
    pub cold: Time,
    /// When it last wrote its entry.
    pub heard: Time,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    targets: HashMap<Arc<str>, Target>,
    services: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    grace: Time,
    changes: u64,
}

impl Directory {
    /// Takes the number of entries that are about to be removed at once. So
    /// many never leave together: they lapsed while the store was away, and
    /// targets that live write them again. Returns whether that is so.
    pub fn lapse(&mut self, now: Time, gone: usize) -> bool {
        let many = gone as f64 >= LAPSE_SHARE * self.targets.len() as f64 && gone >= LAPSE_MIN;
        if many {
            self.grace = now.after(RETURN_GRACE);
        }
        many
    }

    /// Puts a new or changed entry in. Returns whether it says something new;
    /// targets write their entries again and again as a heartbeat.
    pub fn put(&mut self, now: Time, entry: Entry) -> bool {
        let old = self.targets.get(&entry.life.id);
        let same = old.filter(|t| t.entry.life == entry.life && t.entry.service == entry.service);
        let plain = |e: &Entry| Entry { cold: Span::ZERO, ..e.clone() };
        let new = same.is_none_or(|t| plain(&t.entry) != plain(&entry) || t.lapsed.is_some());
        self.changes += u64::from(new);
        let leaving = entry.draining.then(|| same.and_then(|t| t.leaving).unwrap_or(now));
        let target = Target { cold: now.after(entry.cold), leaving, lapsed: None, heard: now, entry };
        self.insert(target);
        new
    }

    fn insert(&mut self, target: Target) {
        let id = target.entry.life.id.clone();
        let service = target.entry.service.clone();
        let old = self.targets.insert(id.clone(), target);
        if old.as_ref().is_some_and(|t| t.entry.service == service) {
            return;
        }
        if let Some(old) = old {
            self.unlist(&old.entry.service, &id);
        }
        let list = self.services.entry(service).or_default();
        let place = list.partition_point(|other| *other < id);
        list.insert(place, id);
    }

    fn unlist(&mut self, service: &str, id: &str) {
        if let Some(list) = self.services.get_mut(service) {
            list.retain(|other| **other != *id);
        }
    }

    /// Removes an entry. An entry that lapsed while the store was away counts
    /// as present until targets had time to write it again.
    pub fn remove(&mut self, now: Time, id: &str) {
        let Some(target) = self.targets.get_mut(id) else { return };
        if now < self.grace && target.leaving.is_none() {
            let grace = self.grace;
            target.lapsed.get_or_insert(grace);
            return;
        }
        self.forget(id);
    }

    /// Removes entries that a complete listing does not name.
    pub fn retain(&mut self, now: Time, keep: impl Fn(&str) -> bool) {
        let gone: Vec<Arc<str>> = self.targets.keys().filter(|id| !keep(id)).cloned().collect();
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// Forgets a target, whose address may belong to another service.
    pub fn forget(&mut self, id: &str) {
        if let Some(old) = self.targets.remove(id) {
            self.unlist(&old.entry.service, id);
            self.changes += 1;
        }
    }

    /// Removes targets whose entries did not come back in time.
    pub fn tick(&mut self, now: Time) {
        let late = |t: &Target| t.lapsed.is_some_and(|until| until <= now);
        let gone: Vec<Arc<str>> =
            self.targets.iter().filter(|(_, t)| late(t)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.forget(&id);
        }
    }

    /// Returns a target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the target if this very process of it is known.
    pub fn living(&self, life: &Life) -> Option<&Target> {
        self.targets.get(&life.id).filter(|t| t.entry.life == *life)
    }

    /// Returns the targets of a service in the order of their ids.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Target> {
        let list = self.services.get(service).map_or(&[][..], |l| &l[..]);
        list.iter().filter_map(|id| self.targets.get(id))
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.targets.values()
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns a number that changes with the set of usable targets.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

impl Target {
    /// Returns whether new requests may go to this target by choice.
    pub fn is_open(&self) -> bool {
        self.leaving.is_none()
    }

    /// Returns whether requests for keys that the target owns may go to it.
    pub fn serves_keys(&self, now: Time) -> bool {
        self.leaving.is_none_or(|since| now.since(since) < DRAIN_GRACE)
    }
}

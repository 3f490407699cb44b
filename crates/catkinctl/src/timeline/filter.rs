//! Chooses events.

use {
    super::Gap,
    catkin::{
        Code, Error,
        event::{Event, Wall},
        types::{Key, RequestId, Service, SliceId, TargetId},
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        str::FromStr,
    },
};

/// Names a slice, as in `lookup-svc/12`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{service}/{slice}")]
pub struct SliceName {
    /// The service.
    pub service: Service,
    /// The slice.
    pub slice: SliceId,
}

impl FromStr for SliceName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::new(Code::BadUsage, format!("{text:?} is not a slice such as lookup-svc/12"));
        let (service, slice) = text.split_once('/').ok_or_else(bad)?;
        Ok(Self { service: service.parse().map_err(|_| bad())?, slice: slice.parse().map_err(|_| bad())? })
    }
}

/// What an event must be about. Conditions that are not set always hold.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// The request.
    pub request: Option<RequestId>,
    /// The key of its request; chooses the slices of such requests too.
    pub key: Option<Key>,
    /// The slice.
    pub slice: Option<SliceName>,
    /// The target.
    pub server: Option<TargetId>,
    /// Earliest time.
    pub from: Option<Wall>,
    /// Latest time.
    pub to: Option<Wall>,
}

/// What is known of a request from all its events.
#[derive(Default)]
struct Known {
    keys: BTreeSet<Key>,
    slices: BTreeSet<SliceName>,
    targets: BTreeSet<TargetId>,
}

impl Known {
    fn add(&mut self, event: &Event) {
        self.keys.extend(event.kind.key().cloned());
        self.slices.extend(slice(event));
        self.targets.extend(event.kind.target().cloned());
    }
}

fn slice(event: &Event) -> Option<SliceName> {
    event.kind.slice().map(|(service, slice)| SliceName { service: service.clone(), slice })
}

impl Filter {
    /// Prepares the test of single events. An event of a request passes if
    /// the request as a whole, as seen in the given events, meets the
    /// conditions. With a slice or a key, events of the targets that owned
    /// the slices pass too, because a lease that expires ends ownership.
    pub fn select<'a>(&self, events: impl Iterator<Item = &'a Event> + Clone) -> Selection<'_> {
        let mut requests: BTreeMap<RequestId, Known> = BTreeMap::new();
        for event in events.clone() {
            if let Some(request) = event.kind.request() {
                requests.entry(request.clone()).or_default().add(event);
            }
        }
        let with_key =
            requests.values().filter(|known| self.key.as_ref().is_some_and(|key| known.keys.contains(key)));
        let mut slices: BTreeSet<SliceName> =
            with_key.flat_map(|known| known.slices.iter().cloned()).collect();
        slices.extend(self.slice.clone());
        let owned = events.filter(|event| {
            event.kind.request().is_none() && slice(event).is_some_and(|slice| slices.contains(&slice))
        });
        let owners = owned.filter_map(|event| event.kind.target().cloned()).collect();
        Selection { filter: self, requests, slices, owners }
    }

    /// Returns whether a gap may hold events of the time that is asked for.
    pub fn has_gap(&self, gap: &Gap) -> bool {
        match (self.from, gap.until) {
            (Some(from), Some(until)) => until >= from,
            _ => true,
        }
    }

    fn has_request(&self, request: &RequestId, known: &Known) -> bool {
        self.request.as_ref().is_none_or(|wanted| wanted == request)
            && self.key.as_ref().is_none_or(|key| known.keys.contains(key))
            && self.slice.as_ref().is_none_or(|slice| known.slices.contains(slice))
            && self.server.as_ref().is_none_or(|server| known.targets.contains(server))
    }
}

/// The test of single events.
pub struct Selection<'a> {
    filter: &'a Filter,
    requests: BTreeMap<RequestId, Known>,
    slices: BTreeSet<SliceName>,
    owners: BTreeSet<TargetId>,
}

impl Selection<'_> {
    /// Returns whether an event passes.
    pub fn has(&self, event: &Event) -> bool {
        let filter = self.filter;
        let in_time = filter.from.is_none_or(|from| event.at.wall >= from)
            && filter.to.is_none_or(|to| event.at.wall <= to);
        let matches = match event.kind.request() {
            Some(request) => {
                self.requests.get(request).is_some_and(|known| filter.has_request(request, known))
            }
            None => self.has_state(event),
        };
        in_time && matches
    }

    fn has_state(&self, event: &Event) -> bool {
        let filter = self.filter;
        let target = event.kind.target();
        let owned = match slice(event) {
            Some(slice) => self.slices.contains(&slice),
            None => target.is_some_and(|target| self.owners.contains(target)),
        };
        filter.request.is_none()
            && ((filter.key.is_none() && filter.slice.is_none()) || owned)
            && filter.server.as_ref().is_none_or(|server| target == Some(server))
    }
}

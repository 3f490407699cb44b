//! Selects events by request, key, slice, target and time.

use {
    super::Gap,
    catkin::{
        Code, Error,
        event::{Event, WallTime},
        types::{Key, RequestId, Service, SliceId, TargetId},
    },
    derive_more::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        str::FromStr,
    },
};

/// Name of a slice, as in `lookup-svc/12`.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{service}/{slice}")]
pub struct SliceName {
    /// Service that the slice belongs to.
    pub service: Service,
    /// Index of the slice in its service.
    pub slice: SliceId,
}

impl FromStr for SliceName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid = || Error::new(Code::BadUsage, format!("{text:?} is not a slice such as lookup-svc/12"));
        let (service, slice) = text.split_once('/').ok_or_else(invalid)?;
        Ok(Self {
            service: service.parse().map_err(|_| invalid())?,
            slice: slice.parse().map_err(|_| invalid())?,
        })
    }
}

/// Conditions on events. A condition that is `None` always holds.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    /// Request of the event.
    pub request: Option<RequestId>,
    /// Key of the event's request. Also selects the slices of requests with this
    /// key.
    pub key: Option<Key>,
    /// Slice of the event or of its request.
    pub slice: Option<SliceName>,
    /// Target of the event or of its request.
    pub server: Option<TargetId>,
    /// Earliest time of the event, inclusive.
    pub from: Option<WallTime>,
    /// Latest time of the event, inclusive.
    pub to: Option<WallTime>,
}

/// Keys, slices and targets named in the events of one request.
#[derive(Default)]
struct RequestDetails {
    keys: BTreeSet<Key>,
    slices: BTreeSet<SliceName>,
    targets: BTreeSet<TargetId>,
}

impl RequestDetails {
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
    /// Returns a selection. An event of a request matches if any events of that
    /// request meet each condition. With a slice or a key, events without a slice,
    /// such as lease events, of the owners of these slices match too, since they
    /// explain changes of ownership, which ends when a lease expires.
    pub fn select<'a>(&self, events: impl Iterator<Item = &'a Event> + Clone) -> Selection<'_> {
        let mut requests: BTreeMap<RequestId, RequestDetails> = BTreeMap::new();
        for event in events.clone() {
            if let Some(request) = event.kind.request() {
                requests.entry(request.clone()).or_default().add(event);
            }
        }
        let with_key = requests
            .values()
            .filter(|details| self.key.as_ref().is_some_and(|key| details.keys.contains(key)));
        let mut slices: BTreeSet<SliceName> =
            with_key.flat_map(|details| details.slices.iter().cloned()).collect();
        slices.extend(self.slice.clone());
        let owned = events.filter(|event| {
            event.kind.request().is_none() && slice(event).is_some_and(|slice| slices.contains(&slice))
        });
        let owners = owned.filter_map(|event| event.kind.target().cloned()).collect();
        Selection { filter: self, requests, slices, owners }
    }

    /// Returns whether a gap may contain events in the selected time range.
    pub fn may_match_gap(&self, gap: &Gap) -> bool {
        match (self.from, gap.until) {
            (Some(from), Some(until)) => until >= from,
            _ => true,
        }
    }

    fn matches_request(&self, request: &RequestId, details: &RequestDetails) -> bool {
        self.request.as_ref().is_none_or(|wanted| wanted == request)
            && self.key.as_ref().is_none_or(|key| details.keys.contains(key))
            && self.slice.as_ref().is_none_or(|slice| details.slices.contains(slice))
            && self.server.as_ref().is_none_or(|server| details.targets.contains(server))
    }
}

/// A filter prepared for a set of events.
pub struct Selection<'a> {
    filter: &'a Filter,
    requests: BTreeMap<RequestId, RequestDetails>,
    slices: BTreeSet<SliceName>,
    owners: BTreeSet<TargetId>,
}

impl Selection<'_> {
    /// Returns whether an event matches the filter.
    pub fn matches(&self, event: &Event) -> bool {
        let filter = self.filter;
        let in_time = filter.from.is_none_or(|from| event.at.wall >= from)
            && filter.to.is_none_or(|to| event.at.wall <= to);
        let selected = match event.kind.request() {
            Some(request) => {
                self.requests.get(request).is_some_and(|details| filter.matches_request(request, details))
            }
            None => self.matches_without_request(event),
        };
        in_time && selected
    }

    fn matches_without_request(&self, event: &Event) -> bool {
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

//! When keys that no target serves have an owner again.
//!
//! Load pattern: the owner of a range of keys stops, and for some seconds, until
//! its leases have ended, no target may serve them. Requests that wait for half of
//! their latency objective are refused then all the same, too late to be of use to
//! their callers, who come back while the keys still have no owner.
//!
//! The leader knows the ends of the leases. It tells them as the time that is left,
//! and each process refuses requests that can't wait so long at once.

use {
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Time from the end of the leases to the first request for the next owner: a
/// round of the leader, the write of the table, a grant, and the message to the
/// processes.
const ASSIGN_TIME: Span = Span::from_millis(300);

/// Age of the leader's last word above which it is not used.
const AGE_MAX: Span = Span::from_millis(1_500);

/// Most ranges in a message.
const VACANCIES_MAX: usize = 64;

/// A range of keys whose owner serves it no more, and when it has another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// Service of the keys.
    pub service: Arc<str>,
    /// First key of the range.
    pub from: u16,
    /// Last key of the range, inclusive.
    pub to: u16,
    /// Time until the keys have another owner, in microseconds.
    rest: u64,
}

impl Vacancy {
    /// Creates the vacancy of keys whose last lease ends at a time.
    pub(crate) fn new(now: Time, service: &Arc<str>, from: u16, to: u16, lease_end: Time) -> Self {
        let rest = (lease_end.since(now) + ASSIGN_TIME).as_micros();
        Self { service: service.clone(), from, to, rest }
    }

    /// Returns the time until the keys have another owner.
    pub fn rest(&self) -> Span {
        Span::from_micros(self.rest)
    }
}

/// Limits a list to what a message takes: the longest vacancies, in which most
/// requests are refused.
pub(crate) fn bound(list: &mut Vec<Vacancy>) {
    if list.len() > VACANCIES_MAX {
        list.sort_by(|a, b| (b.rest, &a.service, a.from).cmp(&(a.rest, &b.service, b.from)));
        list.truncate(VACANCIES_MAX);
    }
}

/// Vacancies as the leader last told them.
#[derive(Clone, Debug, Default)]
pub struct Vacancies {
    told_at: Time,
    list: Vec<Vacancy>,
}

impl Vacancies {
    /// Replaces the vacancies by those of the leader's last message.
    pub fn learn(&mut self, now: Time, list: Vec<Vacancy>) {
        (self.told_at, self.list) = (now, list);
    }

    /// Returns when a key has another owner, if that is known and not overdue.
    pub fn end(&self, now: Time, service: &str, key: u16) -> Option<Time> {
        let covers = |v: &&Vacancy| *v.service == *service && v.from <= key && key <= v.to;
        let end = self.told_at.after(self.list.iter().find(covers)?.rest());
        (now.since(self.told_at) < AGE_MAX && end > now).then_some(end)
    }
}

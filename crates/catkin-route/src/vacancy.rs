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
    crate::directory::Incarnation,
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Time from the end of the leases to the first request for the next owner: a
/// round of the leader, the write of the table, a grant, and the message to the
/// processes.
const ASSIGN_TIME: Span = Span::from_millis(300);

/// Age of the leader's last word above which it is not used.
const AGE_MAX: Span = Span::from_millis(1_500);

/// Most owners in a message.
const VACANCIES_MAX: usize = 64;

/// An owner that serves its keys no more, and when they have another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vacancy {
    /// Owner by the table.
    pub incarnation: Incarnation,
    /// Time until its keys have another owner, in microseconds.
    rest: u64,
}

impl Vacancy {
    /// Returns the time until the keys have another owner.
    pub fn rest(&self) -> Span {
        Span::from_micros(self.rest)
    }
}

/// Returns the vacancies for a message, from the last ends of the leases by owner.
pub(crate) fn list(now: Time, ends: HashMap<Incarnation, Time>) -> Vec<Vacancy> {
    let vacancy = |(incarnation, end): (Incarnation, Time)| Vacancy {
        incarnation,
        rest: (end.since(now) + ASSIGN_TIME).as_micros(),
    };
    let mut list: Vec<Vacancy> = ends.into_iter().map(vacancy).collect();
    list.sort_by(|a, b| (b.rest, &a.incarnation).cmp(&(a.rest, &b.incarnation)));
    list.truncate(VACANCIES_MAX);
    list
}

/// Vacancies as the leader last told them.
#[derive(Clone, Debug, Default)]
pub struct Vacancies {
    told_at: Time,
    ends: HashMap<Incarnation, Time>,
}

impl Vacancies {
    /// Replaces the vacancies by those of the leader's last message.
    pub fn learn(&mut self, now: Time, list: &[Vacancy]) {
        self.told_at = now;
        self.ends = list.iter().map(|v| (v.incarnation.clone(), now.after(v.rest()))).collect();
    }

    /// Returns when the keys of an owner have another one, if that is known and not
    /// overdue.
    pub fn end(&self, now: Time, owner: &Incarnation) -> Option<Time> {
        let end = self.ends.get(owner).copied()?;
        (now.since(self.told_at) < AGE_MAX && end > now).then_some(end)
    }
}

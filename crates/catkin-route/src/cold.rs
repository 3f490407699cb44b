//! Requests at cold targets, which take few from all processes together.
//!
//! Load pattern: a target that had 15 requests a second from 70 processes turns
//! cold, and takes 4.7 from then on; one that gets far more crashes. A hot key of
//! its own may have more than that. A whole zone of targets may turn cold at once.
//!
//! The leader hands out tokens at the cold rate, for targets with keys: a process
//! reports its queued requests and gets tokens with the answer, and a token
//! expires soon. Where nobody queues, that is at targets without keys, and in a
//! process without a leader, the right to send goes round the processes in time
//! ([`SlotGrid`]), each slot to one of them. The leader keeps back the part of the
//! rate that the processes which it does not hear from use by such slots.

use {
    crate::{
        directory::{Incarnation, Target},
        pace::{Share, SlotGrid},
        rate::RequestRate,
    },
    catkin::types::{Span, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Part of the cold rate that is given out as slots. The rest is for processes
/// that learn late that a target is cold, or see another number of processes.
const SLOT_SHARE: f64 = 0.9;

/// Time after which an unused slot expires. With it, a second holds the slots of
/// 1.25 s at most.
const SLOT_TTL: Span = Span::from_millis(250);

/// Time from the report after which an unused token expires. It covers an answer
/// of the leader that takes 200 ms; a second holds the tokens of 1.4 s at most.
const TOKEN_TTL: Span = Span::from_millis(400);

/// Most unused tokens of a target.
const TOKENS_MAX: f64 = 2.0;

/// Time without an answer of the leader after which a process uses slots.
const LEADER_TTL: Span = Span::from_millis(1_200);

/// Age of its last report from which on the leader takes a process to use slots.
/// A report may have been on its way for the difference to [`LEADER_TTL`].
const REPORT_AGE_MAX: Span = Span::from_millis(1_000);

/// Number of processes that a process assumes which was never told one: no
/// larger fleet is planned. A guess below the real number would exceed the rate.
const COUNT_UNKNOWN: u32 = 300;

/// Time for which the highest number of processes counts at least, and half the
/// time for which it counts at most: processes that are cut off go on with the
/// last number that they were told.
const CENSUS_PERIOD: Span = Span::from_secs(30);

/// Time in which a leader that was never told the number of processes tells
/// none, as their first reports are still arriving.
const CENSUS_DELAY: Span = Span::from_secs(3);

/// Tokens for one target, which the leader hands out to a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The target.
    pub incarnation: Incarnation,
    /// Number of requests that the process may send.
    pub count: u32,
    /// Time until a further request would get a token, in microseconds.
    pub wait: u64,
}

/// What a process knows of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetView {
    share: Option<Share>,
    /// Until when the leader counts this process as one that gets tokens.
    led_until: Time,
}

impl FleetView {
    /// Records an answer of the leader to a report that was sent at a time, and
    /// this process's share if the leader knows it.
    pub fn record_answer(&mut self, reported_at: Time, share: Option<Share>) {
        self.led_until = self.led_until.max(reported_at.after(LEADER_TTL));
        self.share = share.filter(|share| share.index < share.count).or(self.share);
    }

    /// Returns whether this process gets tokens of the leader.
    pub fn is_led(&self, now: Time) -> bool {
        now < self.led_until
    }

    /// Returns the number of processes, if this one was ever told.
    pub fn count(&self) -> Option<u32> {
        self.share.map(|share| share.count)
    }

    /// Returns this process's share. `phase`, between 0 and 1, is its place if it
    /// was never told one.
    pub fn share(&self, phase: f64) -> Share {
        let index = (phase * f64::from(COUNT_UNKNOWN)) as u32;
        self.share.unwrap_or(Share { index: index.min(COUNT_UNKNOWN - 1), count: COUNT_UNKNOWN })
    }
}

/// Terms on which a cold target gets requests of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ColdTerms {
    /// Requests per second that the target takes from all processes.
    rate: RequestRate,
    cold_until: Time,
    /// The share of the process; `None` if it needs tokens of the leader.
    share: Option<Share>,
}

impl ColdTerms {
    /// Returns the terms of a target whose service names a cold rate; `None` if
    /// the target is not cold. For `phase` see [`FleetView::share`].
    pub(crate) fn new(
        now: Time,
        target: &Target,
        rate: RequestRate,
        fleet: &FleetView,
        has_key: bool,
        phase: f64,
    ) -> Option<Self> {
        let needs_token = has_key && fleet.is_led(now);
        let share = (!needs_token).then(|| fleet.share(phase));
        (now < target.cold_until).then_some(Self { rate, cold_until: target.cold_until, share })
    }

    fn grid(&self, share: Share) -> SlotGrid {
        SlotGrid { anchor: self.cold_until, step: self.rate.scale(SLOT_SHARE).interval(), share }
    }
}

/// The right to send one request to a cold target.
#[derive(Clone, Copy, Debug)]
enum Pass {
    Token,
    /// The time of the slot.
    Slot(Time),
}

/// One cold time of a target, as a process sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdState {
    /// When this process first had a request for the target in its cold time:
    /// slots before that are not used, so that it does not begin with a burst.
    since: Time,
    until: Time,
    tokens: u32,
    tokens_until: Time,
    /// When a further request would get a token, as the leader said it.
    free_at: Time,
    last_slot: Option<Time>,
    /// Right to send that the last check found.
    pass: Option<Pass>,
    /// When this process may send, as of the last check.
    next_pass: Time,
}

impl ColdState {
    /// Checks whether a request may be sent now.
    ///
    /// # Errors
    ///
    /// The time until the target takes a request of any process.
    pub(crate) fn check(&mut self, now: Time, terms: &ColdTerms) -> Result<(), Span> {
        if self.until <= now {
            let Self { tokens, tokens_until, free_at, .. } = *self;
            *self = Self { since: now, tokens, tokens_until, free_at, ..Self::default() };
        }
        self.until = terms.cold_until;
        let found = match terms.share {
            None => self.find_token(now, terms.rate),
            Some(share) => self.find_slot(now, &terms.grid(share)),
        };
        self.pass = found.as_ref().ok().copied();
        found.map(drop)
    }

    fn find_token(&mut self, now: Time, rate: RequestRate) -> Result<Pass, Span> {
        self.next_pass = self.free_at.max(now);
        match self.tokens > 0 && now < self.tokens_until {
            true => Ok(Pass::Token),
            false => Err(self.free_at.since(now).max(rate.interval())),
        }
    }

    fn find_slot(&mut self, now: Time, grid: &SlotGrid) -> Result<Pass, Span> {
        // The anchor and the number of processes may change in between, but a
        // slot is not used twice.
        let earliest = self.last_slot.map_or(self.since, |at| at.after(grid.cycle().scale(0.5)));
        let slot = grid.next_slot(now.before(SLOT_TTL).max(earliest));
        self.next_pass = slot;
        if slot <= now { Ok(Pass::Slot(slot)) } else { Err(grid.step) }
    }

    /// Returns when this process may send, as of the last check.
    pub(crate) fn next_pass(&self) -> Time {
        self.next_pass
    }

    /// Uses the right to send that the last check found. Returns whether there
    /// was one.
    pub(crate) fn begin(&mut self) -> bool {
        match self.pass.take() {
            Some(Pass::Token) => self.tokens = self.tokens.saturating_sub(1),
            Some(Pass::Slot(slot)) => self.last_slot = Some(slot),
            None => return false,
        }
        true
    }

    /// Forgets what the last check found, as the target is not cold.
    pub(crate) fn end(&mut self) {
        self.pass = None;
    }

    /// Records tokens that the leader handed out for a report that was sent at a
    /// time. They replace unused ones, which are about to expire.
    pub(crate) fn grant(&mut self, now: Time, reported_at: Time, grant: &TokenGrant) {
        if grant.count > 0 {
            (self.tokens, self.tokens_until) = (grant.count, reported_at.after(TOKEN_TTL));
        }
        self.free_at = now.after(Span::from_micros(grant.wait));
    }
}

/// Tokens of one target that were not handed out.
#[derive(Clone, Debug)]
struct Bucket {
    incarnation: Incarnation,
    level: f64,
    filled_at: Time,
}

/// The leader's tokens for cold targets.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    buckets: HashMap<Arc<str>, Bucket>,
    /// Last report of each process.
    reports: BTreeMap<Arc<str>, Time>,
    census: Census,
    reported_at: Option<Time>,
}

impl Tokens {
    /// Records that a process has reported. `told` is the number of processes
    /// that this one was last told as long as it did not lead. Returns the share
    /// of the process, if the number of processes is known.
    pub fn report(&mut self, now: Time, vm: &Arc<str>, told: Option<u32>) -> Option<Share> {
        // The leader reports to itself all the time: after a gap this is a new
        // term, which must not hand out what was left over in the last one.
        if self.reported_at.is_none_or(|at| now.since(at) > REPORT_AGE_MAX) {
            let census = Census { told: told.unwrap_or(0), since: now, ..Census::default() };
            *self = Self { census, ..Self::default() };
        }
        self.reported_at = Some(now);
        self.reports.insert(vm.clone(), now);
        self.reports.retain(|_, at| now.since(*at) < CENSUS_DELAY);
        self.census.record(now, self.reports.len());
        let index = u32::try_from(self.reports.range(..vm.clone()).count()).unwrap_or(u32::MAX);
        self.census.count(now).map(|count| Share { index, count })
    }

    /// Hands out tokens to a process for its queued requests. `cold` returns the
    /// incarnation and the rate of a target that is cold and has keys,
    /// `queue_length` the queued requests of all processes for a target.
    pub fn allot(
        &mut self,
        now: Time,
        queued: &[(Arc<str>, u32)],
        cold: impl Fn(&str) -> Option<(Incarnation, RequestRate)>,
        queue_length: impl Fn(&str) -> u32,
    ) -> Vec<TokenGrant> {
        if queued.is_empty() {
            return Vec::new();
        }
        let heard = self.reports.values().filter(|at| now.since(**at) < REPORT_AGE_MAX).count();
        let part = heard as f64 / f64::from(self.census.most().max(1));
        let mut grants = Vec::new();
        for (id, count) in queued {
            let Some((incarnation, rate)) = cold(id) else { continue };
            let rate = rate.scale(part.min(1.0));
            let empty = || Bucket { incarnation: incarnation.clone(), level: 0.0, filled_at: now };
            let bucket = self.buckets.entry(id.clone()).or_insert_with(empty);
            if bucket.incarnation != incarnation {
                *bucket = empty();
            }
            let earned = rate.per_second() * now.since(bucket.filled_at).as_secs_f64();
            (bucket.level, bucket.filled_at) = ((bucket.level + earned).min(TOKENS_MAX), now);
            let count = (bucket.level as u32).min(*count);
            bucket.level -= f64::from(count);
            let ahead = f64::from(queue_length(id).saturating_sub(count)) + 1.0 - bucket.level;
            let wait = rate.interval().scale(ahead.max(0.0)).as_micros();
            grants.push(TokenGrant { incarnation, count, wait });
        }
        grants
    }

    /// Removes the tokens of targets that are not cold: the next cold time of a
    /// target starts without any.
    pub fn retain(&mut self, is_cold: impl Fn(&Incarnation) -> bool) {
        self.buckets.retain(|_, bucket| is_cold(&bucket.incarnation));
    }
}

/// Highest number of processes of late.
#[derive(Clone, Debug, Default)]
struct Census {
    /// Number that the earlier leader told, 0 if none.
    told: u32,
    /// Since when this leader counts.
    since: Time,
    period: u64,
    /// Highest numbers of the current period and of the one before.
    highest: [u32; 2],
}

impl Census {
    fn record(&mut self, now: Time, count: usize) {
        let period = now.as_micros() / CENSUS_PERIOD.as_micros();
        if period > self.period {
            let last = if period == self.period + 1 { self.highest[0] } else { 0 };
            (self.period, self.highest) = (period, [0, last]);
        }
        if now.since(self.since) > CENSUS_PERIOD {
            self.told = 0;
        }
        self.highest[0] = self.highest[0].max(u32::try_from(count).unwrap_or(u32::MAX));
    }

    fn most(&self) -> u32 {
        self.told.max(self.highest[0]).max(self.highest[1])
    }

    /// Returns the number of processes, once it is known.
    fn count(&self, now: Time) -> Option<u32> {
        (self.told > 0 || now.since(self.since) >= CENSUS_DELAY).then_some(self.most())
    }
}

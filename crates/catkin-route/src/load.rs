//! Which target gets a request, from what this process sees of them.

use {
    crate::{
        directory::{Directory, Life, Target},
        turns::Turn,
    },
    catkin::types::{Span, Time},
    std::{collections::HashMap, sync::Arc},
};

/// Weight of a new measurement of a target's time for a request.
const TIME_WEIGHT: f64 = 0.15;

/// Time of a request before any was measured, in seconds.
const TIME_UNKNOWN: f64 = 0.1;

/// Age at which half of what a target reported of other callers still counts.
const REPORT_HALF: Span = Span::from_millis(400);

/// Processes up to which that age holds.
const REPORT_PEERS: f64 = 12.0;

/// Weight of a new result in the share of failed requests.
const FAIL_WEIGHT: f64 = 0.15;

/// First pause after a failed connection; it doubles with each further one.
const PAUSE_MIN: Span = Span::from_millis(250);

/// Longest pause after failed connections.
const PAUSE_MAX: Span = Span::from_secs(2);

/// Factor for a target of another zone, whose bytes cost money.
const FAR_FACTOR: f64 = 1.15;

/// The same factor for a request with a large body.
const FAR_FACTOR_LARGE: f64 = 2.0;

/// Size of a body from which on it counts as large.
const LARGE_BYTES: usize = 16 << 10;

/// Factor for a target that is still slow after its start.
const COLD_FACTOR: f64 = 2.0;

/// Slots of a target that all edge processes together may fill, as a multiple:
/// the queue of a target is short, and some never answer once it is full.
pub const FILL_MAX: f64 = 2.5;

/// Slots of a target that one process may fill, as a multiple of its even
/// share: callers are shared out unevenly, and reports bound the sum.
const OWN_SHARE: f64 = 2.5;

/// Requests that one process may always have at one target.
const OWN_MIN: u32 = 2;

/// Time for which a target gets requests by turns only after the leader's last
/// word. It covers two reports.
const TURNS_FOR: Span = Span::from_millis(1_200);

/// What one process knows of one target.
#[derive(Clone, Debug)]
struct Seen {
    life: Life,
    own: u32,
    /// Mean time of a request without waiting, in seconds.
    time: f64,
    others: f64,
    reported: Time,
    /// Requests at the target with the last answer.
    fill: f64,
    /// Whether the time was measured since the last report to the leader.
    measured: bool,
    fails: f64,
    pause: Span,
    paused: Time,
    /// Requests that wait for a turn.
    waiting: u32,
}

/// A target that gets requests by turns only.
#[derive(Clone, Copy, Debug)]
struct Busy {
    until: Time,
    turns: u32,
    /// Requests of all processes that wait for a turn.
    waiting: u32,
}

impl Seen {
    fn new(life: Life) -> Self {
        let zero = Time::default();
        Self {
            life,
            own: 0,
            time: TIME_UNKNOWN,
            others: 0.0,
            reported: zero,
            fill: 0.0,
            measured: false,
            fails: 0.0,
            pause: Span::ZERO,
            paused: zero,
            waiting: 0,
        }
    }

    /// Returns the requests of other processes at the target. With more
    /// processes each hears of it less often, and believes it for longer.
    fn others(&self, now: Time, peers: u32) -> f64 {
        let half = REPORT_HALF.as_secs_f64() * (f64::from(peers) / REPORT_PEERS).max(1.0);
        let halves = now.since(self.reported).as_secs_f64() / half;
        self.others * 0.5_f64.powf(halves)
    }
}

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete answer that is no fault of the target's.
    Good,
    /// The target refused it without running it.
    Refused,
    /// The target failed it.
    Failed,
    /// No connection could be opened.
    Unreached,
    /// The caller left or its time was over.
    Dropped,
}

/// What one process knows of all targets.
#[derive(Debug)]
pub struct Table {
    zone: Arc<str>,
    seen: HashMap<Arc<str>, Seen>,
    busy: HashMap<Arc<str>, Busy>,
}

impl Table {
    /// Makes an empty table for a process in a zone.
    pub fn new(zone: Arc<str>) -> Self {
        Self { zone, seen: HashMap::new(), busy: HashMap::new() }
    }

    fn of(&mut self, life: &Life) -> &mut Seen {
        let seen = self.seen.entry(life.id.clone()).or_insert_with(|| Seen::new(life.clone()));
        if seen.life != *life {
            let Seen { own, waiting, .. } = *seen;
            *seen = Seen { own, waiting, ..Seen::new(life.clone()) };
        }
        seen
    }

    /// Returns whether this process may send one more request to a target.
    pub fn has_room(&mut self, now: Time, target: &Target, peers: u32) -> bool {
        let slots = target.entry.slots;
        let share = (OWN_SHARE * f64::from(slots) / f64::from(peers.max(1))).ceil() as u32;
        let busy = self.busy(now, &target.entry.life);
        let seen = self.of(&target.entry.life);
        if let Some(busy) = busy {
            return seen.paused <= now && busy.turns > 0;
        }
        let total = f64::from(seen.own) + seen.others(now, peers);
        seen.paused <= now && seen.own < share.max(OWN_MIN) && total < FILL_MAX * f64::from(slots)
    }

    /// Returns the expected time for one more request with a body of a size, in
    /// seconds.
    pub fn expected(&mut self, now: Time, target: &Target, peers: u32, size: usize) -> f64 {
        let far = target.entry.zone != self.zone;
        let slots = f64::from(target.entry.slots.max(1));
        let cold = target.cold > now;
        let seen = self.of(&target.entry.life);
        let ahead = f64::from(seen.own) + seen.others(now, peers);
        let waiting = (ahead + 1.0 - slots).max(0.0);
        // Below its slots a target is only a little slower with each request;
        // the term spreads requests over equal targets.
        let time = seen.time * (1.0 + 0.3 * (ahead / slots).min(1.0) + waiting / slots);
        let time = if cold { time * COLD_FACTOR } else { time };
        let distance = if size < LARGE_BYTES { FAR_FACTOR } else { FAR_FACTOR_LARGE };
        let time = if far { time * distance } else { time };
        time / (1.0 - seen.fails).max(0.05)
    }

    /// Chooses a target of a service that takes another request with a body of a
    /// size; `avoid` are targets that had it before.
    pub fn choose<'a>(
        &mut self,
        now: Time,
        directory: &'a Directory,
        service: &str,
        peers: u32,
        avoid: &[Life],
        size: usize,
    ) -> Option<&'a Target> {
        let mut best: Option<(f64, &Target)> = None;
        for target in directory.of(service) {
            let life = &target.entry.life;
            if !target.is_open() || avoid.contains(life) || !self.has_room(now, target, peers) {
                continue;
            }
            let expected = self.expected(now, target, peers, size);
            if best.is_none_or(|(least, _)| expected < least) {
                best = Some((expected, target));
            }
        }
        best.map(|(_, target)| target)
    }

    fn busy(&self, now: Time, life: &Life) -> Option<Busy> {
        self.busy.get(&life.id).copied().filter(|busy| busy.until > now)
    }

    /// Counts a request that goes to a target.
    pub fn begin(&mut self, life: &Life) {
        self.of(life).own += 1;
        if let Some(busy) = self.busy.get_mut(&life.id) {
            busy.turns = busy.turns.saturating_sub(1);
        }
    }

    /// Returns whether a target gets requests by turns only.
    pub fn is_by_turns(&self, now: Time, life: &Life) -> bool {
        self.busy(now, life).is_some()
    }

    /// Lets a target get requests by turns only: it takes over the keys of one
    /// that did, and with them the requests that wait.
    pub fn begin_turns(&mut self, now: Time, life: &Life) {
        if self.busy(now, life).is_none() {
            let busy = Busy { until: now.after(TURNS_FOR), turns: 0, waiting: 0 };
            self.busy.insert(life.id.clone(), busy);
        }
    }

    /// Takes the leader's word on which targets get requests by turns only, and
    /// this process's turns.
    pub fn take_turns(&mut self, now: Time, turns: &[Turn]) {
        let until = now.after(TURNS_FOR);
        let busy = |turn: &Turn| Busy { until, turns: turn.turns, waiting: turn.waiting };
        self.busy = turns.iter().map(|turn| (turn.target.clone(), busy(turn))).collect();
    }

    /// Returns whether a request that waits for a turn at a target would hardly
    /// get one in time: so many wait there already.
    pub fn is_crowded(&mut self, now: Time, target: &Target, patience: Span) -> bool {
        let slots = f64::from(target.entry.slots.max(1));
        let life = &target.entry.life;
        let Some(busy) = self.busy(now, life) else { return false };
        let wait = f64::from(busy.waiting) * self.of(life).time / slots;
        busy.turns == 0 && wait > patience.as_secs_f64()
    }

    /// Counts a request that waits for a turn at a target, or no longer does.
    pub fn wait(&mut self, life: &Life, waits: bool) {
        let seen = self.of(life);
        seen.waiting = if waits { seen.waiting + 1 } else { seen.waiting.saturating_sub(1) };
    }

    /// Returns this process's requests that wait for a turn at each target.
    pub fn waiting(&self) -> Vec<(Arc<str>, u32)> {
        let some = self.seen.iter().filter(|(_, seen)| seen.waiting > 0);
        some.map(|(id, seen)| (id.clone(), seen.waiting)).collect()
    }

    /// Counts the end of a request at a target and the time that it took.
    pub fn end(&mut self, now: Time, life: &Life, end: End, took: Span, slots: u32) {
        let slots = f64::from(slots);
        let Some(seen) = self.seen.get_mut(&life.id) else { return };
        seen.own = seen.own.saturating_sub(1);
        if seen.life != *life {
            return;
        }
        let failed = match end {
            End::Good => 0.0,
            End::Refused | End::Failed | End::Unreached => 1.0,
            End::Dropped => seen.fails,
        };
        seen.fails += (failed - seen.fails) * FAIL_WEIGHT;
        match end {
            End::Good => {
                // A queue at the target is no sign of a slow target.
                let queue = seen.fill / slots.max(1.0);
                let time = took.as_secs_f64() / queue.max(1.0);
                seen.time += (time - seen.time) * TIME_WEIGHT;
                seen.measured = true;
                seen.pause = Span::ZERO;
                // The place that it leaves may be taken again at once.
                if let Some(busy) = self.busy.get_mut(&life.id) {
                    busy.turns += 1;
                }
            }
            End::Dropped => {}
            End::Unreached => {
                let pause = if seen.pause.is_zero() { PAUSE_MIN } else { seen.pause.scale(2.0) };
                seen.pause = pause.min(PAUSE_MAX);
                seen.paused = now.after(seen.pause);
            }
            End::Refused | End::Failed => {}
        }
        seen.fill = 0.0;
    }

    /// Takes a target's own report: requests running and waiting there.
    pub fn report(&mut self, now: Time, life: &Life, requests: u32) {
        let seen = self.of(life);
        seen.fill = f64::from(requests);
        seen.others = f64::from(requests.saturating_sub(seen.own));
        seen.reported = now;
    }

    /// Returns this process's requests at each target that has some.
    pub fn own(&self) -> Vec<(Arc<str>, u32)> {
        let busy = self.seen.iter().filter(|(_, seen)| seen.own > 0);
        busy.map(|(id, seen)| (id.clone(), seen.own)).collect()
    }

    /// Takes the requests of all processes at a target, as the leader counts
    /// them.
    pub fn share(&mut self, now: Time, id: &str, total: u32, peers: u32) {
        let Some(seen) = self.seen.get_mut(id) else { return };
        let others = f64::from(total.saturating_sub(seen.own));
        if others > seen.others(now, peers) {
            seen.others = others;
            seen.reported = now;
        }
    }

    /// Returns the mean times of requests, in seconds, of the targets that were
    /// measured since the last call.
    pub fn take_times(&mut self) -> Vec<(Arc<str>, f32)> {
        let time = |(id, seen): (&Arc<str>, &mut Seen)| {
            std::mem::take(&mut seen.measured).then(|| (id.clone(), seen.time as f32))
        };
        self.seen.iter_mut().filter_map(time).collect()
    }

    /// Forgets targets that are gone and have no request.
    pub fn retain(&mut self, directory: &Directory) {
        self.seen.retain(|id, seen| seen.own + seen.waiting > 0 || directory.get(id).is_some());
    }
}

//! Waiting for a target that may get the request.

use {
    crate::{node::Node, serve::Job},
    bytes::Bytes,
    catkin::types::{Span, Time},
    catkin_route::{
        directory::{Entry, Life},
        tries::Tries,
    },
    std::rc::Rc,
};

/// Why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No target may serve the key, or none is known of the service.
    NoOwner,
    /// All targets have as many requests as this process may send them.
    Full,
    /// More requests wait for the key's owner than it can take in time.
    Crowded,
    /// Too little time is left.
    NoTime,
}

/// Share of the latency objective for which a request waits for a target. A
/// refusal that comes later leaves the caller too little time elsewhere.
const WAIT_SHARE: f64 = 0.5;

/// Least time that must be left for a send.
const LEFT_MIN: Span = Span::from_millis(20);

/// Pause between two looks when nothing else wakes a waiting request.
const LOOK: Span = Span::from_millis(40);

/// A target for one send.
pub(crate) struct Admitted {
    /// The process.
    pub(crate) life: Life,
    /// What the directory says of it.
    pub(crate) entry: Entry,
}

impl Admitted {
    fn new(entry: &Entry) -> Self {
        Self { life: entry.life.clone(), entry: entry.clone() }
    }
}

/// A request that waits for a turn at a target.
struct Waiting<'a> {
    node: &'a Node,
    life: Option<Life>,
}

impl Waiting<'_> {
    /// Counts the request at a target, or at none.
    fn set(&mut self, life: Option<&Life>) {
        if self.life.as_ref() == life {
            return;
        }
        let mut loads = self.node.loads.borrow_mut();
        if let Some(life) = &self.life {
            loads.wait(life, false);
        }
        if let Some(life) = life {
            loads.wait(life, true);
        }
        self.life = life.cloned();
        self.node.asks.set(self.life.is_some() || self.node.asks.get());
        self.node.asked.notify_one();
    }

    /// Asks for turns at a target once it takes over the key of another one
    /// that gave turns: all processes wait for that key.
    fn follow(&self, now: Time, life: &Life) {
        if self.life.as_ref().is_some_and(|last| last != life) {
            self.node.loads.borrow_mut().begin_turns(now, life);
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.set(None);
    }
}

fn look(
    node: &Node,
    job: &Job<'_>,
    tries: &Tries,
    now: Time,
    waiting: &mut Waiting<'_>,
) -> Result<Admitted, Denied> {
    let directory = node.directory.borrow();
    let peers = node.peers.get();
    let Some(key) = job.key else {
        let mut loads = node.loads.borrow_mut();
        let size = job.incoming.body.iter().map(Bytes::len).sum();
        let chosen = loads
            .choose(now, &directory, &job.service, peers, tries.targets(), size)
            .or_else(|| loads.choose(now, &directory, &job.service, peers, &[], size));
        let any = directory.of(&job.service).next().is_some();
        let reason = if any { Denied::Full } else { Denied::NoOwner };
        return chosen.map(|t| Admitted::new(&t.entry)).ok_or(reason);
    };
    let owned = node.owned().ok_or(Denied::NoOwner)?;
    let row = owned.table.find(&job.service, key).ok_or(Denied::NoOwner)?;
    let target = directory.living(&row.life()).filter(|t| t.serves_keys(now)).ok_or(Denied::NoOwner)?;
    if tries.misdirected() == Some(&row.life()) {
        return Err(Denied::NoOwner);
    }
    let life = &target.entry.life;
    waiting.follow(now, life);
    let (has_room, by_turns) = {
        let mut loads = node.loads.borrow_mut();
        (loads.has_room(now, target, peers), loads.is_by_turns(now, life))
    };
    if has_room {
        return Ok(Admitted::new(&target.entry));
    }
    if by_turns && waiting.life.as_ref() != Some(life) {
        let patience = job.rule.aim.scale(WAIT_SHARE);
        if node.loads.borrow_mut().is_crowded(now, target, patience) {
            return Err(Denied::Crowded);
        }
        waiting.set(Some(life));
    }
    Err(Denied::Full)
}

/// Returns a target that may get the request now, after waiting for one for a
/// part of its latency objective.
pub(crate) async fn admit(node: &Rc<Node>, job: &Job<'_>, tries: &Tries) -> Result<Admitted, Denied> {
    let patience = job.rule.aim.scale(WAIT_SHARE);
    let limit = job.incoming.came.after(patience).max(node.now().after(LEFT_MIN));
    let mut waiting = Waiting { node, life: None };
    loop {
        let room = node.room.notified();
        let now = node.now();
        if job.until.since(now) < LEFT_MIN {
            return Err(Denied::NoTime);
        }
        let denied = match look(node, job, tries, now, &mut waiting) {
            Ok(admitted) => return Ok(admitted),
            Err(denied) => denied,
        };
        if now >= limit || denied == Denied::Crowded {
            return Err(denied);
        }
        let pause = limit.since(now).min(LOOK);
        let _ = tokio::time::timeout(pause.as_duration(), room).await;
    }
}

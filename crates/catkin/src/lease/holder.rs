//! Lease and grants on the side of a target.

use {
    crate::{
        Code, Error,
        api::{Command, CommandReply, CommandStamp, FencedSlice, Operation},
        types::{Fence, SliceId, TargetId, Time},
    },
    std::collections::BTreeMap,
};

/// Lease and grants of one target incarnation.
///
/// A slice is served only while the lease is valid and the request carries
/// the fence of the grant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    target: TargetId,
    boot: u64,
    stamp: CommandStamp,
    until: Time,
    grants: BTreeMap<SliceId, Fence>,
    running: BTreeMap<FencedSlice, u32>,
    draining: bool,
}

/// A request that was admitted under a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    held: FencedSlice,
}

impl Holder {
    /// Creates the state of a new incarnation, which has no lease.
    pub fn new(target: TargetId, boot: u64) -> Self {
        Self {
            target,
            boot,
            stamp: CommandStamp::default(),
            until: Time::default(),
            grants: BTreeMap::new(),
            running: BTreeMap::new(),
            draining: false,
        }
    }

    /// Runs a command and returns the answer. A command for another
    /// incarnation, or one that is not newer than the newest accepted one, is
    /// refused and changes nothing.
    pub fn command(&mut self, now: Time, command: &Command) -> CommandReply {
        self.expire(now);
        if command.boot != self.boot || command.stamp <= self.stamp {
            return self.reply(now, false, true);
        }
        self.stamp = command.stamp;
        match &command.order {
            Operation::Fence => self.reply(now, true, true),
            Operation::Renew { until } => {
                self.until = *until;
                self.reply(now, true, false)
            }
            Operation::Grant { slices } => {
                slices.iter().for_each(|held| self.grant(*held));
                self.reply(now, true, true)
            }
            Operation::Release { slices } => {
                slices.iter().for_each(|held| self.release(*held));
                self.reply(now, true, true)
            }
        }
    }

    /// Returns what the target holds, without a command.
    pub fn status(&mut self, now: Time) -> CommandReply {
        self.expire(now);
        self.reply(now, true, true)
    }

    /// Reports the target as draining from here on.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether the lease is valid.
    pub fn is_leased(&self, now: Time) -> bool {
        now < self.until
    }

    /// Admits a request for a slice. Its ticket must be passed to
    /// [`Holder::finish`].
    ///
    /// # Errors
    ///
    /// `Code::FenceRefused` if the lease has expired or the slice is not held
    /// with this fence.
    pub fn admit(&mut self, now: Time, held: FencedSlice) -> Result<Ticket, Error> {
        self.expire(now);
        self.check(now, held)?;
        *self.running.entry(held).or_default() += 1;
        Ok(Ticket { held })
    }

    /// Checks whether a request that ran may make its effects durable.
    ///
    /// # Errors
    ///
    /// `Code::FenceRefused` if the lease has expired or the grant has ended
    /// since the request was admitted.
    pub fn check_commit(&mut self, now: Time, ticket: Ticket) -> Result<(), Error> {
        self.expire(now);
        self.check(now, ticket.held)
    }

    /// Ends a request, which removes it from the running ones in answers.
    pub fn finish(&mut self, ticket: Ticket) {
        if let Some(count) = self.running.get_mut(&ticket.held) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&ticket.held);
            }
        }
    }

    fn check(&self, now: Time, held: FencedSlice) -> Result<(), Error> {
        if now >= self.until {
            return Err(Error::new(Code::FenceRefused, "the lease has expired"));
        }
        match self.grants.get(&held.slice) {
            Some(fence) if *fence == held.fence => Ok(()),
            Some(fence) => {
                Err(Error::new(Code::FenceRefused, format!("the slice is held with fence {fence}")))
            }
            None => Err(Error::new(Code::FenceRefused, "the slice is not held")),
        }
    }

    fn expire(&mut self, now: Time) {
        if now >= self.until {
            self.grants.clear();
        }
    }

    fn grant(&mut self, held: FencedSlice) {
        let fence = self.grants.entry(held.slice).or_insert(held.fence);
        *fence = held.fence.max(*fence);
    }

    fn release(&mut self, held: FencedSlice) {
        if self.grants.get(&held.slice).is_some_and(|fence| *fence <= held.fence) {
            self.grants.remove(&held.slice);
        }
    }

    fn reply(&self, now: Time, accepted: bool, full: bool) -> CommandReply {
        let granted = self.grants.iter().map(|(slice, fence)| FencedSlice { slice: *slice, fence: *fence });
        CommandReply {
            target: self.target.clone(),
            boot: self.boot,
            clock: now,
            accepted,
            stamp: self.stamp,
            until: self.until,
            slices: if full { granted.collect() } else { Vec::new() },
            running: if full { self.running.keys().copied().collect() } else { Vec::new() },
            draining: self.draining,
        }
    }
}

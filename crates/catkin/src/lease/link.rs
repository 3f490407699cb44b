//! Commands to one target: its process, stamps and the outstanding one.

use crate::{
    api::{Command, Order, Stamp},
    types::{Offset, Time, VmId},
};

/// Where the commands to a target stand.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Link {
    boot: Option<u64>,
    seen: Time,
    current: bool,
    number: u64,
    sent: Option<Sent>,
}

/// The outstanding command or inspection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Sent {
    /// When it was made.
    pub(super) at: Time,
    /// Stamp of a command.
    pub(super) stamp: Option<Stamp>,
    /// Whether the answer lists what the target holds.
    pub(super) full: bool,
}

impl Link {
    pub(super) fn boot(&self) -> Option<u64> {
        self.boot
    }

    /// Takes a boot number. Returns whether it is that of another process.
    pub(super) fn meet(&mut self, now: Time, boot: u64) -> bool {
        if self.boot == Some(boot) {
            return false;
        }
        self.boot = Some(boot);
        self.seen = now;
        self.current = false;
        true
    }

    /// Takes note that a read of the log up to its head began at a moment.
    pub(super) fn at_head(&mut self, began: Time) {
        if self.boot.is_some() && began >= self.seen {
            self.current = true;
        }
    }

    /// Returns whether the log was read after the process was met.
    pub(super) fn is_current(&self) -> bool {
        self.current
    }

    pub(super) fn outstanding(&self) -> Option<Sent> {
        self.sent
    }

    pub(super) fn inspect(&mut self, now: Time) {
        self.sent = Some(Sent { at: now, stamp: None, full: true });
    }

    pub(super) fn command(
        &mut self,
        now: Time,
        from: &VmId,
        keeper: Offset,
        order: Order,
    ) -> Option<Command> {
        let boot = self.boot?;
        self.number += 1;
        let stamp = Stamp { keeper, number: self.number };
        let full = !matches!(order, Order::Renew { .. });
        self.sent = Some(Sent { at: now, stamp: Some(stamp), full });
        Some(Command { from: from.clone(), boot, stamp, order })
    }

    pub(super) fn clear(&mut self) {
        self.sent = None;
    }

    /// Skips numbers that the target has seen.
    pub(super) fn skip(&mut self, number: u64) {
        self.number = self.number.max(number);
    }
}

//! Command channel to one target: its incarnation, the command numbers and
//! the outstanding command.

use crate::{
    api::{Command, CommandStamp, Operation},
    types::{Offset, Time, VmId},
};

/// Command channel to one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct CommandChannel {
    boot: Option<u64>,
    /// When `boot` was first seen.
    boot_seen: Time,
    /// Whether the log was read up to its head after `boot_seen`.
    head_read: bool,
    /// Number of the newest command.
    number: u64,
    outstanding: Option<Outstanding>,
}

/// The outstanding command or read of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Outstanding {
    /// When it was created, which is before it is sent.
    pub(super) at: Time,
    /// Stamp of a command; a read of the lease has none.
    pub(super) stamp: Option<CommandStamp>,
    /// Whether the answer lists what the target holds.
    pub(super) full: bool,
}

impl CommandChannel {
    pub(super) fn boot(&self) -> Option<u64> {
        self.boot
    }

    /// Records the boot number of an answer. Returns whether it differs from
    /// the one before, which means another incarnation.
    pub(super) fn observe_boot(&mut self, now: Time, boot: u64) -> bool {
        if self.boot == Some(boot) {
            return false;
        }
        self.boot = Some(boot);
        self.boot_seen = now;
        self.head_read = false;
        true
    }

    /// Records that a read of the log up to its head began at `read_start`.
    pub(super) fn at_head(&mut self, read_start: Time) {
        if self.boot.is_some() && read_start >= self.boot_seen {
            self.head_read = true;
        }
    }

    /// Returns whether the log was read up to its head after the incarnation
    /// was first seen.
    pub(super) fn has_read_head(&self) -> bool {
        self.head_read
    }

    pub(super) fn outstanding(&self) -> Option<Outstanding> {
        self.outstanding
    }

    pub(super) fn inspect(&mut self, now: Time) {
        self.outstanding = Some(Outstanding { at: now, stamp: None, full: true });
    }

    pub(super) fn command(
        &mut self,
        now: Time,
        vm: &VmId,
        keeper: Offset,
        order: Operation,
    ) -> Option<Command> {
        let boot = self.boot?;
        self.number += 1;
        let stamp = CommandStamp { keeper, number: self.number };
        let full = !matches!(order, Operation::Renew { .. });
        self.outstanding = Some(Outstanding { at: now, stamp: Some(stamp), full });
        Some(Command { from: vm.clone(), boot, stamp, order })
    }

    pub(super) fn clear_outstanding(&mut self) {
        self.outstanding = None;
    }

    /// Skips command numbers up to one that the target has accepted.
    pub(super) fn skip_to(&mut self, number: u64) {
        self.number = self.number.max(number);
    }
}

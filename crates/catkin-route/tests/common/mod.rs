//! Targets, times and tables that several tests use.
#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod service;

use {
    catkin::types::{Span, Time},
    catkin_route::{
        balance::FleetLoads,
        directory::{Directory, Entry, Incarnation},
        granter::{self, Command, Granter, LeaseTimes, Outcome, Step},
        owners::{Owners, ProcessId},
    },
    std::sync::Arc,
};

/// Times of leases in the tests.
pub(crate) const LEASE_TIMES: LeaseTimes = LeaseTimes {
    duration: Span::from_millis(3_000),
    renew_interval: Span::from_millis(750),
    margin: Span::from_millis(250),
    skew: 1.025,
};

/// Name of the keyed service in the tests.
pub(crate) const SERVICE: &str = "s";

/// Returns the time at a number of milliseconds.
pub(crate) fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// Returns an incarnation of a target.
pub(crate) fn incarnation(id: &str, started: u64) -> Incarnation {
    Incarnation { id: id.into(), started }
}

/// Returns a directory entry of a target that serves [`SERVICE`] with 6 slots.
pub(crate) fn entry(id: &str, started: u64) -> Entry {
    Entry {
        incarnation: incarnation(id, started),
        service: SERVICE.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 6,
        draining: false,
        cold_left: Span::ZERO,
    }
}

/// Returns a leader on a VM.
pub(crate) fn leader(vm: &str) -> ProcessId {
    ProcessId { vm: vm.into(), run_id: 1, addr: "127.0.0.1:2".parse().unwrap() }
}

/// A leader with its directory, in virtual time. Writes to the store succeed at
/// once.
pub(crate) struct SimulatedLeader {
    pub(crate) granter: Granter,
    pub(crate) directory: Directory,
    pub(crate) loads: FleetLoads,
    pub(crate) now: u64,
    pub(crate) next_offset: u64,
    pub(crate) table: Option<Owners>,
    /// Whether the leader reaches the store between its writes.
    pub(crate) reaches_store: bool,
}

impl SimulatedLeader {
    /// Starts a leader on an empty store with the given targets.
    pub(crate) fn new(ids: &[&str]) -> Self {
        let mut directory = Directory::default();
        for id in ids {
            directory.put(at(0), entry(id, 1));
        }
        let claim = granter::claim(&leader("a"), LEASE_TIMES.duration, None, 0);
        let granter = Granter::new(LEASE_TIMES, at(0), at(0), LEASE_TIMES.duration, &claim, 0);
        let (loads, table) = (FleetLoads::default(), Some(claim));
        Self { granter, directory, loads, now: 0, next_offset: 1, table, reaches_store: true }
    }

    /// Advances the time without a round of the leader.
    pub(crate) fn advance(&mut self, millis: u64) {
        self.now += millis;
    }

    /// Runs one round; the store accepts all writes at once. Returns the
    /// commands.
    pub(crate) fn round(&mut self) -> Vec<Command> {
        let keyed: [Arc<str>; 1] = [SERVICE.into()];
        let mut commands = Vec::new();
        if self.reaches_store {
            self.granter.note_store_contact(at(self.now));
        }
        for step in self.granter.tick(at(self.now), &keyed, &self.directory, &self.loads) {
            match step {
                Step::Send(command) => commands.push(command),
                Step::Write { table, offset } => {
                    assert_eq!(offset, self.next_offset, "the table must follow the last record");
                    self.next_offset += 1;
                    self.table = Some(table);
                    self.granter.table_accepted(at(self.now));
                }
            }
        }
        commands
    }

    /// Runs a round every 50 ms for a time and ends each command with the
    /// outcome from `answer`; without one, the command stays in progress.
    /// Returns all commands.
    pub(crate) fn run(
        &mut self,
        millis: u64,
        mut answer: impl FnMut(&Command) -> Option<Outcome>,
    ) -> Vec<Command> {
        let mut all = Vec::new();
        let until = self.now + millis;
        while self.now < until {
            for command in self.round() {
                if let Some(outcome) = answer(&command) {
                    self.granter.command_ended(at(self.now), command.ticket, outcome);
                }
                all.push(command);
            }
            self.advance(50);
        }
        all
    }
}

/// Returns the outcome of a command that the target carries out.
pub(crate) fn accept(_: &Command) -> Option<Outcome> {
    Some(Outcome::Done(None))
}

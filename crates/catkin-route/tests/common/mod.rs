//! Targets, times and tables that several tests share.
#![allow(dead_code)]

use {
    catkin::types::{Span, Time},
    catkin_route::{
        balance::Loads,
        directory::{Directory, Entry, Life},
        granter::{self, Command, Granter, Outcome, Rules, Step},
        owners::{Leader, Owners},
    },
    std::sync::Arc,
};

/// Times of grants in the tests.
pub(crate) const RULES: Rules = Rules {
    hold: Span::from_millis(3_000),
    renew: Span::from_millis(750),
    margin: Span::from_millis(250),
    skew: 1.025,
};

/// Name of the keyed service.
pub(crate) const SERVICE: &str = "s";

/// A reading in milliseconds.
pub(crate) fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// The first process of a target, or a later one.
pub(crate) fn life(id: &str, born: u64) -> Life {
    Life { id: id.into(), born }
}

/// An entry of the directory.
pub(crate) fn entry(id: &str, born: u64) -> Entry {
    Entry {
        life: life(id, born),
        service: SERVICE.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 6,
        draining: false,
        cold: Span::ZERO,
    }
}

/// A leading process.
pub(crate) fn leader(vm: &str) -> Leader {
    Leader { vm: vm.into(), incarnation: 1, addr: "127.0.0.1:2".parse().unwrap() }
}

/// A leader with its directory, in virtual time.
pub(crate) struct Lead {
    pub(crate) granter: Granter,
    pub(crate) directory: Directory,
    pub(crate) loads: Loads,
    pub(crate) now: u64,
    pub(crate) end: u64,
    pub(crate) table: Option<Owners>,
}

impl Lead {
    /// Starts on an empty store with the given targets.
    pub(crate) fn new(ids: &[&str]) -> Self {
        let mut directory = Directory::default();
        for id in ids {
            directory.put(at(0), entry(id, 1));
        }
        let claim = granter::claim(&leader("a"), RULES.hold, None, 0);
        let granter = Granter::new(RULES, at(0), at(0), RULES.hold, &claim, 0);
        Self { granter, directory, loads: Loads::default(), now: 0, end: 1, table: Some(claim) }
    }

    /// Lets time pass without a round.
    pub(crate) fn pass(&mut self, millis: u64) {
        self.now += millis;
    }

    /// Runs one round; writes are accepted at once. Returns the commands.
    pub(crate) fn round(&mut self) -> Vec<Command> {
        let keyed: [Arc<str>; 1] = [SERVICE.into()];
        let mut commands = Vec::new();
        for step in self.granter.tick(at(self.now), &keyed, &self.directory, &self.loads) {
            match step {
                Step::Send(command) => commands.push(command),
                Step::Write { table, end } => {
                    assert_eq!(end, self.end, "the table must follow the last record");
                    self.end += 1;
                    self.table = Some(table);
                    self.granter.written(at(self.now));
                }
            }
        }
        commands
    }

    /// Runs rounds for a time and answers each command by a rule.
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
                    self.granter.ended(at(self.now), command.ticket, outcome);
                }
                all.push(command);
            }
            self.pass(50);
        }
        all
    }
}

/// Answers every command.
pub(crate) fn done(_: &Command) -> Option<Outcome> {
    Some(Outcome::Done(None))
}

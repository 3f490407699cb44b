//! A bound on the log lines of each kind.
//!
//! Under load a line for each request would cost more than the request. Each
//! kind has a number of lines a second; what is left out is counted and told
//! with the next line.

use {
    catkin::types::Time,
    std::{cell::RefCell, collections::BTreeMap},
};

/// Lines of one kind in a second.
const LINES_MAX: u32 = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    second: u64,
    written: u32,
    omitted: u32,
}

/// Counts the lines of each kind.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    kinds: RefCell<BTreeMap<&'static str, Kind>>,
}

impl Lines {
    /// Returns whether a line of a kind may be written.
    pub(crate) fn allow(&self, now: Time, name: &'static str) -> bool {
        let second = now.as_micros() / 1_000_000;
        let mut kinds = self.kinds.borrow_mut();
        let kind = kinds.entry(name).or_default();
        if kind.second != second {
            if kind.omitted > 0 {
                log::info!(kind = name, omitted = kind.omitted; "log lines omitted");
            }
            *kind = Kind { second, ..Kind::default() };
        }
        let allowed = kind.written < LINES_MAX;
        kind.written += u32::from(allowed);
        kind.omitted += u32::from(!allowed);
        allowed
    }
}

//! Limits the number of log lines per second and message.
//!
//! Under load, a line for each request would cost more than the request.
//! Omitted lines are counted, and the count is logged with the next line of
//! that message.

use {
    catkin::types::Time,
    std::{cell::RefCell, collections::BTreeMap},
};

const LINES_PER_SECOND_MAX: u32 = 40;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    written: u32,
    omitted: u32,
}

/// Counters of log lines by message.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    windows: RefCell<BTreeMap<&'static str, Window>>,
}

impl LogLimiter {
    /// Returns whether a line with this message may be written now.
    pub(crate) fn allow(&self, now: Time, message: &'static str) -> bool {
        let second = now.as_micros() / 1_000_000;
        let mut windows = self.windows.borrow_mut();
        let window = windows.entry(message).or_default();
        if window.second != second {
            if window.omitted > 0 {
                log::info!(kind = message, omitted = window.omitted; "log lines omitted");
            }
            *window = Window { second, ..Window::default() };
        }
        let allowed = window.written < LINES_PER_SECOND_MAX;
        window.written += u32::from(allowed);
        window.omitted += u32::from(!allowed);
        allowed
    }
}

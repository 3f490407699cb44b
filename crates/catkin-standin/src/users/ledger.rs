//! What callers, servers and the store have seen.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

#[derive(Clone, Debug, Default)]
struct Run {
    count: u32,
    once: bool,
    refused: bool,
}

#[derive(Debug, Default)]
struct Inner {
    runs: HashMap<String, Run>,
    /// Highest fence and its holder for each key.
    fences: HashMap<u16, (u64, String)>,
    broken: Vec<String>,
}

/// Notes what servers run and what callers are told, and finds what must not
/// happen.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    inner: Rc<RefCell<Inner>>,
}

impl Ledger {
    /// Notes that a server began to work on a request.
    pub fn ran(&self, id: &str, once: bool) {
        let mut inner = self.inner.borrow_mut();
        let run = inner.runs.entry(id.to_owned()).or_default();
        run.count += 1;
        run.once |= once;
        let run = run.clone();
        if run.once && run.count > 1 {
            inner.broken.push(format!("request {id} ran {} times", run.count));
        }
        if run.once && run.refused {
            inner.broken.push(format!("request {id} was refused as not run and ran"));
        }
    }

    /// Notes that a caller was told that a request did not run.
    pub fn refused(&self, id: &str, once: bool) {
        let mut inner = self.inner.borrow_mut();
        let run = inner.runs.entry(id.to_owned()).or_default();
        run.refused = true;
        let ran = run.count > 0;
        if once && ran {
            inner.broken.push(format!("request {id} was refused as not run and had run"));
        }
    }

    /// Notes that a server began work on a key under a fence.
    pub fn worked(&self, server: &str, key: u16, fence: u64) {
        let mut inner = self.inner.borrow_mut();
        let (top, holder) = inner.fences.entry(key).or_insert((fence, server.to_owned())).clone();
        if fence < top && holder != server {
            inner.broken.push(format!("{server} worked on key {key} under {fence}, {holder} under {top}"));
        }
        if fence == top && holder != server {
            inner.broken.push(format!("{server} and {holder} worked on key {key} under {top}"));
        }
        if fence >= top {
            inner.fences.insert(key, (fence, server.to_owned()));
        }
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.inner.borrow().runs.get(id).map_or(0, |r| r.count)
    }

    /// Returns what must not have happened.
    pub fn broken(&self) -> Vec<String> {
        self.inner.borrow().broken.clone()
    }

    /// Notes something that must not have happened.
    pub fn blame(&self, what: String) {
        self.inner.borrow_mut().broken.push(what);
    }
}

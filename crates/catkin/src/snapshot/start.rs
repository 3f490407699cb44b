//! Choice of the initial state of a starting VM.

use {
    super::Join,
    crate::{Code, Error, fold::State, types::Offset},
};

/// Result of reading the log from its oldest record to its head.
#[derive(Clone, Copy, Debug)]
pub struct Scan<'a> {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Assembler of the chunks that were read.
    pub join: &'a Join,
}

/// Initial state of a starting VM.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Start from this state and apply the records of the log from its next offset
    /// on.
    State(Box<State>),
    /// No usable state yet. The VM refuses requests and retries.
    Wait,
}

/// Chooses the initial state.
///
/// If the log is available (`log` is `Some`), this is the first of the following
/// that exists: the newest complete snapshot whose later records are all
/// retained, the empty state if no record has expired, or the newest state of a
/// peer whose later records are all retained. If the log is unavailable, it is
/// the newest state of a peer.
pub fn choose(log: Option<Scan<'_>>, peers: &[State]) -> Choice {
    let first = log.map(|scan| scan.first).unwrap_or_default();
    let snapshot = log.and_then(|scan| scan.join.newest());
    if let Some(state) = snapshot.filter(|state| state.next() >= first) {
        return Choice::State(Box::new(state.clone()));
    }
    if log.is_some() && first == Offset::default() {
        return Choice::State(Box::new(State::new()));
    }
    let peer = peers.iter().max_by_key(|state| state.next()).filter(|state| state.next() > Offset::default());
    match peer.filter(|state| state.next() >= first) {
        Some(state) => Choice::State(Box::new(state.clone())),
        None => Choice::Wait,
    }
}

/// Replaces a state by one at the same or a later offset.
///
/// # Errors
///
/// `Code::Duplicate` if the other state is older; `state` is then unchanged.
pub fn advance(state: &mut State, newer: State) -> Result<(), Error> {
    if newer.next() < state.next() {
        let detail = format!("state at offset {} is older than the one at {}", newer.next(), state.next());
        return Err(Error::new(Code::Duplicate, detail));
    }
    *state = newer;
    Ok(())
}

//! InitialState of the initial state of a starting VM.

use {
    super::Assembler,
    crate::{Code, Error, fold::State, types::Offset},
};

/// Result of reading the log from its oldest record to its head.
#[derive(Clone, Copy, Debug)]
pub struct LogScan<'a> {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Assembler of the chunks that were read.
    pub snapshots: &'a Assembler,
}

/// Initial state of a starting VM.
#[derive(Clone, Debug, PartialEq)]
pub enum InitialState {
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
pub fn choose_initial(log: Option<LogScan<'_>>, peers: &[State]) -> InitialState {
    let first = log.map(|scan| scan.first).unwrap_or_default();
    let snapshot = log.and_then(|scan| scan.snapshots.newest());
    if let Some(state) = snapshot.filter(|state| state.next_offset() >= first) {
        return InitialState::State(Box::new(state.clone()));
    }
    if log.is_some() && first == Offset::default() {
        return InitialState::State(Box::new(State::new()));
    }
    let peer = peers
        .iter()
        .max_by_key(|state| state.next_offset())
        .filter(|state| state.next_offset() > Offset::default());
    match peer.filter(|state| state.next_offset() >= first) {
        Some(state) => InitialState::State(Box::new(state.clone())),
        None => InitialState::Wait,
    }
}

/// Replaces a state by one at the same or a later offset.
///
/// # Errors
///
/// `Code::Duplicate` if the other state is older; `state` is then unchanged.
pub fn replace(state: &mut State, newer: State) -> Result<(), Error> {
    if newer.next_offset() < state.next_offset() {
        let detail = format!(
            "state at offset {} is older than the one at {}",
            newer.next_offset(),
            state.next_offset()
        );
        return Err(Error::new(Code::Duplicate, detail));
    }
    *state = newer;
    Ok(())
}

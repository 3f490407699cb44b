//! What a VM starts from.

use {
    super::Join,
    crate::{Code, Error, fold::State, types::Offset},
};

/// The log as read from its oldest record to its head.
#[derive(Clone, Copy, Debug)]
pub struct Scan<'a> {
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Chunks that were read.
    pub join: &'a Join,
}

/// What a VM starts from.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// This state, and the records of the log from its next offset on.
    State(Box<State>),
    /// Nothing yet: the VM refuses requests and asks again.
    Wait,
}

/// Chooses what to start from.
///
/// With the log, this is the newest complete snapshot whose later records are
/// all kept, the empty state if nothing has expired, or the newest state of a
/// peer if its later records are kept. Without the log it is the newest state
/// of a peer.
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

/// Replaces a state by a newer one.
///
/// # Errors
///
/// `Code::Duplicate` if the other state is older. The state does not change.
pub fn advance(state: &mut State, newer: State) -> Result<(), Error> {
    if newer.next() < state.next() {
        let detail = format!("a state at offset {} after {}", newer.next(), state.next());
        return Err(Error::new(Code::Duplicate, detail));
    }
    *state = newer;
    Ok(())
}

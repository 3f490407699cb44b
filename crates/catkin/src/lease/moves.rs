//! Moves of slices through the log, and provisional failovers while the log is
//! unavailable.

use {
    super::{
        Action, Keeper,
        kept::{Assignment, KeptTarget, PendingMoves},
    },
    crate::{
        Code, Error,
        record::{Assign, Change, Move, SplitOff},
        types::{Service, SliceId, Span, TargetId, Time, Version},
    },
    std::collections::BTreeSet,
};

/// An append that had no effect after this time is repeated.
pub(super) const APPEND_RETRY: Span = Span::from_secs(1);
/// Maximum number of moves in one record. These moves name no standby, so that
/// more of them fit than in a record of [`crate::place::Assigner`].
const RECORD_MOVES_MAX: usize = 1_024;

impl Keeper {
    /// Requests a move of a slice whose owner this VM keeps. Returns the change
    /// to append.
    ///
    /// # Errors
    ///
    /// `Code::NotKeeper` if this VM does not keep the owner, has not finished
    /// taking it over, or the previous owner may still serve the slice.
    /// `Code::StaleVersion` if the row has changed or another move is pending.
    pub fn move_slice(
        &mut self,
        now: Time,
        service: &Service,
        owner: &TargetId,
        slice_move: Move,
    ) -> Result<Change, Error> {
        let refuse = |code, detail: &str| Err(Error::new(code, format!("{owner}: {detail}")));
        let Some(kept) = self.kept.get_mut(owner) else {
            return refuse(Code::NotKeeper, "not kept by this gateway");
        };
        let Some(assignment) = kept
            .assigned
            .get(&slice_move.slice)
            .filter(|assignment| assignment.version == slice_move.expects)
        else {
            return refuse(Code::StaleVersion, "the row has changed");
        };
        if !kept.may_move(slice_move.slice, assignment) {
            return refuse(Code::NotKeeper, "an earlier keeper or owner may still be active");
        }
        if kept.has_recent_move(now, slice_move.slice) || kept.failed_over.contains_key(&slice_move.slice) {
            return refuse(Code::StaleVersion, "another move of the slice is pending");
        }
        kept.record_move(now, slice_move.slice, slice_move.expects, &slice_move.owner);
        Ok(Change::Assign(Assign { service: service.clone(), moves: vec![slice_move] }))
    }

    /// Requests to split off a hot key from a slice whose owner this VM keeps.
    /// Returns the change to append.
    ///
    /// # Errors
    ///
    /// As [`Keeper::move_slice`].
    pub fn split_off(
        &mut self,
        now: Time,
        owner: &TargetId,
        slice: SliceId,
        split_off: SplitOff,
    ) -> Result<Change, Error> {
        let same = Move {
            slice,
            expects: split_off.expects,
            owner: owner.clone(),
            standby: None,
            provisional: None,
        };
        self.move_slice(now, &split_off.service.clone(), owner, same)?;
        Ok(Change::SplitOff(split_off))
    }

    /// Moves the slices of unreachable targets to their standbys.
    pub(super) fn move_slices(&mut self, now: Time, actions: &mut Vec<Action>) {
        let targets: Vec<TargetId> = self.kept.keys().cloned().collect();
        for target in targets {
            if !self.log_up && self.is_unreachable(now, &target) {
                self.fail_over(now, &target);
                continue;
            }
            self.kept.get_mut(&target).into_iter().for_each(KeptTarget::restore_tentative);
            if self.log_up {
                self.append_moves(now, &target, actions);
            }
        }
    }

    fn append_moves(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(service) = self.services.get(target).cloned() else { return };
        let moves = self.due_moves(now, target);
        let Some(kept) = self.kept.get_mut(target) else { return };
        for slice_move in &moves {
            kept.record_move(now, slice_move.slice, slice_move.expects, &slice_move.owner);
        }
        for chunk in moves.chunks(RECORD_MOVES_MAX) {
            let assign = Assign { service: service.clone(), moves: chunk.to_vec() };
            actions.push(Action::Append(Change::Assign(assign)));
        }
    }

    fn due_moves(&self, now: Time, target: &TargetId) -> Vec<Move> {
        let Some(kept) = self.kept.get(target) else { return Vec::new() };
        let unreachable = kept.is_unreachable(now, &self.timings);
        if !unreachable && kept.failed_over.is_empty() {
            return Vec::new();
        }
        let moves = kept.assigned.iter().filter_map(|(slice, assignment)| {
            if kept.has_recent_move(now, *slice) || !kept.may_move(*slice, assignment) {
                return None;
            }
            let failed_over = kept.failed_over.get(slice);
            let standby = self.usable_standby(now, target, assignment).filter(|_| unreachable);
            let owner = failed_over.map(|(to, _)| to).or(standby)?.clone();
            let provisional = failed_over.map(|(_, fence)| *fence);
            Some(Move { slice: *slice, expects: assignment.version, owner, standby: None, provisional })
        });
        moves.collect()
    }

    fn usable_standby<'a>(
        &self,
        now: Time,
        target: &TargetId,
        assignment: &'a Assignment,
    ) -> Option<&'a TargetId> {
        let standby = assignment.standby.as_ref()?;
        (standby != target && !self.is_removed(now, standby)).then_some(standby)
    }

    /// Fails slices of an unreachable target over to the standby that the log
    /// names, except where a move to another target may still reach the log.
    fn fail_over(&mut self, now: Time, target: &TargetId) {
        let Some(kept) = self.kept.get(target) else { return };
        let due: Vec<(SliceId, Assignment)> = kept
            .assigned
            .iter()
            .filter(|(slice, assignment)| {
                !kept.failed_over.contains_key(*slice) && kept.may_move(**slice, assignment)
            })
            .filter(|(slice, assignment)| {
                let pending = kept.pending_moves.get(*slice).map(|pending| &pending.to);
                pending.into_iter().flatten().all(|to| assignment.standby.as_ref() == Some(to))
            })
            .filter(|(_, assignment)| self.usable_standby(now, target, assignment).is_some())
            .map(|(slice, assignment)| (*slice, assignment.clone()))
            .collect();
        let Some(kept) = self.kept.get_mut(target) else { return };
        for (slice, assignment) in due {
            kept.revoke_tentatively(now, slice, assignment.fence);
            if !kept.has_stopped(now, &self.timings, slice, assignment.fence) {
                continue;
            }
            if let Some(standby) = assignment.standby {
                kept.fail_over(slice, standby, assignment.fence.next_step());
            }
        }
    }
}

impl KeptTarget {
    /// Returns whether a move was appended so recently that it is not repeated.
    /// Repeated moves expect the same version, so the fold refuses all but one.
    fn has_recent_move(&self, now: Time, slice: SliceId) -> bool {
        self.pending_moves.get(&slice).is_some_and(|pending| now.since(pending.at) < APPEND_RETRY)
    }

    fn record_move(&mut self, now: Time, slice: SliceId, expects: Version, to: &TargetId) {
        let empty = PendingMoves { expects, to: BTreeSet::new(), at: now };
        let pending = self.pending_moves.entry(slice).or_insert(empty);
        pending.at = now;
        pending.to.insert(to.clone());
    }

    /// Returns whether the keeper may move a slice: the standbys know this
    /// keeper, and no previous owner serves the slice.
    fn may_move(&self, slice: SliceId, assignment: &Assignment) -> bool {
        !self.superseded
            && self.is_announced()
            && self.vacated.contains(&slice)
            && self.assigned.get(&slice) == Some(assignment)
    }
}

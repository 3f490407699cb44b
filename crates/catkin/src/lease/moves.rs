//! Moves of slices: to the log, and provisional ones while the log is down.

use {
    super::{
        Action, Keeper,
        kept::{Kept, Moving, Want},
    },
    crate::{
        Code, Error,
        record::{Assign, Carve, Change, Move},
        types::{Service, SliceId, Span, TargetId, Time, Version},
    },
    std::collections::BTreeSet,
};

/// An append that has changed nothing after this time is made again.
pub(super) const APPEND_AGAIN: Span = Span::from_secs(1);
const MOVES_PER_RECORD: usize = 1_024;

impl Keeper {
    /// Asks for a move of a slice whose owner this VM keeps, and returns the
    /// change to append.
    ///
    /// # Errors
    ///
    /// `Code::NotKeeper` if this VM does not keep the owner, has not taken it
    /// over yet, or the owner's own predecessor may still serve the slice.
    /// `Code::StaleVersion` if the row has changed or another move is on its
    /// way.
    pub fn shift(
        &mut self,
        now: Time,
        service: &Service,
        owner: &TargetId,
        change: Move,
    ) -> Result<Change, Error> {
        let refuse = |code, detail: &str| Err(Error::new(code, format!("{owner}: {detail}")));
        let Some(kept) = self.kept.get_mut(owner) else {
            return refuse(Code::NotKeeper, "not kept by this gateway");
        };
        let Some(want) = kept.wants.get(&change.slice).filter(|want| want.version == change.expects) else {
            return refuse(Code::StaleVersion, "the row has changed");
        };
        if !kept.may_move(change.slice, want) {
            return refuse(Code::NotKeeper, "the slice is not settled");
        }
        if kept.is_moving(now, change.slice) || kept.handed.contains_key(&change.slice) {
            return refuse(Code::StaleVersion, "a move is on its way");
        }
        kept.note_move(now, change.slice, change.expects, &change.owner);
        Ok(Change::Assign(Assign { service: service.clone(), moves: vec![change] }))
    }

    /// Asks for a slice of its own for a hot key of a slice whose owner this
    /// VM keeps, and returns the change to append.
    ///
    /// # Errors
    ///
    /// As [`Keeper::shift`].
    pub fn carve(
        &mut self,
        now: Time,
        owner: &TargetId,
        slice: SliceId,
        carve: Carve,
    ) -> Result<Change, Error> {
        let same =
            Move { slice, expects: carve.expects, owner: owner.clone(), standby: None, provisional: None };
        self.shift(now, &carve.service.clone(), owner, same)?;
        Ok(Change::Carve(carve))
    }

    /// Moves the slices of lost targets to their standbys.
    pub(super) fn move_slices(&mut self, now: Time, actions: &mut Vec<Action>) {
        let targets: Vec<TargetId> = self.kept.keys().cloned().collect();
        for target in targets {
            if !self.log_up && self.is_lost(now, &target) {
                self.hand_over(now, &target);
                continue;
            }
            self.kept.get_mut(&target).into_iter().for_each(Kept::stay);
            if self.log_up {
                self.append_moves(now, &target, actions);
            }
        }
    }

    fn append_moves(&mut self, now: Time, target: &TargetId, actions: &mut Vec<Action>) {
        let Some(service) = self.services.get(target).cloned() else { return };
        let moves = self.due_moves(now, target);
        let Some(kept) = self.kept.get_mut(target) else { return };
        for change in &moves {
            kept.note_move(now, change.slice, change.expects, &change.owner);
        }
        for part in moves.chunks(MOVES_PER_RECORD) {
            let assign = Assign { service: service.clone(), moves: part.to_vec() };
            actions.push(Action::Append(Change::Assign(assign)));
        }
    }

    fn due_moves(&self, now: Time, target: &TargetId) -> Vec<Move> {
        let Some(kept) = self.kept.get(target) else { return Vec::new() };
        let lost = kept.is_lost(now, &self.timings);
        if !lost && kept.handed.is_empty() {
            return Vec::new();
        }
        let moves = kept.wants.iter().filter_map(|(slice, want)| {
            if kept.is_moving(now, *slice) || !kept.may_move(*slice, want) {
                return None;
            }
            let handed = kept.handed.get(slice);
            let standby = self.usable_standby(now, target, want).filter(|_| lost);
            let owner = handed.map(|(to, _)| to).or(standby)?.clone();
            let provisional = handed.map(|(_, fence)| *fence);
            Some(Move { slice: *slice, expects: want.version, owner, standby: None, provisional })
        });
        moves.collect()
    }

    fn usable_standby<'a>(&self, now: Time, target: &TargetId, want: &'a Want) -> Option<&'a TargetId> {
        let standby = want.standby.as_ref()?;
        (standby != target && !self.is_gone(now, standby)).then_some(standby)
    }

    /// Hands slices of a lost target to the standby that the log names. A
    /// move to another target that may reach the log rules this out.
    fn hand_over(&mut self, now: Time, target: &TargetId) {
        let Some(kept) = self.kept.get(target) else { return };
        let due: Vec<(SliceId, Want)> = kept
            .wants
            .iter()
            .filter(|(slice, want)| !kept.handed.contains_key(*slice) && kept.may_move(**slice, want))
            .filter(|(slice, want)| {
                let moving = kept.moving.get(*slice).map(|moving| &moving.to);
                moving.into_iter().flatten().all(|to| want.standby.as_ref() == Some(to))
            })
            .filter(|(_, want)| self.usable_standby(now, target, want).is_some())
            .map(|(slice, want)| (*slice, want.clone()))
            .collect();
        let Some(kept) = self.kept.get_mut(target) else { return };
        for (slice, want) in due {
            kept.leave(now, slice, want.fence);
            if !kept.has_stopped(now, &self.timings, slice, want.fence) {
                continue;
            }
            if let Some(standby) = want.standby {
                kept.hand_over(slice, standby, want.fence.with_next_step());
            }
        }
    }
}

impl Kept {
    /// Returns whether a move was made so recently that none is made again.
    /// Two moves expect the same version, so that the fold refuses one.
    fn is_moving(&self, now: Time, slice: SliceId) -> bool {
        self.moving.get(&slice).is_some_and(|moving| now.since(moving.at) < APPEND_AGAIN)
    }

    fn note_move(&mut self, now: Time, slice: SliceId, expects: Version, to: &TargetId) {
        let empty = Moving { expects, to: BTreeSet::new(), at: now };
        let moving = self.moving.entry(slice).or_insert(empty);
        moving.at = now;
        moving.to.insert(to.clone());
    }

    /// Returns whether the keeper may move a slice: its rivals are known to
    /// the standbys, and nobody before the owner serves the slice.
    fn may_move(&self, slice: SliceId, want: &Want) -> bool {
        !self.superseded
            && self.is_announced()
            && self.clear.contains(&slice)
            && self.wants.get(&slice) == Some(want)
    }
}

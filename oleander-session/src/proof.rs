//! Whether the history of an instance includes a point that a session has seen.
//!
//! The rules rest on how a promotion works. A promoter fences a majority of the
//! group at its term and promotes the fenced instance with the greatest
//! `(term, position)`; that position is the `start` of the term.
//!
//! - A point that a majority held is in every later term, however many
//!   promotions later, since the two majorities share an instance.
//! - A point of the term just before is in the new term exactly up to `start`.
//!   This needs one rule of the promoter: it promotes at term `t + 1` only an
//!   instance whose log ends in term `t`, unless no primary ever held term `t`.
//! - Of any other older point `start` says too little: the terms between may
//!   have begun before the point and so dropped it. It counts as lost.

use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Role;

use crate::token::SeenPoint;

/// `Proof` is how an instance's history stands to what a session has seen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Proof {
    /// The instance has all that the session has seen.
    Fresh,
    /// The instance does not have it yet.
    Behind,
    /// The term of the instance dropped a part of it, or cannot be shown to include it.
    Lost,
}

/// Checks one point against a status of any age.
///
/// `Fresh` and `Lost` stay true for the instance's term; `Behind` may have passed since.
pub fn check_point(status: &InstanceStatus, seen: SeenPoint) -> Proof {
    let has = status.point;
    let point = seen.point;
    if has.term < point.term {
        return Proof::Behind;
    }
    let is_next = point.term.0.checked_add(1) == Some(has.term.0);
    let is_shared =
        point.term == has.term || seen.durable || (is_next && point.position <= status.start);
    if !is_shared {
        return Proof::Lost;
    }
    // A replica may have joined the term and still lack a part of the shared history.
    if point.position <= has.position { Proof::Fresh } else { Proof::Behind }
}

/// Checks all points of a session against a status of any age. The worst outcome counts.
pub fn check_points(status: &InstanceStatus, seen: &[SeenPoint]) -> Proof {
    seen.iter().map(|seen| check_point(status, *seen)).max().unwrap_or(Proof::Fresh)
}

/// Checks all points of a session against a status that was asked for after the request had come.
///
/// A primary that is behind a point of its own term will never have it: the
/// point is forged, or the primary lost a part of its log.
pub fn check_current(status: &InstanceStatus, seen: &[SeenPoint]) -> Proof {
    let proof = check_points(status, seen);
    let of_own_term = seen.iter().all(|seen| seen.point.term <= status.point.term)
        && status.role == Role::Primary;
    if proof == Proof::Behind && of_own_term { Proof::Lost } else { proof }
}

/// Returns `true` if a majority of a group of `size` instances holds the point of `status`.
///
/// `answered` is the instance that gave the status; `known` are the last known
/// statuses. An instance counts only if it has promised no later term: one that
/// has may have got the entries of the older term as the history of a later
/// one, and a term between the two may lack them. The primary of the term holds
/// what its replicas got from it, so a replica's point counts for both.
pub fn is_durable(
    status: &InstanceStatus,
    answered: InstanceId,
    known: impl IntoIterator<Item = (InstanceId, InstanceStatus)>,
    size: usize,
) -> bool {
    let point = status.point;
    if !holds_in_term(status, point) {
        return false;
    }
    let primaries = usize::from(status.role == Role::Replica);
    let others = known
        .into_iter()
        .filter(|(instance, other)| *instance != answered && holds_in_term(other, point));
    // The primary may or may not be among the others.
    size / 2 < 1 + others.count().max(primaries)
}

/// Returns `true` if the instance got `point` in the point's own term, and holds it still.
pub fn holds_in_term(status: &InstanceStatus, point: LogPoint) -> bool {
    let is_of_term = status.point.term == point.term && status.fence <= point.term;
    is_of_term && point.position <= status.point.position
}

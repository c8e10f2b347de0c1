//! Checks whether the history of an instance includes a log point that a session has seen.
//!
//! The rules follow from how a promotion works. A promoter fences a majority of the group at its
//! term and promotes the fenced instance with the greatest `(term, position)`; that position is the
//! `start` of the term.
//!
//! - A point that a majority held is included in every later term, however many promotions follow,
//!   since that majority and each fenced majority share an instance.
//! - A point of the directly preceding term is included in the new term if it is not past `start`,
//!   and only then. This relies on a rule of the promoter: it promotes at term `t + 1` only an
//!   instance whose log ends in term `t`, unless no primary ever held term `t`.
//! - For any other older point, `start` proves nothing: a term in between may have started before
//!   the point and so dropped it. The point counts as lost.

use oleander_core::ids::InstanceId;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Role;

use crate::token::SeenPoint;

/// `Proof` tells whether an instance's history includes what a session has seen. Later variants are
/// worse.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Proof {
    /// The instance's history includes everything that the session has seen.
    Fresh,
    /// The instance has not received all of it yet.
    Behind,
    /// The instance's term dropped a part of it, or cannot be proved to include it.
    Lost,
}

/// Checks one point against a status of any age.
///
/// `Fresh` and `Lost` stay true for the instance's term; `Behind` may be outdated.
pub fn check_point(status: &InstanceStatus, seen: SeenPoint) -> Proof {
    let held = status.point;
    let point = seen.point;
    if held.term < point.term {
        return Proof::Behind;
    }
    let is_next = point.term.0.checked_add(1) == Some(held.term.0);
    let is_shared =
        point.term == held.term || seen.durable || (is_next && point.position <= status.start);
    if !is_shared {
        return Proof::Lost;
    }
    // A replica may have joined the term and still lack a part of the shared history.
    if point.position <= held.position { Proof::Fresh } else { Proof::Behind }
}

/// Checks all points of a session against a status of any age and returns the worst result.
pub fn check_points(status: &InstanceStatus, seen: &[SeenPoint]) -> Proof {
    seen.iter().map(|seen| check_point(status, *seen)).max().unwrap_or(Proof::Fresh)
}

/// Checks all points of a session against a status that was requested after the session's request
/// had arrived.
///
/// A primary that is behind a point of its own term will never have it: the point is forged, or the
/// primary lost a part of its log. `Behind` is then returned as `Lost`.
pub fn check_current(status: &InstanceStatus, seen: &[SeenPoint]) -> Proof {
    let proof = check_points(status, seen);
    let is_final = seen.iter().all(|seen| seen.point.term <= status.point.term)
        && status.role == Role::Primary;
    if proof == Proof::Behind && is_final { Proof::Lost } else { proof }
}

/// Returns `true` if a majority of a group of `size` instances holds the point of `status`.
///
/// `answered` is the instance that sent `status`; `known` are the last known statuses. An instance
/// counts only if it has promised no later term. One that has may have received the entries as part
/// of a later term's history, and a term in between may lack them. The primary of a term holds what
/// its replicas have received from it, so a replica's point counts for both.
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

/// Returns `true` if the instance received `point` in the point's own term and has promised no
/// later term.
pub fn holds_in_term(status: &InstanceStatus, point: LogPoint) -> bool {
    let is_same_term = status.point.term == point.term && status.fence <= point.term;
    is_same_term && point.position <= status.point.position
}

//! Tells the other VMs that a database's primary is withdrawn, and checks that they answer.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::VmId;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::keeper::CONFIRMATIONS_VERSION;
use oleander_membership::leased::LeasedMember;
use oleander_membership::leased::LeasedRoster;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Confirmations;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_ports::store::StoreRevision;
use tokio::task::JoinSet;

use super::watcher::PrimarySample;
use crate::control::Backoff;
use crate::fleet::Fleet;

/// The time within which a VM must answer to count as reachable: a few round trips between regions.
const REACH_TIMEOUT: Span = Span::from_millis(300);

/// The time within which a VM must answer one attempt to notify it.
const ANSWER_TIMEOUT: Span = Span::from_millis(1_000);

/// `Withdrawal` is the outcome of telling all VMs that a record names no primary.
#[derive(Clone, Copy, Debug)]
pub struct Withdrawal {
    /// The number of VMs that did not answer.
    pub silent: usize,
    /// A point at or after each commit that a VM has confirmed; `None` unless each process that may
    /// have confirmed one since the sample has told.
    pub confirmed: Option<LogPoint>,
    /// The greatest position of the primary that the sample and the VMs that answered have told.
    pub mark: Option<LogPoint>,
}

/// Tells all VMs that the keeper record written at `revision` names no primary, and waits until
/// none of them confirms writes by an older record. `sample` is the latest answer of the primary.
///
/// Each VM is told directly, since it may have lost the store. One that does not answer stops
/// confirming writes by itself once its lease has ended or it has not heard from the store for
/// `NodeSettings::currency_ttl`.
pub async fn primary_withdrawn(
    fleet: &Arc<Fleet>,
    peers: &PeerClient,
    database: DatabaseId,
    revision: StoreRevision,
    sample: Option<PrimarySample>,
) -> Withdrawal {
    fleet.withdraw_primary(database, revision);
    let own = fleet.confirmations(database);
    let limit = fleet.now() + fleet.settings.currency_ttl();
    let mut changes = fleet.changes();
    // From this revision on the roster names all VMs that may have read the earlier record.
    let viewed = changes.wait_for(|at| revision <= *at);
    let _ = fleet.timers.within(fleet.settings.currency_ttl(), viewed).await;
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (fleet, peers, vm) = (fleet.clone(), peers.clone(), member.vm());
        let notice = Notice { database, revision, limit };
        calls.spawn(async move { (vm, notify_vm(fleet, peers, vm, notice).await) });
    }
    let answers = calls.join_all().await;
    let silent = answers.iter().filter(|(_, answer)| *answer == Notified::Silent).count();
    let told = answers.into_iter().filter_map(|(vm, answer)| Some((vm, answer.confirmations()?)));
    let told: HashMap<VmId, Confirmations> = told.chain([(fleet.vm, own)]).collect();
    let roster = fleet.view().roster.clone();
    let points = told.values().filter_map(|told| told.point);
    let mark = points.chain(sample.as_ref().map(|sample| sample.point)).max();
    let confirmed = sample.and_then(|sample| confirmed_point(&roster, &sample, &told));
    Withdrawal { silent, confirmed, mark }
}

/// Returns a point at or after each confirmed commit, if each process has told that may have
/// confirmed one since the sample. Commits confirmed before lie at or before the sample.
pub fn confirmed_point(
    roster: &LeasedRoster,
    sample: &PrimarySample,
    told: &HashMap<VmId, Confirmations>,
) -> Option<LogPoint> {
    let told_by =
        |member: &LeasedMember| told.get(&member.vm()).filter(|told| told.life == member.life);
    // An earlier process of a VM that has joined may have confirmed commits since, too.
    let joined = roster.joined_since(&sample.roster)?;
    let is_complete =
        joined.into_iter().all(|member| told_by(member).is_some_and(|told| told.first))
            && sample.roster.present().all(|member| told_by(member).is_some());
    let points = told.values().filter_map(|told| told.point);
    is_complete.then(|| points.fold(sample.point, LogPoint::max))
}

/// Returns `true` if all other VMs with a running lease answer.
pub async fn all_reachable(fleet: &Fleet, peers: &PeerClient) -> bool {
    let mut calls = JoinSet::new();
    for member in fleet.view().roster.others(fleet.vm) {
        let (peers, addr) = (peers.clone(), member.peers);
        calls.spawn(async move { peers.call(addr, &Request::Ready, REACH_TIMEOUT).await.is_ok() });
    }
    while let Some(answered) = calls.join_next().await {
        if !answered.unwrap_or(false) {
            return false;
        }
    }
    true
}

/// `Notice` is what VMs are told, and until when they are tried.
#[derive(Clone, Copy, Debug)]
struct Notice {
    database: DatabaseId,
    revision: StoreRevision,
    limit: Time,
}

/// `Notified` is the outcome of telling a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Notified {
    /// The VM has told what it has confirmed.
    Told(Confirmations),
    /// The VM confirms nothing more, but does not tell what it has confirmed.
    Stopped,
    /// The VM did not answer in time.
    Silent,
}

impl Notified {
    fn confirmations(self) -> Option<Confirmations> {
        match self {
            Notified::Told(confirmations) => Some(confirmations),
            Notified::Stopped | Notified::Silent => None,
        }
    }
}

/// Notifies a VM until it answers or its lease has ended.
async fn notify_vm(fleet: Arc<Fleet>, peers: PeerClient, vm: VmId, notice: Notice) -> Notified {
    let Notice { database, revision: StoreRevision(revision), limit } = notice;
    let mut backoff = Backoff::default();
    loop {
        let left = limit.since(fleet.now());
        if left == Span::ZERO {
            // By now the VM has stopped confirming writes by itself.
            return Notified::Silent;
        }
        let view = fleet.view();
        let Some(member) = view.roster.member(vm).filter(|_| view.roster.is_present(vm)) else {
            // Without a lease the VM confirms no writes.
            return Notified::Stopped;
        };
        // An earlier build does not know the request that asks for confirmations.
        let request = if member.promotion < CONFIRMATIONS_VERSION {
            Request::Withdrawn { database, revision }
        } else {
            Request::Withdraw { database, revision }
        };
        match peers.call(member.peers, &request, ANSWER_TIMEOUT.min(left)).await {
            Ok(Reply::Withdrawn(confirmations)) => return Notified::Told(confirmations),
            Ok(Reply::Accepted) => return Notified::Stopped,
            _ => fleet.timers.sleep(backoff.next_pause().min(left)).await,
        }
    }
}

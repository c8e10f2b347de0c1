//! The status of an agent, as the operator tool reads it.

use oleander_core::ids::Incarnation;
use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::member::MemberState;
use serde::Serialize;

use crate::lock::lock;
use crate::shared::Shared;

/// `Status` is the status of an agent, shown by `oleanderctl status`.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The kind of process: `agent`.
    pub program: &'static str,
    /// The name of the VM.
    pub vm: String,
    /// The incarnation of the agent; 0 before it has registered.
    pub incarnation: Incarnation,
    /// The configuration revision in force at the agent.
    pub revision: Revision,
    /// The configuration revision that the proxy has reported as in force.
    pub acknowledged: Revision,
    /// `true` if the VM serves keyed requests.
    pub current: bool,
    /// How long the VM stays current without a newer read of the store, in milliseconds.
    pub current_ms: u64,
    /// The age of the latest read of the store by any VM that is known here, in milliseconds;
    /// `None` if none is known.
    pub reading_ms: Option<u64>,
    /// `true` if the VM is one of those that read the store regularly for the fleet.
    pub watcher: bool,
    /// The shares that the VM owns.
    pub shares: Vec<u16>,
    /// The version of the share record.
    pub version: u64,
    /// The members of the fleet, this VM included.
    pub members: Vec<MemberStatus>,
    /// The number of requests and transactions that are open at the proxy, by its last report.
    pub open: u64,
    /// `true` while the agent or its proxy drains.
    pub draining: bool,
}

/// `MemberStatus` is a member of the fleet as this VM knows it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// The name of the VM.
    pub name: String,
    /// The known state of the VM.
    pub state: MemberState,
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// The peer address of its agent.
    pub agent: std::net::SocketAddr,
    /// The peer address of its proxy.
    pub proxy: std::net::SocketAddr,
    /// The number of shares owned by any incarnation of the VM.
    pub shares: usize,
}

/// Returns the status of the agent as JSON.
pub fn describe(shared: &Shared) -> String {
    serde_json::to_string(&status(shared)).unwrap_or_default()
}

fn status(shared: &Shared) -> Status {
    let report = lock(&shared.proxy).report;
    let mut status = Status {
        program: "agent",
        vm: shared.settings.name.clone(),
        incarnation: Incarnation::default(),
        revision: Revision::default(),
        acknowledged: report.revision,
        current: false,
        current_ms: 0,
        reading_ms: None,
        watcher: false,
        shares: Vec::new(),
        version: 0,
        members: Vec::new(),
        open: report.open,
        draining: shared.drain.is_triggered() || report.draining,
    };
    shared.with_node(|node, now| {
        let map = node.shares();
        let owned = |vm| map.owners.iter().flatten().filter(|owner| owner.vm == vm).count();
        let own = node.own().vm;
        let mine = map.owners.iter().enumerate();
        let mine = mine.filter(|(_, owner)| owner.is_some_and(|owner| owner.vm == own));
        let current_until: Time = node.current_until(now);
        status.incarnation = node.own().incarnation;
        status.revision = node.config().revision();
        status.current = now < current_until;
        status.current_ms = current_until.since(now).as_millis();
        status.reading_ms =
            Some(node.reading_age(now)).filter(|age| *age < Span::MAX).map(Span::as_millis);
        status.watcher = node.is_watcher(now);
        status.shares = mine.map(|(share, _)| share as u16).collect();
        status.version = map.version;
        status.members = node
            .members(now)
            .into_iter()
            .map(|member| MemberStatus {
                shares: owned(member.vm),
                name: member.name,
                state: member.state,
                incarnation: member.incarnation,
                region: member.place.region,
                zone: member.place.zone,
                agent: member.agent,
                proxy: member.proxy,
            })
            .collect();
    });
    status
}

//! Messages between agents, and the view that an agent hands to its proxy.

use oleander_core::ids::InstanceId;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::roster::Member;
use crate::shares::ShareMap;

/// `MemberRequest` is what one agent asks another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberRequest {
    /// Tells that the sender lives and what it knows.
    Heartbeat {
        /// The sender.
        from: VmId,
        /// The revision in force at the sender.
        revision: Revision,
    },
}

/// `MemberReply` is the answer to a `MemberRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberReply {
    /// The heartbeat was taken in.
    Seen,
}

/// `SectionBody` is the text of one configuration section.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionBody {
    /// The name of the section in kebab case.
    pub section: String,
    /// The YAML text of the section.
    pub text: String,
}

/// `InstanceReport` is what an agent last saw of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The instance.
    pub instance: InstanceId,
    /// The last status answer; `None` if there has been none.
    pub status: Option<InstanceStatus>,
    /// The time since that answer was asked for.
    pub age: Span,
    /// `true` if the instance answers pings now.
    pub reachable: bool,
}

/// `View` is what an agent tells its proxy; each view replaces the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The revision in force.
    pub revision: Revision,
    /// The sections of that revision; `None` if unchanged since the last view on this stream.
    pub sections: Option<Vec<SectionBody>>,
    /// The VMs of the fleet.
    pub members: Vec<Member>,
    /// The owners of the shares. A share of this VM that it may not use yet, or no more, is
    /// shown without an owner, so the receiver uses exactly the shares that name its own VM.
    pub shares: ShareMap,
    /// The time for which this VM may use its own shares, counted from `echo`.
    pub shares_for: Span,
    /// The time for which this VM counts as current, counted from `echo`.
    pub current_for: Span,
    /// The receiver's own time when it sent the last report or subscription that the agent got.
    /// Counting from there keeps a view that was delayed in transit from being used too long.
    pub echo: Time,
    /// The number of the view on this stream; reports acknowledge it.
    pub serial: u64,
    /// The instances that this VM's agent pings.
    pub instances: Vec<InstanceReport>,
    /// `true` once this VM is to drain.
    pub draining: bool,
}

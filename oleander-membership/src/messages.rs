//! Messages between agents, and the view that an agent hands to its proxy.

use oleander_core::ids::Incarnation;
use oleander_core::ids::InstanceId;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::terms::InstanceStatus;
use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::head::BodyHash;
use crate::head::SectionHead;
use crate::member::Member;
use crate::patch::Patch;
use crate::shares::ShareMap;
use crate::shares::ShareOwner;

/// `MemberRequest` is what one agent asks another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberRequest {
    /// A heartbeat: tells what the sender has and asks what the receiver knows.
    Pull(Pull),
    /// Asks for the whole roster.
    Roster,
    /// Asks for the record of shares.
    Shares,
    /// Asks for the sections in force.
    Sections {
        /// The bodies that the sender holds, against which differences can be made.
        held: Vec<BodyHash>,
    },
    /// Asks an owner to hand over some of its shares.
    AskShares {
        /// The life of the VM that asks.
        asker: ShareOwner,
        /// The number of shares that it would take.
        count: u16,
    },
}

/// `MemberReply` is the answer to a `MemberRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberReply {
    /// What the receiver of a heartbeat knows.
    Pulled(Pulled),
    /// The whole roster.
    Roster(RosterCopy),
    /// The record of shares.
    Shares(ShareMap),
    /// The sections in force.
    Sections(SectionsCopy),
    /// The number of shares that the owner is about to hand over.
    Granted(u16),
}

/// `Pull` is a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The sender.
    pub from: VmId,
    /// The life of the sender's agent.
    pub incarnation: Incarnation,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// The version of the sender's record of shares.
    pub shares: u64,
    /// The digest of the sender's roster.
    pub roster: u64,
    /// Recent changes of the roster; a bounded number.
    pub news: Vec<MemberNews>,
}

/// `Pulled` is the answer to a heartbeat. Only answers carry ages: the receiver counts them from
/// the sending of its own request, so that a delayed message proves nothing new.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pulled {
    /// What the sender has, as in its own heartbeats.
    pub state: Pull,
    /// The latest read of the store that the sender knows of.
    pub reading: Option<StoreReading>,
    /// The ages of the last sign of life of each VM of the roster, in the order of identifiers,
    /// two to a byte.
    pub ages: Vec<u8>,
    /// The VMs of the roster that are known to have the sender's record of shares, in the order of
    /// identifiers, eight to a byte.
    pub acks: Vec<u8>,
}

/// `StoreReading` says that a VM read the store, and what it found.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoreReading {
    /// The time since the read was asked for.
    pub age: Span,
    /// The revision of the configuration's head.
    pub revision: Revision,
    /// The version of the record of shares.
    pub shares: u64,
}

/// `MemberNews` is a change of the roster.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberNews {
    /// The VM is in the fleet, in this form.
    Present(Member),
    /// This life of the VM, and all before it, are out of the fleet.
    Removed(ShareOwner),
}

/// `RosterCopy` is the whole roster of a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RosterCopy {
    /// The VMs of the fleet.
    pub members: Vec<Member>,
    /// The last removed life of each VM that was removed.
    pub removed: Vec<ShareOwner>,
}

/// `SectionsCopy` is the configuration in force at a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionsCopy {
    /// The revision.
    pub revision: Revision,
    /// The sections, ordered by name.
    pub sections: Vec<SectionCopy>,
}

/// `SectionCopy` is one section, as the difference to a body that the receiver holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionCopy {
    /// The name and hash of the section.
    pub head: SectionHead,
    /// The text.
    pub patch: Patch,
}

/// `SectionBody` is the text of one configuration section.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionBody {
    /// The name of the section in kebab case.
    pub section: String,
    /// The YAML text of the section.
    pub text: String,
}

impl SectionBody {
    /// Gets the name and the text.
    pub fn named(&self) -> (&str, &str) {
        (&self.section, &self.text)
    }
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

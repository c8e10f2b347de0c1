//! Messages between agents, and the view that an agent sends to its proxy.

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

/// `MemberRequest` is a request from one agent to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberRequest {
    /// A heartbeat: carries the sender's versions and asks for the receiver's state.
    Pull(Pull),
    /// Asks for the whole roster.
    Roster,
    /// Asks for the share record.
    Shares,
    /// Asks for the sections in force.
    Sections {
        /// The hashes of the bodies that the sender holds, which can serve as bases of patches.
        held: Vec<BodyHash>,
    },
    /// Asks an owner to hand over some of its shares.
    AskShares {
        /// The VM that asks, with its incarnation.
        asker: ShareOwner,
        /// The maximum number of shares that it asks for.
        count: u16,
    },
}

/// `MemberReply` is the answer to a `MemberRequest`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberReply {
    /// Answers `Pull`.
    Pulled(Pulled),
    /// Answers `MemberRequest::Roster`.
    Roster(RosterCopy),
    /// Answers `MemberRequest::Shares`.
    Shares(ShareMap),
    /// Answers `MemberRequest::Sections`.
    Sections(SectionsCopy),
    /// Answers `AskShares` with the number of shares that the owner starts to hand over.
    Granted(u16),
}

/// `Pull` is a heartbeat: the versions of the state that the sender holds, and roster changes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pull {
    /// The sender.
    pub from: VmId,
    /// The incarnation of the sender's agent.
    pub incarnation: Incarnation,
    /// The configuration revision in force at the sender.
    pub revision: Revision,
    /// The version of the sender's share record.
    pub shares: u64,
    /// The digest of the sender's roster, by which differences are detected.
    pub roster: u64,
    /// Recent changes of the roster, a few in each message.
    pub news: Vec<MemberNews>,
}

/// `Pulled` is the answer to a heartbeat.
///
/// Only answers carry ages: the receiver counts them back from the time at which it sent its
/// request, so that a delayed answer never makes a sign of life look newer than it is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pulled {
    /// The sender's versions, as in its own heartbeats.
    pub state: Pull,
    /// The latest read of the store that the sender knows of.
    pub reading: Option<StoreReading>,
    /// The age of the last sign of life of each VM of the roster, sorted by identifier, in four
    /// bits each; see `Liveness::pack`.
    pub ages: Vec<u8>,
    /// A bit set of the VMs of the roster, sorted by identifier, that are known to have the
    /// sender's share record; see `Acks::pack`.
    pub acks: Vec<u8>,
}

/// `StoreReading` is the age and result of a read of the store by any VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoreReading {
    /// The time since the read was started.
    pub age: Span,
    /// The revision of the configuration head in the store.
    pub revision: Revision,
    /// The version of the share record in the store.
    pub shares: u64,
}

/// `MemberNews` is a change of the roster, disseminated by gossip.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberNews {
    /// The VM is a member with this record.
    Present(Member),
    /// This incarnation of the VM and all earlier ones have been removed from the fleet.
    Removed(ShareOwner),
}

/// `RosterCopy` is the whole roster of a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RosterCopy {
    /// The members, sorted by identifier.
    pub members: Vec<Member>,
    /// The highest removed incarnation of each VM that was ever removed.
    pub removed: Vec<ShareOwner>,
}

/// `SectionsCopy` is the configuration in force at a VM.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionsCopy {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The sections, ordered by name.
    pub sections: Vec<SectionCopy>,
}

/// `SectionCopy` is one section, as a patch of a body that the receiver holds if there is one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SectionCopy {
    /// The name and hash of the section.
    pub head: SectionHead,
    /// The text, whole or as a patch.
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
    /// Returns the name and the text, as the configuration check takes them.
    pub fn named(&self) -> (&str, &str) {
        (&self.section, &self.text)
    }
}

/// `InstanceReport` is the latest known state of an instance that the agent pings.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The identifier of the instance.
    pub instance: InstanceId,
    /// The last status that the instance answered; `None` if it has not answered yet.
    pub status: Option<InstanceStatus>,
    /// The time since the request for that status was sent.
    pub age: Span,
    /// `true` if the instance answers pings at present.
    pub reachable: bool,
}

/// `View` is the state that an agent sends to its proxy; each view replaces the previous one.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The configuration revision in force.
    pub revision: Revision,
    /// The sections of that revision; `None` if unchanged since the previous view on this stream.
    pub sections: Option<Vec<SectionBody>>,
    /// The members, with the suspicions of this VM.
    pub members: Vec<Member>,
    /// The share record. Own shares that the VM may not use yet, or no longer, have no owner in
    /// it, so the receiver uses exactly the shares that name its own VM.
    pub shares: ShareMap,
    /// How long after `echo` this VM may use its own shares.
    pub shares_for: Span,
    /// How long after `echo` this VM counts as current.
    pub current_for: Span,
    /// The time, by the receiver's clock, at which it sent the last report or subscription that
    /// the agent received. Counting from it keeps a view delayed in transit from being used too
    /// long.
    pub echo: Time,
    /// The serial number of the view on this stream, which reports acknowledge.
    pub serial: u64,
    /// The reports of the instances that this VM's agent pings.
    pub instances: Vec<InstanceReport>,
    /// `true` once the proxy must drain.
    pub draining: bool,
}

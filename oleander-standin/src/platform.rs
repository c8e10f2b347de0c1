//! All stand-ins together, with one form for their faults and one for their state.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::group::Group;
use crate::group::GroupOptions;
use crate::group::instance::Counters;
use crate::relay::FaultRelay;
use crate::relay::Passage;
use crate::store::Store;
use crate::store::engine::Calls;
use crate::vms::VmList;
use crate::vms::VmState;

/// `Platform` is a store, a VM list and some database groups.
#[derive(Debug)]
pub struct Platform {
    /// The store.
    pub store: Store,
    /// The VM list.
    pub vms: VmList,
    /// The database groups.
    pub groups: Vec<Group>,
}

/// `Part` is a stand-in with connections of its own.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The store.
    Store,
    /// The VM list.
    Vms,
    /// An instance of a group, both by number from 0.
    Instance(usize, usize),
}

/// `Switch` is a fault to be switched on or off.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "switch", rename_all = "kebab-case")]
pub enum Switch {
    /// Sets what happens to all connections of a part.
    Passage {
        /// The part.
        part: Part,
        /// What happens from now on.
        passage: Passage,
    },
    /// Delays each chunk of bytes of a part.
    Delay {
        /// The part.
        part: Part,
        /// The delay in milliseconds.
        millis: u64,
    },
    /// Silences the open connections of a part for good.
    SilenceEstablished {
        /// The part.
        part: Part,
    },
    /// Loses the answers to some requests, which take effect.
    LoseAnswers {
        /// The part.
        part: Part,
        /// A text in the requests.
        pattern: String,
        /// The number of answers to lose.
        count: u64,
    },
    /// Cuts an instance off from callers and from its group.
    Partition {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Stops an instance.
    Kill {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Brings an instance back.
    Heal {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Sets the lag of a replica.
    Lag {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
        /// The lag in milliseconds.
        millis: u64,
    },
    /// Sets the time that a data statement takes on an instance.
    Service {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
        /// The time in milliseconds.
        millis: u64,
    },
    /// Adds a VM to the list, changes its state, or removes it.
    Vm {
        /// The name.
        name: String,
        /// The state; left out to remove the VM.
        state: Option<VmState>,
    },
    /// Sets the lag of the VM list.
    VmLag {
        /// The lag in milliseconds.
        millis: u64,
    },
}

/// `UnknownPart` says that a switch names a group or instance that does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownPart;

/// `State` is what the stand-ins have counted and where they listen.
#[derive(Clone, Debug, Serialize)]
pub struct State {
    /// The address of the store.
    pub store: SocketAddr,
    /// The calls of the store.
    pub calls: Calls,
    /// The address of the VM list.
    pub vms: SocketAddr,
    /// The instances, group by group.
    pub groups: Vec<Vec<InstanceState>>,
}

/// `InstanceState` is the state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceState {
    /// The address.
    pub address: SocketAddr,
    /// The role.
    pub role: String,
    /// The term of the last record.
    pub term: u64,
    /// The position of the last record.
    pub position: u64,
    /// The highest term promised.
    pub fence: u64,
    /// What has been counted.
    pub counters: Counters,
}

impl Platform {
    /// Starts a platform with `groups` groups of the same form.
    ///
    /// # Errors
    /// Fails if a port cannot be bound.
    pub async fn start(groups: usize, options: GroupOptions) -> io::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..groups {
            started.push(Group::start(options).await?);
        }
        Ok(Self { store: Store::start().await?, vms: VmList::start().await?, groups: started })
    }

    /// Switches a fault.
    ///
    /// # Errors
    /// Fails if the switch names a part that does not exist.
    pub fn switch(&self, switch: Switch) -> Result<(), UnknownPart> {
        match switch {
            Switch::Passage { part, passage } => self.relay(part)?.set_passage(passage),
            Switch::Delay { part, millis } => {
                self.relay(part)?.set_delay(Duration::from_millis(millis));
            }
            Switch::SilenceEstablished { part } => self.relay(part)?.silence_established(),
            Switch::LoseAnswers { part, pattern, count } => {
                self.relay(part)?.lose_answers(pattern, count);
            }
            Switch::Partition { group, instance } => {
                self.group(group, instance)?.partition(instance);
            }
            Switch::Kill { group, instance } => self.group(group, instance)?.kill(instance),
            Switch::Heal { group, instance } => self.group(group, instance)?.heal(instance),
            Switch::Lag { group, instance, millis } => {
                self.group(group, instance)?.set_lag(instance, Duration::from_millis(millis));
            }
            Switch::Service { group, instance, millis } => {
                self.group(group, instance)?.set_service(instance, Duration::from_millis(millis));
            }
            Switch::Vm { name, state: Some(state) } => self.vms.set(name, state),
            Switch::Vm { name, state: None } => self.vms.remove(&name),
            Switch::VmLag { millis } => self.vms.set_lag(Duration::from_millis(millis)),
        }
        Ok(())
    }

    /// Gets the state of all parts.
    pub fn state(&self) -> State {
        State {
            store: self.store.address(),
            calls: self.store.calls(),
            vms: self.vms.address(),
            groups: self.groups.iter().map(group_state).collect(),
        }
    }

    fn relay(&self, part: Part) -> Result<&FaultRelay, UnknownPart> {
        match part {
            Part::Store => Ok(self.store.relay()),
            Part::Vms => Ok(self.vms.relay()),
            Part::Instance(group, instance) => Ok(self.group(group, instance)?.relay(instance)),
        }
    }

    fn group(&self, group: usize, instance: usize) -> Result<&Group, UnknownPart> {
        let group = self.groups.get(group).ok_or(UnknownPart)?;
        if instance < group.addresses().len() { Ok(group) } else { Err(UnknownPart) }
    }
}

fn group_state(group: &Group) -> Vec<InstanceState> {
    let state = |(instance, address)| {
        let status = group.status(instance);
        InstanceState {
            address,
            role: status.role.to_string(),
            term: status.point.term.0,
            position: status.point.position.0,
            fence: status.fence.0,
            counters: group.counters(instance),
        }
    };
    group.addresses().into_iter().enumerate().map(state).collect()
}

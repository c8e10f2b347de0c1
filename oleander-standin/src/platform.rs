//! A complete platform of stand-ins, with the JSON types for its faults and its state.

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

/// `Platform` is a running store, VM list and set of database groups.
#[derive(Debug)]
pub struct Platform {
    /// The store.
    pub store: Store,
    /// The VM list.
    pub vms: VmList,
    /// The database groups, numbered from 0.
    pub groups: Vec<Group>,
}

/// `Part` selects one network endpoint of the platform, each with a fault relay of its own.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// The store.
    Store,
    /// The VM list.
    Vms,
    /// An instance of a group: the group's number and the instance's ordinal, both from 0.
    Instance(usize, usize),
}

/// `Switch` injects or ends a fault, or changes the VM list; it is the body of `POST /v1/switch`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "switch", rename_all = "kebab-case")]
pub enum Switch {
    /// Sets the relay mode of a part, for open and new connections.
    Passage {
        /// The part.
        part: Part,
        /// The new mode.
        passage: Passage,
    },
    /// Delays each chunk of bytes to or from a part.
    Delay {
        /// The part.
        part: Part,
        /// The delay in milliseconds.
        millis: u64,
    },
    /// Stops forwarding on the connections of a part that are open now, for as long as they stay
    /// open; new connections work.
    SilenceEstablished {
        /// The part.
        part: Part,
    },
    /// Drops the answers to the next requests that contain a pattern; the requests take effect.
    LoseAnswers {
        /// The part.
        part: Part,
        /// The text that identifies the requests.
        pattern: String,
        /// The number of answers to drop; 0 ends the fault.
        count: u64,
    },
    /// Cuts an instance off from callers and from its group; its connections hang.
    Partition {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Stops an instance; its connections are closed and new ones are refused.
    Kill {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Ends `Partition` or `Kill` for an instance.
    Heal {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
    },
    /// Sets the replication lag of an instance.
    Lag {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
        /// The lag in milliseconds.
        millis: u64,
    },
    /// Sets the execution time of data statements on an instance.
    Service {
        /// The group.
        group: usize,
        /// The instance.
        instance: usize,
        /// The execution time in milliseconds.
        millis: u64,
    },
    /// Adds a VM to the list, changes its state, or removes it.
    Vm {
        /// The name of the VM.
        name: String,
        /// The new state; `None` removes the VM.
        state: Option<VmState>,
    },
    /// Sets the time after which a change shows in the VM list.
    VmLag {
        /// The lag in milliseconds.
        millis: u64,
    },
}

/// `UnknownPart` is the error of a switch that names a group or instance that does not exist.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownPart;

/// `State` is the body of `GET /v1/state`: the addresses and counters of all stand-ins.
#[derive(Clone, Debug, Serialize)]
pub struct State {
    /// The address of the store.
    pub store: SocketAddr,
    /// The requests that the store has received.
    pub calls: Calls,
    /// The address of the VM list.
    pub vms: SocketAddr,
    /// The instances, group by group.
    pub groups: Vec<Vec<InstanceState>>,
}

/// `InstanceState` is the state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceState {
    /// The address of the relay in front of the instance.
    pub address: SocketAddr,
    /// The replication role in kebab case.
    pub role: String,
    /// The term of the last log entry.
    pub term: u64,
    /// The position of the last log entry.
    pub position: u64,
    /// The highest term that the instance has accepted.
    pub fence: u64,
    /// The connection and statement counters.
    pub counters: Counters,
}

impl Platform {
    /// Starts a platform with `groups` groups, all with the same options.
    ///
    /// # Errors
    /// Returns the error of the operating system if a port cannot be bound.
    pub async fn start(groups: usize, options: GroupOptions) -> io::Result<Self> {
        let mut started = Vec::new();
        for _ in 0..groups {
            started.push(Group::start(options).await?);
        }
        Ok(Self { store: Store::start().await?, vms: VmList::start().await?, groups: started })
    }

    /// Carries out a switch.
    ///
    /// # Errors
    /// Returns `UnknownPart` if the switch names a group or instance that does not exist.
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

    /// Returns the state of all stand-ins.
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

    /// Returns a group that has the given instance.
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

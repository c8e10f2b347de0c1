//! How a run is set up, what happens to it, and what it records.

use oleander_config::model::Acknowledge;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::messages::Record;
use oleander_failover::options::Options;

/// `SimulationOptions` says how a run is set up.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// The settings of the supervisors.
    pub options: Options,
    /// When a write is acknowledged.
    pub acknowledge: Acknowledge,
    /// The lag of the replicas.
    pub lag: Span,
    /// The share of messages that are lost.
    pub loss: f64,
    /// Whether the acknowledgement counts correctly; a planted fault for the check of the check.
    pub bug: InjectedBug,
}

/// `InjectedBug` is a fault that is built in on purpose.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedBug {
    /// No fault.
    #[default]
    None,
    /// A write is acknowledged without the replicas.
    EarlyAck,
    /// A write whose answer was lost is sent again.
    BlindRetry,
}

/// `Fault` is a change of the surroundings.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The primary of the highest term stops or is cut off from everyone.
    LosePrimary,
    /// An instance stops or is cut off from everyone.
    LoseInstance(usize),
    /// An instance returns with the state that it had.
    ReturnInstance(usize),
    /// A VM stops.
    LoseVm(usize),
    /// A VM runs again.
    ReturnVm(usize),
    /// The link between a VM and an instance breaks.
    LoseLine(usize, usize),
    /// The link between a VM and an instance works again.
    ReturnLine(usize, usize),
    /// The replica's lag changes.
    Lag(usize, Span),
    /// All links and parts work again.
    HealAll,
}

/// `Write` is what is known of a write at the end.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    /// The time at which the caller sent it.
    pub sent: Time,
    /// The time at which it was acknowledged.
    pub acknowledged: Option<Time>,
    /// The times that it was sent to an instance.
    pub attempts: u32,
}

/// `Logged` is a record with its time and VM.
#[derive(Clone, Copy, Debug)]
pub struct Logged {
    /// The time.
    pub at: Time,
    /// The VM.
    pub vm: usize,
    /// The record.
    pub record: Record,
}

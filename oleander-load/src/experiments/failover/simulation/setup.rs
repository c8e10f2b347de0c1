//! The options of a simulation, the faults injected into it, and its records.

use oleander_config::model::Acknowledge;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_failover::messages::Record;
use oleander_failover::options::Options;

/// `SimulationOptions` are the options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationOptions {
    /// The settings of the supervisors.
    pub options: Options,
    /// When a write is acknowledged.
    pub acknowledge: Acknowledge,
    /// The initial lag of the replicas.
    pub lag: Span,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The bug to simulate; used to test that the check of the history finds it.
    pub bug: InjectedBug,
}

/// `InjectedBug` is a bug that the simulation reproduces on purpose.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum InjectedBug {
    /// No bug.
    #[default]
    None,
    /// A write is acknowledged before the replicas hold it.
    EarlyAck,
    /// A write whose answer was lost is sent again, although it may have run.
    BlindRetry,
}

/// `Fault` is a failure or a restoration of a part of the simulated fleet.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The primary of the highest term stops or is cut off from everyone.
    FailPrimary,
    /// An instance stops or is cut off from everyone.
    FailInstance(usize),
    /// An instance returns with the state that it had.
    RestoreInstance(usize),
    /// A VM stops.
    FailVm(usize),
    /// A VM runs again.
    RestoreVm(usize),
    /// The link between a VM and an instance fails.
    FailLink(usize, usize),
    /// The link between a VM and an instance works again.
    RestoreLink(usize, usize),
    /// The replica's lag changes.
    Lag(usize, Span),
    /// All VMs, instances and links work again, and all lags are reset to `SimulationOptions::lag`.
    RestoreAll,
}

/// `Write` records a write of the load.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    /// The time of the first attempt.
    pub sent: Time,
    /// The time of the acknowledgement; `None` if there was none.
    pub acknowledged: Option<Time>,
    /// The number of times that it was sent to an instance.
    pub attempts: u32,
}

/// `LoggedRecord` is a record of a supervisor with its time and VM.
#[derive(Clone, Copy, Debug)]
pub struct LoggedRecord {
    /// The time at which the record was made.
    pub at: Time,
    /// The VM of the supervisor.
    pub vm: usize,
    /// What the supervisor recorded.
    pub record: Record,
}

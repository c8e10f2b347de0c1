//! Seeded experiments that compare a policy with its baselines.

pub mod config_spread;
pub mod failover;
pub mod home_loss;
pub mod fairness;
pub mod rates;
pub mod replica_reads;

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::report::Report;

/// `Experiment` is the name of an experiment on the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Experiment {
    /// Propagation of the configuration, cost of control traffic, and currency.
    Config,
    /// Detection, promotion and acknowledgement, compared with variants.
    Failover,
    /// Fairness between the workspaces of a home, compared with a FIFO queue.
    Fairness,
    /// Fleet-wide rate limits, compared with a static split and a single owner.
    Rates,
    /// The proportion of reads that replicas serve.
    ReplicaReads,
    /// Refusals while one home of a database is down and not yet suspected.
    HomeLoss,
}

/// Runs an experiment from its seed.
pub fn run(experiment: Experiment, seed: u64) -> Report {
    match experiment {
        Experiment::Config => config_spread::run(seed),
        Experiment::Failover => failover::run(seed),
        Experiment::Fairness => fairness::run(seed),
        Experiment::Rates => rates::run(seed),
        Experiment::ReplicaReads => replica_reads::run(seed),
        Experiment::HomeLoss => home_loss::run(seed),
    }
}

//! Seeded experiments: a policy beside its baselines, in one run.

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

/// `Experiment` names an experiment of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Experiment {
    /// Spread of the configuration, cost of control, currency.
    Config,
    /// Detection, promotion and acknowledgement beside their variants.
    Failover,
    /// Fairness between workspaces at a home, beside plain FIFO.
    Fairness,
    /// Rates over the whole fleet beside a static split and a single owner.
    Rates,
    /// The share of reads that replicas serve.
    ReplicaReads,
    /// Requests refused while one home of a database is down.
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

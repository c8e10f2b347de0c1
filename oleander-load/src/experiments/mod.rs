//! Seeded experiments: a policy beside its baselines, in one run.

use strum::Display;
use strum::EnumIter;
use strum::EnumString;

use crate::report::Report;

/// `Experiment` names an experiment of the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Experiment {}

/// Runs an experiment from its seed.
pub fn run(experiment: Experiment, _seed: u64) -> Report {
    match experiment {}
}

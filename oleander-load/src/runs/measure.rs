//! The four measures of both users under several loads, beside a baseline without replica reads.

use std::path::PathBuf;

use oleander_core::time::Span;
use strum::IntoEnumIterator as _;

use crate::cluster::fleet::Fleet;
use crate::cluster::fleet::FleetOptions;
use crate::cluster::profile::Profile;
use crate::cluster::profile::User;
use crate::drive::plan::Flood;
use crate::drive::plan::PlanOptions;
use crate::drive::run::ReadClass;
use crate::measures::figures::Figures;
use crate::plots;
use crate::report::Report;
use crate::runs::demo;
use crate::runs::live;
use crate::runs::live::LiveOptions;

/// The workspace that overloads its rate limit in the third variant.
const FLOOD: Flood = Flood { workspace: 2, factor: 5 };

/// `Variant` is a load with its read class and its failure.
#[derive(Clone, Copy, Debug)]
struct Variant {
    name: &'static str,
    reads: ReadClass,
    flood: Option<Flood>,
    fail_primary: bool,
}

/// The measured variants: a steady load, the baseline without replica reads, a workspace over its
/// rate limit, and a failure of the primary halfway through the load.
const VARIANTS: [Variant; 4] = [
    Variant { name: "steady", reads: ReadClass::Routed, flood: None, fail_primary: false },
    Variant {
        name: "steady, primary-only reads",
        reads: ReadClass::Primary,
        flood: None,
        fail_primary: false,
    },
    Variant {
        name: "one workspace at five times its rate",
        reads: ReadClass::Routed,
        flood: Some(FLOOD),
        fail_primary: false,
    },
    Variant { name: "primary cut off", reads: ReadClass::Routed, flood: None, fail_primary: true },
];

/// Measures both users with each variant, with `seconds` of load each, and writes the figures as an
/// SVG plot to the file `plot`.
///
/// Returns an error if a fleet or its load cannot be started, the load fails, or the plot cannot be
/// written.
pub async fn run(seconds: u64, seed: u64, plot: Option<PathBuf>) -> Result<Report, String> {
    let mut figures = Vec::new();
    let mut report = Report::new("Measures", seed);
    for user in User::iter() {
        for variant in VARIANTS {
            eprintln!("{user}: {}", variant.name);
            figures.push(measure(&mut report, user, variant, seconds, seed).await?);
        }
    }
    if let Some(path) = plot {
        let written = std::fs::write(&path, plots::svg(&figures)?);
        written.map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(report)
}

async fn measure(
    report: &mut Report,
    user: User,
    variant: Variant,
    seconds: u64,
    seed: u64,
) -> Result<Figures, String> {
    // Each variant starts a new fleet so that it inherits no state.
    let profile = Profile::of(user);
    let database = profile.databases[0];
    let fleet =
        Fleet::start(profile, FleetOptions::default()).await.map_err(|error| error.to_string())?;
    let length = Span::from_secs(seconds);
    let options = LiveOptions {
        plan: PlanOptions { seed, length, flood: variant.flood, ..PlanOptions::default() },
        reads: variant.reads,
        fail_primary: variant.fail_primary.then_some(Span(length.0 / 2)),
    };
    let run = live::run(&fleet, &options).await?;
    let name = format!("{user}, {}", variant.name);
    Ok(demo::add_measures(report, &name, database, &run))
}

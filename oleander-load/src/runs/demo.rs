//! The demonstration: a loaded fleet of each user's profile, with a failure of a primary.

use std::io::Write as _;
use std::time::Duration;

use oleander_core::time::Span;
use strum::IntoEnumIterator as _;

use crate::cluster::fleet::Fleet;
use crate::cluster::fleet::FleetOptions;
use crate::cluster::profile::Profile;
use crate::cluster::profile::User;
use crate::drive::plan::PlanOptions;
use crate::drive::run::ReadClass;
use crate::history::check;
use crate::measures::figures::Figures;
use crate::measures::figures::Gap;
use crate::measures::gap;
use crate::measures::summary::Summary;
use crate::report::Report;
use crate::runs::live;
use crate::runs::live::LiveOptions;
use crate::runs::live::LiveRun;

/// The interval between updates of the progress line.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum failover gap that meets the target. The text of the target states it.
const MAX_GAP: Span = Span::from_secs(10);

/// Runs the demonstration for both users, with `seconds` of load each.
///
/// Returns an error if a fleet or its load cannot be started or the load fails.
pub async fn run(seconds: u64, seed: u64) -> Result<Report, String> {
    let mut report = Report::new("Demonstration", seed);
    for user in User::iter() {
        run_user(&mut report, user, seconds, seed).await?;
    }
    Ok(report)
}

async fn run_user(report: &mut Report, user: User, seconds: u64, seed: u64) -> Result<(), String> {
    let profile = Profile::of(user);
    let database = profile.databases[0];
    eprintln!("{user}: starting {} VMs, {} databases", profile.vms, profile.databases.len());
    let fleet =
        Fleet::start(profile, FleetOptions::default()).await.map_err(|error| error.to_string())?;
    let length = Span::from_secs(seconds);
    let options = LiveOptions {
        plan: PlanOptions { seed, length, ..PlanOptions::default() },
        reads: ReadClass::Routed,
        fail_primary: Some(Span(length.0 / 2)),
    };
    let run = with_progress(user, seconds, live::run(&fleet, &options)).await?;
    add_measures(report, &user.to_string(), database, &run);
    Ok(())
}

/// Adds the measures of a run and the violations in its history to the report, and returns the
/// figures. `database` is the one whose primary failed.
pub fn add_measures(report: &mut Report, name: &str, database: &str, run: &LiveRun) -> Figures {
    let summary = Summary::new(&run.history.calls, &run.limits());
    report.tables.push(summary.table(&format!("{name}: by workspace")));
    let figures = Figures::new(name, &summary, failover_gap(run, database));
    report.tables.push(figures.table());
    let in_time = match figures.gap {
        Gap::NoFailure => true,
        Gap::NoWrite => false,
        Gap::Lasted(gap) => gap <= MAX_GAP,
    };
    report.require(in_time, format!("{name}: a failover within 10 s"));
    for violation in check::check(&run.history) {
        report.missed.push(format!("{name}: {violation}"));
    }
    figures
}

fn failover_gap(run: &LiveRun, database: &str) -> Gap {
    let Some(failed) = run.failed_at else { return Gap::NoFailure };
    gap::failover_gap(&run.history.calls, database, failed).map_or(Gap::NoWrite, Gap::Lasted)
}

/// Prints a progress line to standard error while `work` runs.
async fn with_progress<T>(user: User, seconds: u64, work: impl Future<Output = T>) -> T {
    let mut work = std::pin::pin!(work);
    let started = tokio::time::Instant::now();
    loop {
        tokio::select! {
            done = &mut work => {
                eprintln!();
                return done;
            }
            () = tokio::time::sleep(PROGRESS_INTERVAL) => {
                eprint!("\r{user}: {:.1} s of {seconds} s of load", started.elapsed().as_secs_f64());
                let _ = std::io::stderr().flush();
            }
        }
    }
}

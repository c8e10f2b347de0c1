//! The command `oleander-load`, which runs experiments, measurements and history checks.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;

use clap::Parser;
use clap::Subcommand;
use oleander_load::capacity;
use oleander_load::experiments;
use oleander_load::experiments::Experiment;
use oleander_load::history::check;
use oleander_load::history::lines::History;
use oleander_load::report::Report;
use oleander_load::runs::demo;
use oleander_load::runs::drain;
use oleander_load::runs::faults;
use oleander_load::runs::faults::Fault;
use oleander_load::runs::measure;

/// Load, experiments and checks for oleanderrudder.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a seeded experiment and prints policy and baselines side by side.
    Experiment {
        /// The name of the experiment.
        #[arg(value_parser = Experiment::from_str)]
        name: Experiment,
        /// The seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Measures slopes and works out what each role carries at the target size.
    Capacity {
        /// The seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Brings a fleet of each user's size up on this machine and loads it.
    Demo {
        /// The seconds of load for each user.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Restarts the VMs of a fleet one after the other under load.
    Drain {
        /// The number of restarts.
        #[arg(long, default_value_t = 100)]
        restarts: usize,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Lets faults happen in pairs under load and checks what must hold.
    Faults {
        /// The first fault; with `--second`, runs this pair only.
        #[arg(long, value_parser = Fault::from_str, requires = "second")]
        first: Option<Fault>,
        /// The second fault.
        #[arg(long, value_parser = Fault::from_str, requires = "first")]
        second: Option<Fault>,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Measures a fleet of each user's size under several loads, beside a baseline.
    Measure {
        /// The seconds of load for each measurement.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// The seed of the load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
        /// Draws the four measures of each variant to this SVG file.
        #[arg(long, value_name = "FILE")]
        plot: Option<PathBuf>,
    },
    /// Checks a recorded history (JSON lines) for broken guarantees.
    Check {
        /// The file.
        file: PathBuf,
        /// Prints JSON instead of tables.
        #[arg(long)]
        json: bool,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Experiment { name, seed, json } => print(&experiments::run(name, seed), json),
        Command::Capacity { seed, json } => print(&capacity::run(seed), json),
        Command::Demo { seconds, seed, json } => print_live(demo::run(seconds, seed), json),
        Command::Faults { first, second, seed, json } => {
            print_live(faults::run(first.zip(second), seed), json)
        }
        Command::Drain { restarts, seed, json } => print_live(drain::run(restarts, seed), json),
        Command::Measure { seconds, seed, json, plot } => {
            print_live(measure::run(seconds, seed, plot), json)
        }
        Command::Check { file, json } => check_file(&file, json),
    }
}

/// Runs a live run to its end and prints its report or its error.
fn print_live(run: impl Future<Output = Result<Report, String>>, json: bool) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error.to_string()),
    };
    match runtime.block_on(run) {
        Ok(report) => print(&report, json),
        Err(error) => fail(&error),
    }
}

fn fail(error: &str) -> ExitCode {
    eprintln!("oleander-load: {error}");
    ExitCode::FAILURE
}

/// Checks the history in a file and prints the report. Fails if the file cannot be read or the
/// history has a violation.
fn check_file(path: &Path, json: bool) -> ExitCode {
    let opened = File::open(path).map_err(|error| error.to_string());
    match opened.and_then(|file| History::read(BufReader::new(file))) {
        Ok(history) => print(&check::report(&path.display().to_string(), &history), json),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

/// Prints a report. Returns the exit code for failure if a target was missed.
fn print(report: &Report, json: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string_pretty(report).unwrap_or_default());
    } else {
        print!("{report}");
    }
    if report.missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

//! The `oleander-agent` program, which runs the agent of a VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use oleander_agent::agent::Agent;
use oleander_agent::settings::Settings;

/// The agent of a VM.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file.
    settings: PathBuf,
    /// The least level of the log lines.
    #[arg(long, default_value = "info")]
    log: LevelFilter,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    oleander_runtime::logs::init(arguments.log)?;
    let settings: Settings = oleander_runtime::settings::load(&arguments.settings)?;
    let agent = Agent::start(settings).await?;
    agent.drain_signal().trigger_on_signals()?;
    agent.wait().await;
    Ok(())
}

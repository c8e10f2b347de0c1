//! `oleander-proxy` serves callers on one VM.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use log::LevelFilter;
use oleander_proxy::running::RunningProxy;
use oleander_proxy::settings::ProxySettings;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::metrics::MetricsOptions;
use oleander_runtime::settings;
use oleander_runtime::shutdown::Shutdown;
use oleander_runtime::timer::TimerService;

/// Serves callers of the databases on one VM.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file.
    #[arg(long, default_value = "oleander-proxy.yaml")]
    settings: PathBuf,
    /// The least level of log lines.
    #[arg(long, default_value = "info")]
    log: LevelFilter,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oleander-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<(), Box<dyn std::error::Error>> {
    logs::init(arguments.log)?;
    let settings: ProxySettings = settings::load(&arguments.settings)?;
    let metrics =
        Metrics::new(&MetricsOptions { statsd: settings.metrics, ..MetricsOptions::default() })?;
    let shutdown = Shutdown::new();
    shutdown.trigger_on_signals()?;
    let running = RunningProxy::start(settings, metrics, TimerService::start(Clock::new())).await?;
    tokio::select! {
        () = shutdown.wait() => {}
        () = running.proxy.drain_started() => {}
    }
    running.stop().await;
    Ok(())
}

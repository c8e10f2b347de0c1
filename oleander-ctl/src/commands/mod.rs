//! The commands of the tool, grouped by what they work on: the configuration, keys, availability
//! zones and VMs.

mod documents;
mod evacuation;
mod keys;
mod vms;

use clap::CommandFactory as _;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;
use serde_json::Value;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::errors::Result;
use crate::errors::usage_error;
use crate::output::Output;

/// Runs the command that the arguments name.
///
/// # Errors
/// Returns the error that determines the exit code of the process.
pub async fn run(arguments: Arguments) -> Result<Output> {
    let options = GlobalOptions { store_urls: arguments.store, peers: arguments.peer };
    match arguments.command {
        Command::Check { file, section } => documents::check(&options, &file, section).await,
        Command::Diff { file, section, against } => {
            documents::diff(&options, &file, section, against.as_deref()).await
        }
        Command::Apply { file, section, base, change } => {
            let text = crate::files::read_section(&file, section)?;
            documents::apply(&options, text, base.as_deref(), change.as_deref()).await
        }
        Command::Show { section } => documents::show(&options, section).await,
        Command::Status => vms::status(&options).await,
        Command::Keys(command) => keys::run(&options, command).await,
        Command::Drain { vm } => vms::drain(&options, &vm).await,
        Command::Evacuate { zone, end: false } => evacuation::start(&options, &zone).await,
        Command::Evacuate { zone, end: true } => evacuation::end(&options, &zone).await,
        Command::Events { number, vm } => vms::events(&options, number, vm.as_deref()).await,
        Command::Explain { subject } => vms::explain(&options, &subject).await,
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

/// `GlobalOptions` holds the arguments that all commands share: where to reach the store and the
/// VMs.
#[derive(Clone, Debug)]
pub(crate) struct GlobalOptions {
    store_urls: Vec<String>,
    /// The processes to query instead of those of all registered VMs; may be empty.
    pub(crate) peers: Vec<std::net::SocketAddr>,
}

impl GlobalOptions {
    /// Returns a client of the store, without connecting yet; fails with `Error::Usage` if no store
    /// URL was given.
    pub(crate) fn store(&self) -> Result<Store> {
        if self.store_urls.is_empty() {
            return Err(usage_error("the command needs --store URL"));
        }
        let endpoints = self.store_urls.clone();
        Ok(Store::new(StoreOptions { endpoints, ..StoreOptions::default() }))
    }
}

fn completions(shell: clap_complete::Shell) -> Output {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "oleanderctl", &mut script);
    let text = String::from_utf8_lossy(&script).into_owned();
    Output { json: Value::String(text.clone()), text }
}

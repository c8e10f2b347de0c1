//! The commands, one module for each kind.

mod documents;
mod keys;
mod vms;

use clap::CommandFactory as _;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;
use serde_json::Value;

use crate::arguments::Arguments;
use crate::arguments::Command;
use crate::errors::Result;
use crate::errors::usage;
use crate::output::Answer;

/// Runs the command.
///
/// # Errors
/// Fails with the error that decides the exit code.
pub async fn run(arguments: Arguments) -> Result<Answer> {
    let source = Source { urls: arguments.store, peers: arguments.peer };
    match arguments.command {
        Command::Check { file, section } => documents::check(&source, &file, section).await,
        Command::Diff { file, section, against } => {
            documents::diff(&source, &file, section, against.as_deref()).await
        }
        Command::Apply { file, section, base, change } => {
            let text = crate::files::read_section(&file, section)?;
            documents::apply(&source, text, base.as_deref(), change.as_deref()).await
        }
        Command::Show { section } => documents::show(&source, section).await,
        Command::Status => vms::status(&source).await,
        Command::Keys(command) => keys::run(&source, command).await,
        Command::Drain { vm } => vms::drain(&source, &vm).await,
        Command::Events { number, vm } => vms::events(&source, number, vm.as_deref()).await,
        Command::Explain { subject } => vms::explain(&source, &subject).await,
        Command::Completions { shell } => Ok(completions(shell)),
    }
}

/// `Source` says where the tool reads the state of the fleet.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    urls: Vec<String>,
    pub(crate) peers: Vec<std::net::SocketAddr>,
}

impl Source {
    /// Gets a client of the store.
    pub(crate) fn store(&self) -> Result<Store> {
        if self.urls.is_empty() {
            return Err(usage("the command needs --store URL"));
        }
        let endpoints = self.urls.clone();
        Ok(Store::new(StoreOptions { endpoints, ..StoreOptions::default() }))
    }
}

fn completions(shell: clap_complete::Shell) -> Answer {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Arguments::command(), "oleanderctl", &mut script);
    let text = String::from_utf8_lossy(&script).into_owned();
    Answer { json: Value::String(text.clone()), text }
}

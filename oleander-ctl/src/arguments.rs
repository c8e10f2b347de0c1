//! The command-line arguments of `oleanderctl`.
//!
//! `clap` prints the doc comments of `Arguments`, its subcommands and their fields as help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use clap_complete::Shell;
use oleander_config::model::Section;
use strum::EnumString;

/// Checks and publishes the configuration, grants keys, and looks at the fleet.
///
/// Exit codes: 0 done, 1 invalid, 2 wrong usage, 3 conflict with another edit,
/// 4 unreachable, 5 unknown outcome (run again with the printed change).
#[derive(Clone, Debug, Parser)]
#[command(name = "oleanderctl", version)]
pub struct Arguments {
    /// A base URL of the platform's store; may be given several times.
    #[arg(long, global = true, value_name = "URL")]
    pub store: Vec<String>,
    /// The address of an agent or a proxy to ask in place of all registered VMs; may be given several times.
    #[arg(long, global = true, value_name = "ADDRESS")]
    pub peer: Vec<SocketAddr>,
    /// The form of the output.
    #[arg(long, global = true, default_value = "text", value_name = "FORM")]
    pub output: OutputForm,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// `OutputForm` is the output format that `--output` selects.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum OutputForm {
    /// Lines of text for operators.
    #[default]
    Text,
    /// One JSON value for scripts.
    Json,
}

/// `Command` is what the tool does.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Checks a whole document, or one section together with the others in the store.
    Check {
        /// The file to check.
        file: PathBuf,
        /// Takes the file as this section, or takes this section out of it.
        #[arg(long)]
        section: Option<Section>,
    },
    /// Shows what a file would change.
    Diff {
        /// The file with the new text.
        file: PathBuf,
        /// Takes the file as this section, or takes this section out of it.
        #[arg(long)]
        section: Option<Section>,
        /// A whole document to compare with, in place of the store's.
        #[arg(long, value_name = "FILE")]
        against: Option<PathBuf>,
    },
    /// Publishes one section.
    Apply {
        /// The file with the section, or with the whole document.
        file: PathBuf,
        /// The section to publish.
        #[arg(long)]
        section: Section,
        /// The hash of the text that the edit started from; without it, the text that is in force now.
        #[arg(long, value_name = "HASH")]
        base: Option<String>,
        /// The change of an earlier run whose outcome is unknown.
        #[arg(long, value_name = "CHANGE")]
        change: Option<String>,
    },
    /// Prints the published text of one section and its hash.
    Show {
        /// The section.
        section: Section,
    },
    /// Shows the state of the VMs.
    Status,
    /// Grants, withdraws and lists keys.
    #[command(subcommand)]
    Keys(KeysCommand),
    /// Asks a VM to finish its work and take no more.
    Drain {
        /// The name of the VM.
        vm: String,
    },
    /// Lets the instances of an availability zone leave, so that they get no new work.
    Evacuate {
        /// The name of the zone.
        zone: String,
        /// Ends the evacuation: no instance of the zone leaves any more.
        #[arg(long)]
        end: bool,
    },
    /// Shows recent events of the VMs, oldest first.
    Events {
        /// Only events with this number.
        #[arg(long)]
        number: Option<u16>,
        /// Only events of this VM.
        #[arg(long)]
        vm: Option<String>,
    },
    /// Explains an event number, or what the VMs recorded about a request or a name.
    Explain {
        /// An event number or name, a request's identifier, or any value of an event's fields.
        subject: String,
    },
    /// Prints a completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// `KeysCommand` is what the tool does with keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeysCommand {
    /// Makes a new key, prints it once and publishes its hash.
    Grant {
        /// The workspace.
        workspace: String,
        /// The name of the key, new in the workspace.
        name: String,
    },
    /// Withdraws a key.
    Withdraw {
        /// The workspace.
        workspace: String,
        /// The name of the key.
        name: String,
    },
    /// Lists the names of the keys.
    List {
        /// Only this workspace.
        workspace: Option<String>,
    },
}

//! The commands `keys grant`, `keys withdraw` and `keys list`.

use oleander_config::edit;
use oleander_config::keys;
use oleander_config::keys::KEY_BYTES;
use oleander_config::model::Section;
use oleander_config::model::Workspace;
use rand::TryRng as _;
use rand::rngs::SysRng;
use serde_json::json;

use crate::arguments::KeysCommand;
use crate::commands::GlobalOptions;
use crate::commands::documents;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::usage_error;
use crate::files;
use crate::output::Output;

/// Runs a `keys` subcommand.
pub(crate) async fn run(options: &GlobalOptions, command: KeysCommand) -> Result<Output> {
    match command {
        KeysCommand::Grant { workspace, name } => grant(options, &workspace, &name).await,
        KeysCommand::Withdraw { workspace, name } => withdraw(options, &workspace, &name).await,
        KeysCommand::List { workspace } => list(options, workspace.as_deref()).await,
    }
}

/// Generates a key and publishes its hash. Only the output holds the key itself.
async fn grant(options: &GlobalOptions, workspace: &str, name: &str) -> Result<Output> {
    let mut random = [0; KEY_BYTES];
    let filled = SysRng.try_fill_bytes(&mut random);
    filled.map_err(|_| usage_error("the operating system gives no random bytes"))?;
    let key = keys::key_text(&random);
    let hash = keys::hash_key(&key);

    let edit = |text: &str| edit::grant_key(text, workspace, name, &hash);
    match publish(options, edit).await {
        Ok(mut output) => {
            output.text = format!("{key}\n{}", output.text);
            output.json["key"] = json!(key);
            Ok(output)
        }
        // The hash may have been published. The error includes the key, because an operator who
        // does not know the key could only withdraw it.
        Err(Error::UnknownOutcome(change, reason)) => {
            Err(Error::UnknownOutcome(change, format!("{reason}; the key, if granted, is {key}")))
        }
        Err(error) => Err(error),
    }
}

async fn withdraw(options: &GlobalOptions, workspace: &str, name: &str) -> Result<Output> {
    publish(options, |text| edit::withdraw_key(text, workspace, name)).await
}

async fn publish(
    options: &GlobalOptions,
    edit: impl Fn(&str) -> std::result::Result<String, edit::EditError>,
) -> Result<Output> {
    documents::publish_edited(options, Section::Workspaces, edit).await
}

async fn list(options: &GlobalOptions, workspace: Option<&str>) -> Result<Output> {
    let stored = documents::read_stored(options).await?;
    let document = files::parse_bodies(&stored.sections, None)?;
    let matches = |candidate: &&Workspace| workspace.is_none_or(|name| name == candidate.name);
    let found: Vec<&Workspace> = document.workspaces.iter().filter(matches).collect();
    if let (Some(name), true) = (workspace, found.is_empty()) {
        return Err(usage_error(format!("no workspace has the name {name}")));
    }
    let mut lines = Vec::new();
    let mut values = Vec::new();
    for workspace in found {
        for key in &workspace.keys {
            lines.push(format!("{} {} {}", workspace.name, key.name, key.hash));
            values.push(json!({
                "workspace": workspace.name, "name": key.name, "sha256": key.hash.to_string(),
            }));
        }
    }
    Ok(Output { text: lines.join("\n"), json: json!(values) })
}

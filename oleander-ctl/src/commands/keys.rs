//! `keys grant`, `keys withdraw` and `keys list`.

use oleander_config::edit;
use oleander_config::keys;
use oleander_config::keys::KEY_BYTES;
use oleander_config::model::Section;
use oleander_config::model::Workspace;
use oleander_membership::head::BodyHash;
use rand::TryRng as _;
use rand::rngs::SysRng;
use serde_json::json;

use crate::arguments::KeysCommand;
use crate::changes;
use crate::changes::SectionEdit;
use crate::commands::Source;
use crate::commands::documents;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::usage;
use crate::files;
use crate::output::Answer;

/// Runs a command on keys.
pub(crate) async fn run(source: &Source, command: KeysCommand) -> Result<Answer> {
    match command {
        KeysCommand::Grant { workspace, name } => grant(source, &workspace, &name).await,
        KeysCommand::Withdraw { workspace, name } => withdraw(source, &workspace, &name).await,
        KeysCommand::List { workspace } => list(source, workspace.as_deref()).await,
    }
}

/// Makes a key and publishes its hash. The key is in the answer and nowhere else.
async fn grant(source: &Source, workspace: &str, name: &str) -> Result<Answer> {
    let mut random = [0; KEY_BYTES];
    let drawn = SysRng.try_fill_bytes(&mut random);
    drawn.map_err(|_| usage("the operating system gives no random bytes"))?;
    let key = keys::key_text(&random);
    let hash = keys::hash_key(&key);

    let edit = |text: &str| edit::grant_key(text, workspace, name, &hash);
    match publish(source, edit).await {
        Ok(mut answer) => {
            answer.text = format!("{key}\n{}", answer.text);
            answer.json["key"] = json!(key);
            Ok(answer)
        }
        // The key may be in force; without it the operator could only withdraw it.
        Err(Error::UnknownOutcome(change, reason)) => {
            Err(Error::UnknownOutcome(change, format!("{reason}; the key, if granted, is {key}")))
        }
        Err(error) => Err(error),
    }
}

async fn withdraw(source: &Source, workspace: &str, name: &str) -> Result<Answer> {
    publish(source, |text| edit::withdraw_key(text, workspace, name)).await
}

async fn publish(
    source: &Source,
    edit: impl Fn(&str) -> std::result::Result<String, edit::EditError>,
) -> Result<Answer> {
    let stored = documents::read_stored(source).await?;
    let name = Section::Workspaces.to_string();
    let body = stored.sections.iter().find(|body| body.section == name);
    let body = body.ok_or_else(|| usage("the store holds no section workspaces"))?;
    let edit = SectionEdit {
        section: Section::Workspaces,
        text: edit(&body.text)?,
        base: Some(BodyHash::of(&body.text)),
        change: changes::new_change(),
    };
    documents::publish(&source.store()?, &edit).await
}

async fn list(source: &Source, workspace: Option<&str>) -> Result<Answer> {
    let stored = documents::read_stored(source).await?;
    let document = files::parse_bodies(&stored.sections, None)?;
    let wanted = |candidate: &&Workspace| workspace.is_none_or(|name| name == candidate.name);
    let found: Vec<&Workspace> = document.workspaces.iter().filter(wanted).collect();
    if let (Some(name), true) = (workspace, found.is_empty()) {
        return Err(usage(format!("no workspace has the name {name}")));
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
    Ok(Answer { text: lines.join("\n"), json: json!(values) })
}

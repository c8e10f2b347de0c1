//! The commands `check`, `diff`, `apply` and `show`.

use std::path::Path;

use oleander_config::diff;
use oleander_config::diff::Change;
use oleander_config::edit::EditError;
use oleander_config::model::Document;
use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_membership::head::BodyHash;
use oleander_store::configuration;
use oleander_store::configuration::StoredDocument;
use serde_json::json;

use crate::changes;
use crate::changes::RETRY_TIMEOUT;
use crate::changes::SectionEdit;
use crate::commands::GlobalOptions;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::unreachable_error;
use crate::errors::usage_error;
use crate::files;
use crate::output::Output;

/// Checks a whole document, or one section of the file together with the other stored sections.
pub(crate) async fn check(
    options: &GlobalOptions,
    file: &Path,
    section: Option<Section>,
) -> Result<Output> {
    let document = match section {
        None => parse_sections(&files::read_document(file)?).map_err(Error::Invalid)?,
        Some(section) => {
            let text = files::read_section(file, section)?;
            let stored = read_stored(options).await?;
            files::parse_bodies(&stored.sections, Some(&text))?
        }
    };
    let Document { workspaces, rates, upstreams, routes, .. } = &document;
    let counts = [workspaces.len(), rates.len(), upstreams.len(), routes.len()];
    let [workspaces, rates, upstreams, routes] = counts;
    Ok(Output {
        text: format!(
            "valid: {workspaces} workspaces, {rates} rates, {upstreams} upstreams, {routes} routes"
        ),
        json: json!({
            "workspaces": workspaces, "rates": rates, "upstreams": upstreams, "routes": routes,
        }),
    })
}

/// Compares a file with the stored configuration, or with the document `against`.
pub(crate) async fn diff(
    options: &GlobalOptions,
    file: &Path,
    section: Option<Section>,
    against: Option<&Path>,
) -> Result<Output> {
    let old = match against {
        Some(path) => files::read_document(path)?,
        None => section_texts(&read_stored(options).await?)?,
    };
    let new = match section {
        None => files::read_document(file)?,
        Some(section) => {
            let text = files::read_section(file, section)?;
            let kept = old.iter().filter(|text| text.section != section).cloned();
            kept.chain([text]).collect()
        }
    };
    let old = parse_sections(&old).map_err(Error::Invalid)?;
    let new = parse_sections(&new).map_err(Error::Invalid)?;
    Ok(format_changes(&diff::diff(&old, &new)))
}

/// Publishes a section. Without `base` the edit is based on the text that is published now, without
/// `change` it gets a new change identifier.
pub(crate) async fn apply(
    options: &GlobalOptions,
    text: SectionText,
    base: Option<&str>,
    change: Option<&str>,
) -> Result<Output> {
    let store = options.store()?;
    let change = change.map_or_else(|| Ok(changes::new_change_id()), changes::parse_change_id)?;
    let base = match base {
        Some(base) => Some(changes::parse_hash(base)?),
        None => read_stored(options).await?.head.hash(&text.section.to_string()),
    };
    let edit = SectionEdit { section: text.section, text: text.text, base, change };
    publish(&store, &edit).await
}

/// Publishes an edit and reports the resulting revision and hash.
pub(crate) async fn publish(
    store: &oleander_store::store::Store,
    edit: &SectionEdit,
) -> Result<Output> {
    let revision = changes::publish(store, edit, RETRY_TIMEOUT).await?;
    let hash = BodyHash::of(&edit.text);
    Ok(Output {
        text: format!("revision {}: section {} is {hash}", revision.0, edit.section),
        json: json!({
            "revision": revision.0,
            "section": edit.section,
            "hash": hash.to_string(),
            "change": format!("{:016x}", edit.change.0),
        }),
    })
}

/// Publishes a section whose published text is changed by `edit`.
pub(crate) async fn publish_edited(
    options: &GlobalOptions,
    section: Section,
    edit: impl Fn(&str) -> std::result::Result<String, EditError>,
) -> Result<Output> {
    let stored = read_stored(options).await?;
    let name = section.to_string();
    let body = stored.sections.iter().find(|body| body.section == name);
    let body = body.ok_or_else(|| usage_error(format!("the store holds no section {section}")))?;
    let edit = SectionEdit {
        section,
        text: edit(&body.text)?,
        base: Some(BodyHash::of(&body.text)),
        change: changes::new_change_id(),
    };
    publish(&options.store()?, &edit).await
}

/// Shows the published text of a section and its hash.
pub(crate) async fn show(options: &GlobalOptions, section: Section) -> Result<Output> {
    let stored = read_stored(options).await?;
    let name = section.to_string();
    let body = stored.sections.iter().find(|body| body.section == name);
    let body = body.ok_or_else(|| usage_error(format!("the store holds no section {section}")))?;
    let hash = BodyHash::of(&body.text);
    Ok(Output {
        text: format!("# {hash}\n{}", body.text),
        json: json!({
            "revision": stored.head.revision.0, "hash": hash.to_string(), "text": body.text,
        }),
    })
}

/// Reads the published configuration from the store.
pub(crate) async fn read_stored(options: &GlobalOptions) -> Result<StoredDocument> {
    configuration::read_document(&options.store()?).await.map_err(unreachable_error)
}

/// Converts the stored sections; fails with `Error::Usage` if this version does not know one.
fn section_texts(stored: &StoredDocument) -> Result<Vec<SectionText>> {
    let parse =
        |name: &str| name.parse::<Section>().map_err(|_| usage_error("unknown stored section"));
    let bodies = stored.sections.iter();
    bodies.map(|body| Ok(SectionText::new(parse(&body.section)?, body.text.clone()))).collect()
}

fn format_changes(changes: &[Change]) -> Output {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let text = if lines.is_empty() { "no change".to_owned() } else { lines.join("\n") };
    Output { text, json: json!(changes) }
}

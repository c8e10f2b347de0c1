//! `check`, `diff`, `apply` and `show`.

use std::path::Path;

use oleander_config::diff;
use oleander_config::diff::Change;
use oleander_config::model::Document;
use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_membership::head::BodyHash;
use oleander_store::configuration;
use oleander_store::configuration::StoredDocument;
use serde_json::json;

use crate::changes;
use crate::changes::PATIENCE;
use crate::changes::SectionEdit;
use crate::commands::Source;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::unreachable;
use crate::errors::usage;
use crate::files;
use crate::output::Answer;

/// Checks a file.
pub(crate) async fn check(
    source: &Source,
    file: &Path,
    section: Option<Section>,
) -> Result<Answer> {
    let document = match section {
        None => parse_sections(&files::read_document(file)?).map_err(Error::Invalid)?,
        Some(section) => {
            let text = files::read_section(file, section)?;
            let stored = read_stored(source).await?;
            files::parse_bodies(&stored.sections, Some(&text))?
        }
    };
    let Document { workspaces, rates, upstreams, routes, .. } = &document;
    let counts = [workspaces.len(), rates.len(), upstreams.len(), routes.len()];
    let [workspaces, rates, upstreams, routes] = counts;
    Ok(Answer {
        text: format!(
            "valid: {workspaces} workspaces, {rates} rates, {upstreams} upstreams, {routes} routes"
        ),
        json: json!({
            "workspaces": workspaces, "rates": rates, "upstreams": upstreams, "routes": routes,
        }),
    })
}

/// Shows what a file would change.
pub(crate) async fn diff(
    source: &Source,
    file: &Path,
    section: Option<Section>,
    against: Option<&Path>,
) -> Result<Answer> {
    let old = match against {
        Some(path) => files::read_document(path)?,
        None => texts(&read_stored(source).await?)?,
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
    Ok(describe(&diff::diff(&old, &new)))
}

/// Publishes a section.
pub(crate) async fn apply(
    source: &Source,
    text: SectionText,
    base: Option<&str>,
    change: Option<&str>,
) -> Result<Answer> {
    let store = source.store()?;
    let change = change.map_or_else(|| Ok(changes::new_change()), changes::parse_change)?;
    let base = match base {
        Some(base) => Some(changes::parse_hash(base)?),
        None => read_stored(source).await?.head.hash(&text.section.to_string()),
    };
    let edit = SectionEdit { section: text.section, text: text.text, base, change };
    publish(&store, &edit).await
}

/// Publishes an edit and tells its revision.
pub(crate) async fn publish(
    store: &oleander_store::store::Store,
    edit: &SectionEdit,
) -> Result<Answer> {
    let revision = changes::publish(store, edit, PATIENCE).await?;
    let hash = BodyHash::of(&edit.text);
    Ok(Answer {
        text: format!("revision {}: section {} is {hash}", revision.0, edit.section),
        json: json!({
            "revision": revision.0,
            "section": edit.section,
            "hash": hash.to_string(),
            "change": format!("{:016x}", edit.change.0),
        }),
    })
}

/// Prints the published text of a section.
pub(crate) async fn show(source: &Source, section: Section) -> Result<Answer> {
    let stored = read_stored(source).await?;
    let name = section.to_string();
    let body = stored.sections.iter().find(|body| body.section == name);
    let body = body.ok_or_else(|| usage(format!("the store holds no section {section}")))?;
    let hash = BodyHash::of(&body.text);
    Ok(Answer {
        text: format!("# {hash}\n{}", body.text),
        json: json!({
            "revision": stored.head.revision.0, "hash": hash.to_string(), "text": body.text,
        }),
    })
}

/// Reads the published document.
pub(crate) async fn read_stored(source: &Source) -> Result<StoredDocument> {
    configuration::read_document(&source.store()?).await.map_err(unreachable)
}

fn texts(stored: &StoredDocument) -> Result<Vec<SectionText>> {
    let parse = |name: &str| name.parse::<Section>().map_err(|_| usage("unknown stored section"));
    let bodies = stored.sections.iter();
    bodies.map(|body| Ok(SectionText::new(parse(&body.section)?, body.text.clone()))).collect()
}

fn describe(changes: &[Change]) -> Answer {
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let text = if lines.is_empty() { "no change".to_owned() } else { lines.join("\n") };
    Answer { text, json: json!(changes) }
}

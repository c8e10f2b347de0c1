//! The commands `evacuate` and `evacuate --end`.

use oleander_config::evacuation;
use oleander_config::model::Section;

use crate::commands::GlobalOptions;
use crate::commands::documents;
use crate::errors::Result;
use crate::output::Output;

/// Publishes that the instances of a zone leave.
pub(crate) async fn start(options: &GlobalOptions, zone: &str) -> Result<Output> {
    let edit = |text: &str| evacuation::start(text, zone);
    documents::publish_edited(options, Section::Upstreams, edit).await
}

/// Publishes that no instance of a zone leaves any more.
pub(crate) async fn end(options: &GlobalOptions, zone: &str) -> Result<Output> {
    let edit = |text: &str| evacuation::end(text, zone);
    documents::publish_edited(options, Section::Upstreams, edit).await
}

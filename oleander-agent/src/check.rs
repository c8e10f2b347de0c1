//! Validation of a configuration before it comes into force.

use std::sync::Arc;

use oleander_config::sections::parse_stored;
use oleander_config::snapshot::Snapshot;
use oleander_membership::active_config::Candidate;

/// Validates all sections together and compiles them into a snapshot. Fails with the first problem.
pub fn check(candidate: &Candidate) -> Result<Arc<Snapshot>, String> {
    let sections =
        candidate.sections.iter().map(|section| (section.name.as_str(), section.text.as_str()));
    let document = parse_stored(sections).map_err(|problems| {
        problems.first().map_or_else(|| "no reason given".to_owned(), ToString::to_string)
    })?;
    Ok(Arc::new(Snapshot::new(candidate.revision, document)))
}

//! The check of a configuration before it comes into force.

use std::str::FromStr as _;
use std::sync::Arc;

use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::snapshot::Snapshot;
use oleander_membership::spread::Candidate;

/// Checks all sections together and compiles them. Fails with the first problem.
pub fn check(candidate: &Candidate) -> Result<Arc<Snapshot>, String> {
    let read = |part: &oleander_membership::spread::Section| {
        let section = Section::from_str(&part.name);
        let section = section.map_err(|_| format!("unknown section {}", part.name))?;
        Ok(SectionText::new(section, part.text.clone()))
    };
    let texts: Result<Vec<SectionText>, String> = candidate.sections.iter().map(read).collect();
    let document = parse_sections(&texts?).map_err(|problems| {
        problems.first().map_or_else(|| "no reason given".to_owned(), ToString::to_string)
    })?;
    Ok(Arc::new(Snapshot::new(candidate.revision, document)))
}

//! Reading and checking configuration files that hold a whole document or a single section.

use std::path::Path;

use oleander_config::model::Document;
use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::sections::split_document;
use oleander_config::sections::stored_sections;
use oleander_membership::messages::SectionBody;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::usage_error;

/// The maximum size of a file in bytes.
const MAX_FILE_BYTES: u64 = 8_000_000;

/// Reads a whole document and splits it into its sections, without checking their contents.
pub fn read_document(path: &Path) -> Result<Vec<SectionText>> {
    split_document(&read(path)?).map_err(Error::Invalid)
}

/// Reads the text of one section: its part of a whole document, or the whole file if the file is
/// not a document. Returns `Error::Usage` if a document lacks the section.
pub fn read_section(path: &Path, section: Section) -> Result<SectionText> {
    let text = read(path)?;
    let Ok(parts) = split_document(&text) else {
        // If the file is not a section either, the later check of the section reports why.
        return Ok(SectionText::new(section, text));
    };
    let found = parts.into_iter().find(|part| part.section == section);
    found.ok_or_else(|| usage_error(format!("{} holds no section {section}", path.display())))
}

/// Parses and checks the stored sections together, with `replaced` in place of the stored section
/// of the same name.
pub fn parse_bodies(bodies: &[SectionBody], replaced: Option<&SectionText>) -> Result<Document> {
    let stored = stored_sections(bodies.iter().map(SectionBody::named)).map_err(Error::Invalid)?;
    let is_kept = |text: &SectionText| replaced.is_none_or(|it| it.section != text.section);
    let kept = stored.into_iter().filter(is_kept);
    let texts: Vec<SectionText> = kept.chain(replaced.cloned()).collect();
    parse_sections(&texts).map_err(Error::Invalid)
}

fn read(path: &Path) -> Result<String> {
    let fail = |reason: String| Error::File(format!("cannot read {}: {reason}", path.display()));
    let length = std::fs::metadata(path).map_err(|error| fail(error.to_string()))?.len();
    if MAX_FILE_BYTES < length {
        return Err(fail("the file is too large".to_owned()));
    }
    std::fs::read_to_string(path).map_err(|error| fail(error.to_string()))
}

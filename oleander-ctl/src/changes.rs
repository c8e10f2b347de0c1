//! Publication of a section, with a change identifier that makes a lost answer harmless.

use std::time::Duration;
use std::time::Instant;

use oleander_config::model::Section;
use oleander_config::problems::Problem;
use oleander_config::sections::parse_stored;
use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_core::verdict::Verdict;
use oleander_membership::head::BodyHash;
use oleander_membership::messages::SectionBody;
use oleander_store::configuration;
use oleander_store::configuration::Publication;
use oleander_store::configuration::PublishError;
use oleander_store::store::Store;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::usage;

/// The time for which a publication is tried again while its outcome is unknown.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// The time between two attempts.
const PAUSE: Duration = Duration::from_millis(200);

/// `SectionEdit` is a new text for a section, made from a known older one.
#[derive(Clone, Debug)]
pub struct SectionEdit {
    /// The section.
    pub section: Section,
    /// The new text.
    pub text: String,
    /// The hash of the older text; `None` if the section was not there.
    pub base: Option<BodyHash>,
    /// The identifier of the change.
    pub change: ChangeId,
}

/// Publishes an edit; tries again with the same change while the outcome is unknown.
///
/// # Errors
/// Fails with `Error::UnknownOutcome` if the outcome is still unknown after `patience`.
pub async fn publish(store: &Store, edit: &SectionEdit, patience: Duration) -> Result<Revision> {
    let publication = Publication {
        section: edit.section.to_string(),
        text: edit.text.clone(),
        base: edit.base,
        change: edit.change,
    };
    let start = Instant::now();
    let mut doubt = None;
    loop {
        let error = match configuration::publish(store, &publication, check).await {
            Ok(applied) => return Ok(applied.revision),
            Err(PublishError::Store(error)) => error,
            Err(error) => return Err(Error::from_publish(edit.change, error)),
        };
        if error.verdict() == Verdict::MayHaveRun {
            doubt = Some(error);
        }
        // Once an attempt may have run, a later refusal to connect must not deny it.
        let Some(doubt) = doubt else {
            return Err(Error::from_publish(edit.change, PublishError::Store(error)));
        };
        if patience <= start.elapsed() {
            return Err(Error::from_publish(edit.change, PublishError::Store(doubt)));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Draws a new change identifier.
pub fn new_change() -> ChangeId {
    ChangeId(rand::random())
}

/// Reads a change identifier as it was printed.
///
/// # Errors
/// Fails if the text is not hexadecimal.
pub fn parse_change(text: &str) -> Result<ChangeId> {
    let number = u64::from_str_radix(text, 16);
    number.map(ChangeId).map_err(|_| usage("a change is a hexadecimal number"))
}

/// Reads the hash of a section's text.
///
/// # Errors
/// Fails if the text is not a hash.
pub fn parse_hash(text: &str) -> Result<BodyHash> {
    BodyHash::try_from(text.to_owned()).map_err(usage)
}

/// Checks all sections as they would be in force together.
fn check(bodies: &[SectionBody]) -> std::result::Result<(), Vec<Problem>> {
    parse_stored(bodies.iter().map(SectionBody::named)).map(|_| ())
}

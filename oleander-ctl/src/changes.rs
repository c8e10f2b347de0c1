//! Publication of a section. A change identifier makes it idempotent, so that it can be retried
//! after a lost answer.

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
use crate::errors::usage_error;

/// The time for which a publication is retried while its outcome is unknown.
pub const RETRY_TIMEOUT: Duration = Duration::from_secs(10);

/// The pause between two attempts to publish.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// `SectionEdit` replaces the text of a section, provided that the text it is based on is still
/// the published one.
#[derive(Clone, Debug)]
pub struct SectionEdit {
    /// The section to replace.
    pub section: Section,
    /// The new text.
    pub text: String,
    /// The hash of the text that the edit is based on; `None` for a new section.
    pub base: Option<BodyHash>,
    /// The identifier of the change, the same in each attempt.
    pub change: ChangeId,
}

/// Publishes an edit and returns its revision; retries with the same change identifier while the
/// outcome is unknown.
///
/// # Errors
/// Returns `Error::Conflict` or `Error::Invalid` if the edit is refused, `Error::Unreachable` if
/// no attempt can have taken effect, and `Error::UnknownOutcome` if the outcome is still unknown
/// after `retry_timeout`.
pub async fn publish(
    store: &Store,
    edit: &SectionEdit,
    retry_timeout: Duration,
) -> Result<Revision> {
    let publication = Publication {
        section: edit.section.to_string(),
        text: edit.text.clone(),
        base: edit.base,
        change: edit.change,
    };
    let start = Instant::now();
    let mut unknown_outcome = None;
    loop {
        let error = match configuration::publish(store, &publication, validate).await {
            Ok(applied) => return Ok(applied.revision),
            Err(PublishError::Store(error)) => error,
            Err(error) => return Err(Error::from_publish(edit.change, error)),
        };
        if error.verdict() == Verdict::MayHaveRun {
            unknown_outcome = Some(error);
        }
        // An attempt that may have run stays uncertain even if a later one cannot connect.
        let Some(outcome_error) = unknown_outcome else {
            return Err(Error::from_publish(edit.change, PublishError::Store(error)));
        };
        if retry_timeout <= start.elapsed() {
            return Err(Error::from_publish(edit.change, PublishError::Store(outcome_error)));
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Returns a random change identifier.
pub fn new_change_id() -> ChangeId {
    ChangeId(rand::random())
}

/// Parses a change identifier in the form that the tool prints.
///
/// # Errors
/// Returns `Error::Usage` if the text is not a hexadecimal number of at most 64 bits.
pub fn parse_change_id(text: &str) -> Result<ChangeId> {
    let number = u64::from_str_radix(text, 16);
    number.map(ChangeId).map_err(|_| usage_error("a change is a hexadecimal number"))
}

/// Parses the hash of a section's text.
///
/// # Errors
/// Returns `Error::Usage` if the text is not 64 hexadecimal digits.
pub fn parse_hash(text: &str) -> Result<BodyHash> {
    BodyHash::try_from(text.to_owned()).map_err(usage_error)
}

/// Validates all sections together, as they would be published.
fn validate(bodies: &[SectionBody]) -> std::result::Result<(), Vec<Problem>> {
    parse_stored(bodies.iter().map(SectionBody::named)).map(|_| ())
}

//! Reading and publication of the configuration in the store.
//!
//! The head refers to the text of each section, its body, by hash; each body is stored under a key
//! of its own.

use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_core::verdict::Verdict;
use oleander_membership::head::BodyHash;
use oleander_membership::head::Edit;
use oleander_membership::head::EditOutcome;
use oleander_membership::head::Head;
use oleander_membership::messages::SectionBody;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::decode_error;
use crate::keys;
use crate::store::Commit;
use crate::store::CommitOutcome;
use crate::store::Entry;
use crate::store::Expectation;
use crate::store::Store;
use crate::store::StoreRevision;
use crate::store::Write;

/// The maximum number of attempts of a publication or a read in the presence of concurrent edits.
const MAX_ATTEMPTS: usize = 16;

/// `Publication` is a request to replace the text of one section.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The name of the section in kebab case.
    pub section: String,
    /// The new text.
    pub text: String,
    /// The hash of the text that the operator started from; `None` for a new section.
    pub base: Option<BodyHash>,
    /// The identifier of the change, by which a retry is recognised; the operator tool uses the
    /// same one for each attempt.
    pub change: ChangeId,
}

/// `Applied` is the result of a successful publication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Applied {
    /// The revision that the publication created.
    pub revision: Revision,
}

/// `PublishError` states why a publication failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError<E> {
    /// The publication is not based on the present text of the section; holds the hash of that
    /// text, `None` if the section does not exist.
    Conflict(Option<BodyHash>),
    /// The check rejected the resulting set of sections.
    Rejected(E),
    /// A call to the store failed. If the verdict is `MayHaveRun`, the change may have been
    /// applied; publishing it again with the same identifier finds out.
    Store(Error),
}

impl<E> PublishError<E> {
    /// Returns whether the publication may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            PublishError::Conflict(_) | PublishError::Rejected(_) => Verdict::NotRun,
            PublishError::Store(error) => error.verdict(),
        }
    }
}

/// `StoredDocument` is the whole configuration in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredDocument {
    /// The head; the default value if nothing has been published.
    pub head: Head,
    /// The store revision of the head, which a commit expects unchanged; 0 if there is none.
    pub head_revision: StoreRevision,
    /// The sections, in the order of the head.
    pub sections: Vec<SectionBody>,
}

/// Publishes a section.
///
/// `check` receives all sections as they would be after the publication, and rejects them by
/// returning an error. A commit whose answer was lost is retried; the change identifier in the head
/// shows whether it had been applied.
pub async fn publish<E>(
    store: &Store,
    publication: &Publication,
    check: impl Fn(&[SectionBody]) -> std::result::Result<(), E>,
) -> std::result::Result<Applied, PublishError<E>> {
    let edit = Edit {
        section: publication.section.clone(),
        base: publication.base,
        hash: BodyHash::of(&publication.text),
        change: publication.change,
    };
    // The error of an attempt that may have run. It takes precedence over later errors, which could
    // claim that the publication has not run.
    let mut uncertain = None;
    for _ in 0..MAX_ATTEMPTS {
        let document = read_document(store).await;
        let document = document.map_err(|error| PublishError::Store(uncertain.unwrap_or(error)))?;
        let next = match document.head.edit(&edit) {
            EditOutcome::Done(revision) => return Ok(Applied { revision }),
            EditOutcome::Conflict(present) => return Err(PublishError::Conflict(present)),
            EditOutcome::Next(next) => next,
        };
        check(&merge(&document, publication)).map_err(PublishError::Rejected)?;
        match store.commit(commit(&document, &next, publication)).await {
            Ok(CommitOutcome::Committed(_)) => return Ok(Applied { revision: next.revision }),
            Ok(CommitOutcome::Conflict) => {}
            Err(error) if error.verdict() == Verdict::MayHaveRun => uncertain = Some(error),
            Err(error) => return Err(PublishError::Store(uncertain.unwrap_or(error))),
        }
    }
    Err(PublishError::Store(uncertain.unwrap_or(Error::Timeout("too many concurrent edits"))))
}

/// Reads the head and all sections consistently.
///
/// Fails with `Error::Timeout` if concurrent edits replace bodies during every attempt.
pub async fn read_document(store: &Store) -> Result<StoredDocument> {
    for _ in 0..MAX_ATTEMPTS {
        let reading = store.read(keys::HEAD).await?;
        let Some(entry) = reading.entries.first() else { return Ok(StoredDocument::default()) };
        let head = parse_head(entry)?;
        // A missing body was replaced after the head was read, so the head must be read again.
        if let Some(sections) = read_bodies(store, &head).await? {
            return Ok(StoredDocument { head, head_revision: entry.revision, sections });
        }
    }
    Err(Error::Timeout("the configuration changes too fast to be read"))
}

/// Decodes the configuration head from its entry in the store.
pub fn parse_head(entry: &Entry) -> Result<Head> {
    serde_json::from_slice(&entry.value).map_err(|_| decode_error("malformed configuration head"))
}

/// Reads the sections that `head` refers to; `None` if the body of one no longer exists.
pub async fn read_bodies(store: &Store, head: &Head) -> Result<Option<Vec<SectionBody>>> {
    let mut sections = Vec::with_capacity(head.sections.len());
    for section_head in &head.sections {
        let Some(text) = read_body(store, section_head.hash).await? else { return Ok(None) };
        sections.push(SectionBody { section: section_head.section.clone(), text });
    }
    Ok(Some(sections))
}

/// Reads the section body with this hash; `None` if it no longer exists. Fails if the stored text
/// does not match the hash.
pub async fn read_body(store: &Store, hash: BodyHash) -> Result<Option<String>> {
    let reading = store.read(&keys::body(hash)).await?;
    let Some(entry) = reading.entries.into_iter().next() else { return Ok(None) };
    let text = String::from_utf8(entry.value).map_err(|_| decode_error("a body is not text"))?;
    if BodyHash::of(&text) != hash {
        return Err(decode_error("a body does not have its hash"));
    }
    Ok(Some(text))
}

/// Returns the sections after the publication, ordered by name.
fn merge(document: &StoredDocument, publication: &Publication) -> Vec<SectionBody> {
    let mut sections = document.sections.clone();
    sections.retain(|body| body.section != publication.section);
    let text = publication.text.clone();
    sections.push(SectionBody { section: publication.section.clone(), text });
    sections.sort_by(|left, right| left.section.cmp(&right.section));
    sections
}

/// Builds the commit that writes the head and the body together, and deletes the replaced body if
/// no section refers to it any more.
fn commit(document: &StoredDocument, next: &Head, publication: &Publication) -> Commit {
    let expected =
        vec![Expectation { key: keys::HEAD.to_owned(), revision: document.head_revision }];
    let head = serde_json::to_vec(next).unwrap_or_default();
    let body = keys::body(BodyHash::of(&publication.text));
    let mut writes = vec![
        Write::Put { key: keys::HEAD.to_owned(), value: head },
        Write::Put { key: body, value: publication.text.clone().into_bytes() },
    ];
    let in_use = |hash| next.sections.iter().any(|section| section.hash == hash);
    if let Some(old) = publication.base.filter(|hash| !in_use(*hash)) {
        writes.push(Write::Delete { key: keys::body(old) });
    }
    Commit { expected, writes }
}

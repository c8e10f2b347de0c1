//! Publication of configuration sections in the store.

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

/// The attempts that a publication or a reading makes against concurrent edits.
const ATTEMPTS: usize = 16;

/// `Publication` is a new text for one section.
#[derive(Clone, Debug)]
pub struct Publication {
    /// The name of the section in kebab case.
    pub section: String,
    /// The new text.
    pub text: String,
    /// The hash of the text that the operator started from; `None` for a new section.
    pub base: Option<BodyHash>,
    /// The identifier of the change; the operator tool keeps it when it tries again.
    pub change: ChangeId,
}

/// `Applied` says at which revision a publication is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Applied {
    /// The revision.
    pub revision: Revision,
}

/// `PublishError` says why a publication failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishError<E> {
    /// Another edit has changed the section; holds the hash that it has now.
    Conflict(Option<BodyHash>),
    /// The check refused the sections together.
    Rejected(E),
    /// The store failed; by the verdict, the change may be in. Publish again with the same
    /// change identifier to find out.
    Store(Error),
}

impl<E> PublishError<E> {
    /// Gets the verdict on the publication.
    pub fn verdict(&self) -> Verdict {
        match self {
            PublishError::Conflict(_) | PublishError::Rejected(_) => Verdict::NotRun,
            PublishError::Store(error) => error.verdict(),
        }
    }
}

/// `StoredDocument` is the whole configuration as the store holds it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredDocument {
    /// The head; the default one while nothing has been published.
    pub head: Head,
    /// The store's revision of the head.
    pub stored: StoreRevision,
    /// The sections in the order of the head.
    pub sections: Vec<SectionBody>,
}

/// Publishes a section.
///
/// `check` gets all sections as they would be in force together, and refuses them with its error.
/// An attempt whose answer is lost is made again; the change identifier tells whether it is in.
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
    // Once an attempt may have run, a later failure of the store must not deny it.
    let mut doubt = None;
    for _ in 0..ATTEMPTS {
        let document = read_document(store).await;
        let document = document.map_err(|error| PublishError::Store(doubt.unwrap_or(error)))?;
        let next = match document.head.edit(&edit) {
            EditOutcome::Done(revision) => return Ok(Applied { revision }),
            EditOutcome::Conflict(present) => return Err(PublishError::Conflict(present)),
            EditOutcome::Next(next) => next,
        };
        check(&merge(&document, publication)).map_err(PublishError::Rejected)?;
        match store.commit(commit(&document, &next, publication)).await {
            Ok(CommitOutcome::Committed(_)) => return Ok(Applied { revision: next.revision }),
            Ok(CommitOutcome::Conflict) => {}
            Err(error) if error.verdict() == Verdict::MayHaveRun => doubt = Some(error),
            Err(error) => return Err(PublishError::Store(doubt.unwrap_or(error))),
        }
    }
    Err(PublishError::Store(doubt.unwrap_or(Error::Timeout("too many concurrent edits"))))
}

/// Reads the head and all sections.
pub async fn read_document(store: &Store) -> Result<StoredDocument> {
    for _ in 0..ATTEMPTS {
        let reading = store.read(keys::HEAD).await?;
        let Some(entry) = reading.entries.first() else { return Ok(StoredDocument::default()) };
        let head = parse_head(entry)?;
        // A body that is missing was replaced between the two reads.
        if let Some(sections) = read_bodies(store, &head).await? {
            return Ok(StoredDocument { head, stored: entry.revision, sections });
        }
    }
    Err(Error::Timeout("the configuration changes too fast to be read"))
}

/// Reads a head from its entry.
pub fn parse_head(entry: &Entry) -> Result<Head> {
    serde_json::from_slice(&entry.value).map_err(|_| decode_error("malformed configuration head"))
}

/// Reads the sections that `head` names; `None` if one of them is gone.
pub async fn read_bodies(store: &Store, head: &Head) -> Result<Option<Vec<SectionBody>>> {
    let mut sections = Vec::with_capacity(head.sections.len());
    for part in &head.sections {
        let Some(text) = read_body(store, part.hash).await? else { return Ok(None) };
        sections.push(SectionBody { section: part.section.clone(), text });
    }
    Ok(Some(sections))
}

/// Reads the body with this hash; `None` if it is gone.
pub async fn read_body(store: &Store, hash: BodyHash) -> Result<Option<String>> {
    let reading = store.read(&keys::body(hash)).await?;
    let Some(entry) = reading.entries.into_iter().next() else { return Ok(None) };
    let text = String::from_utf8(entry.value).map_err(|_| decode_error("a body is not text"))?;
    if BodyHash::of(&text) != hash {
        return Err(decode_error("a body does not have its hash"));
    }
    Ok(Some(text))
}

fn merge(document: &StoredDocument, publication: &Publication) -> Vec<SectionBody> {
    let mut sections = document.sections.clone();
    sections.retain(|body| body.section != publication.section);
    let text = publication.text.clone();
    sections.push(SectionBody { section: publication.section.clone(), text });
    sections.sort_by(|left, right| left.section.cmp(&right.section));
    sections
}

/// Writes head and body together, and drops the body that no section names any more.
fn commit(document: &StoredDocument, next: &Head, publication: &Publication) -> Commit {
    let expected = vec![Expectation { key: keys::HEAD.to_owned(), revision: document.stored }];
    let head = serde_json::to_vec(next).unwrap_or_default();
    let body = keys::body(BodyHash::of(&publication.text));
    let mut writes = vec![
        Write::Put { key: keys::HEAD.to_owned(), value: head },
        Write::Put { key: body, value: publication.text.clone().into_bytes() },
    ];
    let in_use = |hash| next.sections.iter().any(|part| part.hash == hash);
    if let Some(old) = publication.base.filter(|hash| !in_use(*hash)) {
        writes.push(Write::Delete { key: keys::body(old) });
    }
    Commit { expected, writes }
}

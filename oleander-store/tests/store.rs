//! The store client and the publication of configurations, against a stand-in for the store that
//! injects faults.

use std::time::Duration;

use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_core::verdict::Verdict;
use oleander_membership::head::BodyHash;
use oleander_membership::messages::SectionBody;
use oleander_standin::relay::FaultRelay;
use oleander_standin::relay::Passage;
use oleander_standin::store::Store as Standin;
use oleander_store::configuration;
use oleander_store::configuration::Applied;
use oleander_store::configuration::Publication;
use oleander_store::configuration::PublishError;
use oleander_store::keys;
use oleander_store::store::Commit;
use oleander_store::store::CommitOutcome;
use oleander_store::store::Expectation;
use oleander_store::store::Store;
use oleander_store::store::StoreOptions;
use oleander_store::store::StoreRevision;
use oleander_store::store::Write;
use rstest::rstest;

/// The timeout of a wait for a watch; a test that reaches it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// `FaultCase` is a fault and the verdicts on the first and second write under it; `None` means
/// that the write succeeds.
struct FaultCase {
    fault: fn(&FaultRelay),
    first: Option<Verdict>,
    second: Option<Verdict>,
}

#[rstest]
#[case::none(FaultCase { fault: |_| {}, first: None, second: None })]
#[case::lost_answer(FaultCase {
    fault: |relay| relay.lose_answers("/v3/kv/txn", 1),
    first: Some(Verdict::MayHaveRun),
    second: None,
})]
#[case::silent_connection(FaultCase {
    fault: FaultRelay::silence_established,
    first: Some(Verdict::MayHaveRun),
    second: None,
})]
#[case::silent_store(FaultCase {
    fault: |relay| relay.set_passage(Passage::Silent),
    first: Some(Verdict::MayHaveRun),
    second: Some(Verdict::MayHaveRun),
})]
#[tokio::test]
async fn write_verdict_matches_the_fault(#[case] case: FaultCase) {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    // Opens the connection that the fault affects.
    store.read("warm").await.unwrap();
    (case.fault)(standin.relay());
    assert_eq!(write(&store).await, case.first);
    assert_eq!(write(&store).await, case.second);
}

/// Guards against a holder that counts a lease by the duration that it has requested.
#[tokio::test]
async fn a_lease_tells_the_ttl_that_applies() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    let rounded = store.grant_lease(Span::from_millis(1_500)).await.unwrap();
    assert_eq!(rounded.ttl, Span::from_secs(2));
    standin.limit_leases(3);
    let granted = store.grant_lease(Span::from_secs(60)).await.unwrap();
    assert_eq!(granted.ttl, Span::from_secs(3));
    let renewed = store.renew_lease(granted.lease).await.unwrap();
    assert_eq!(renewed, Some(Span::from_secs(3)));
    standin.limit_leases(1);
    let renewed = store.renew_lease(granted.lease).await.unwrap();
    assert_eq!(renewed, Some(Span::from_secs(1)));
    store.revoke_lease(granted.lease).await.unwrap();
    assert_eq!(store.renew_lease(granted.lease).await.unwrap(), None);
}

#[tokio::test]
async fn write_over_a_refused_connection_has_not_run() {
    let closed_port = "http://127.0.0.1:1".to_owned();
    let store =
        Store::new(StoreOptions { endpoints: vec![closed_port], ..StoreOptions::default() });
    assert_eq!(write(&store).await, Some(Verdict::NotRun));
}

#[tokio::test]
async fn client_moves_to_the_next_endpoint_after_a_failure() {
    let standin = Standin::start().await.unwrap();
    let endpoints = vec!["http://127.0.0.1:1".to_owned(), format!("http://{}", standin.address())];
    let store = Store::new(StoreOptions { endpoints, ..StoreOptions::default() });
    assert!(store.read("key").await.is_err());
    assert!(store.read("key").await.is_ok());
}

#[tokio::test]
async fn a_lost_answer_does_not_apply_a_change_twice() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    standin.relay().lose_answers("/v3/kv/txn", 1);
    let applied = publish(&store, "rates", None, "[]", 1).await;
    assert_eq!(applied, Ok(Applied { revision: Revision(1) }));
    let document = configuration::read_document(&store).await.unwrap();
    assert_eq!(document.head.changes.len(), 1);
}

#[tokio::test]
async fn only_the_edited_section_conflicts() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    publish(&store, "rates", None, "[]", 1).await.unwrap();
    publish(&store, "routes", None, "[]", 2).await.unwrap();
    let stale = publish(&store, "rates", None, "# late\n[]", 3).await;
    assert_eq!(stale, Err(PublishError::Conflict(Some(BodyHash::of("[]")))));
    let fresh = publish(&store, "rates", Some("[]"), "# new\n[]", 4).await;
    assert_eq!(fresh, Ok(Applied { revision: Revision(3) }));
}

#[tokio::test]
async fn concurrent_edits_of_different_sections_are_all_applied() {
    let standin = Standin::start().await.unwrap();
    let stores = [client(&standin), client(&standin), client(&standin)];
    let edits = ["rates", "routes", "upstreams"].into_iter().zip(&stores).enumerate();
    let edits =
        edits.map(|(change, (section, store))| publish(store, section, None, "[]", change as u64));
    let applied = futures::future::join_all(edits).await;
    assert!(applied.iter().all(Result::is_ok));
    let document = configuration::read_document(&stores[0]).await.unwrap();
    assert_eq!((document.head.revision, document.sections.len()), (Revision(3), 3));
}

#[tokio::test]
async fn rejected_publication_leaves_the_store_unchanged() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    let refuse = |_: &[SectionBody]| Err("refused");
    let result = configuration::publish(&store, &publication("rates", None, "[", 1), refuse).await;
    assert_eq!(result, Err(PublishError::Rejected("refused")));
    assert!(store.read(keys::HEAD).await.unwrap().entries.is_empty());
}

#[tokio::test]
async fn compare_revisions_returns_none_until_a_key_changes() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    let known = [Expectation { key: "key".to_owned(), revision: StoreRevision(0) }];
    assert_eq!(store.compare_revisions(&known).await.unwrap(), None);
    write(&store).await;
    let found = store.compare_revisions(&known).await.unwrap().unwrap();
    assert!(found.entries.iter().all(|entry| entry.value.is_empty()));
    assert_eq!(found.entries.len(), 1);
}

#[tokio::test]
async fn watch_reports_changed_entries() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    let mut watch = store.watch("key", "kez").await.unwrap();
    write(&store).await;
    let search = async {
        loop {
            let update = watch.next().await.unwrap();
            if let Some(entry) = update.changed.into_iter().next() {
                return entry.value;
            }
        }
    };
    let value = tokio::time::timeout(TEST_TIMEOUT, search).await.unwrap();
    assert_eq!(value, b"value");
}

#[tokio::test]
async fn silent_watch_fails_and_can_be_reopened() {
    let standin = Standin::start().await.unwrap();
    let store = client(&standin);
    let mut watch = store.watch("key", "kez").await.unwrap();
    standin.relay().silence_established();
    let search = async { while watch.next().await.is_ok() {} };
    tokio::time::timeout(TEST_TIMEOUT, search).await.unwrap();
    assert!(store.watch("key", "kez").await.is_ok() || store.watch("key", "kez").await.is_ok());
}

fn client(standin: &Standin) -> Store {
    Store::new(StoreOptions {
        endpoints: vec![format!("http://{}", standin.address())],
        silence: Span::from_secs(3),
        ..StoreOptions::default()
    })
}

/// Writes a key. Returns the verdict of the error if the write fails, `None` if it succeeds.
async fn write(store: &Store) -> Option<Verdict> {
    let writes = vec![Write::Put { key: "key".to_owned(), value: b"value".to_vec() }];
    match store.commit(Commit { expected: Vec::new(), writes }).await {
        Ok(CommitOutcome::Committed(_)) => None,
        Ok(CommitOutcome::Conflict) => panic!("a commit without expectations conflicted"),
        Err(error) => Some(error.verdict()),
    }
}

async fn publish(
    store: &Store,
    section: &str,
    base: Option<&str>,
    text: &str,
    change: u64,
) -> Result<Applied, PublishError<()>> {
    let publication = publication(section, base, text, change);
    configuration::publish(store, &publication, |_| Ok(())).await
}

fn publication(section: &str, base: Option<&str>, text: &str, change: u64) -> Publication {
    Publication {
        section: section.to_owned(),
        text: text.to_owned(),
        base: base.map(BodyHash::of),
        change: ChangeId(change),
    }
}

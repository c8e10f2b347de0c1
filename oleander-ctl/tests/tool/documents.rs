//! Tests of checking, comparing and publishing sections against the stand-in of the store.

use std::time::Duration;

use oleander_config::model::Section;
use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_ctl::changes;
use oleander_ctl::changes::SectionEdit;
use oleander_ctl::errors::Error;
use oleander_ctl::errors::Exit;
use oleander_ctl::output::error_json;
use oleander_standin::relay::Passage;
use oleander_standin::store::Store;
use oleander_store::store::Store as StoreClient;
use oleander_store::store::StoreOptions;

use crate::support::example;
use crate::support::file;
use crate::support::publish_example;
use crate::support::run;
use crate::support::text;

fn client(store: &Store) -> StoreClient {
    let endpoints = vec![format!("http://{}", store.address())];
    StoreClient::new(StoreOptions { endpoints, ..StoreOptions::default() })
}

#[tokio::test]
async fn sections_are_published_one_at_a_time_and_shown() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    let shown = run(&store, &["show", "rates"]).await.unwrap();
    assert_eq!(shown.json["revision"], 4);
    assert!(shown.text.contains("rate: 200/s"), "{}", shown.text);
    let diff = run(&store, &["diff", text(&example("bakery.yaml"))]).await.unwrap();
    assert_eq!(diff.text, "no change");
}

#[tokio::test]
async fn diff_shows_a_change_and_an_invalid_section_is_not_published() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    let better = file("better.yaml", "- {workspace: cedar, rate: 300/s, burst: 400}\n");
    let diff = run(&store, &["diff", "--section", "rates", text(&better)]).await.unwrap();
    assert!(diff.text.contains("rates: rate cedar: rate 200 -> 300"), "{}", diff.text);

    let wrong = file("wrong.yaml", "- {workspace: nobody, rate: 300/s, burst: 400}\n");
    for command in ["check", "apply"] {
        let error = run(&store, &[command, "--section", "rates", text(&wrong)]).await.unwrap_err();
        assert_eq!(error.exit_code(), Exit::Invalid);
        assert_eq!(error_json(&error)["problems"][0]["path"], "rates[0].workspace");
    }
    assert_eq!(run(&store, &["show", "rates"]).await.unwrap().json["revision"], 4);
}

#[tokio::test]
async fn an_edit_based_on_an_outdated_text_is_a_conflict() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    let base = run(&store, &["show", "rates"]).await.unwrap().json["hash"].clone();
    let base = base.as_str().unwrap();
    let first = file("first.yaml", "- {workspace: cedar, rate: 1/s, burst: 400}\n");
    let second = file("second.yaml", "- {workspace: cedar, rate: 2/s, burst: 400}\n");
    let apply = |path| ["apply", "--section", "rates", "--base", base, path];
    run(&store, &apply(text(&first))).await.unwrap();
    let error = run(&store, &apply(text(&second))).await.unwrap_err();
    assert_eq!(error.exit_code(), Exit::Conflict);
    // An edit of another section that is based on the same revision does not conflict.
    run(&store, &["apply", "--section", "routes", text(&example("bakery.yaml"))]).await.unwrap();
}

#[tokio::test]
async fn exactly_one_of_several_concurrent_edits_of_a_section_succeeds() {
    let store = Store::start().await.unwrap();
    let client = client(&store);
    let edit = |weight: u64| SectionEdit {
        section: Section::Workspaces,
        text: format!("- {{name: a, weight: {weight}}}\n"),
        base: None,
        change: ChangeId(weight),
    };
    let edits = [edit(1), edit(2), edit(3)];
    let publish = |edit| changes::publish(&client, edit, Duration::ZERO);
    let outcomes = tokio::join!(publish(&edits[0]), publish(&edits[1]), publish(&edits[2]));
    let outcomes = [outcomes.0, outcomes.1, outcomes.2];
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
    let conflict =
        |outcome: &&Result<Revision, Error>| matches!(outcome, Err(Error::Conflict(Some(_))));
    assert_eq!(outcomes.iter().filter(conflict).count(), 2);
}

#[tokio::test]
async fn a_retry_after_a_lost_answer_does_not_publish_twice() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    store.relay().lose_answers("/v3/kv/txn", 1);
    let better = file("lost.yaml", "- {workspace: cedar, rate: 300/s, burst: 400}\n");
    let applied = run(&store, &["apply", "--section", "rates", text(&better)]).await.unwrap();
    assert_eq!(applied.json["revision"], 5);
    assert_eq!(run(&store, &["show", "rates"]).await.unwrap().json["revision"], 5);
}

#[tokio::test]
async fn a_retry_with_the_same_change_resolves_an_unknown_outcome() {
    let store = Store::start().await.unwrap();
    let edit = SectionEdit {
        section: Section::Workspaces,
        text: "- name: a\n".to_owned(),
        base: None,
        change: changes::new_change_id(),
    };
    let client = client(&store);
    store.relay().lose_answers("/v3/kv/", u64::MAX);
    let error = changes::publish(&client, &edit, Duration::ZERO).await.unwrap_err();
    assert_eq!(error.exit_code(), Exit::UnknownOutcome);
    assert_eq!(error_json(&error)["change"], format!("{:016x}", edit.change.0));

    store.relay().lose_answers("/v3/kv/", 0);
    for _ in 0..2 {
        let revision = changes::publish(&client, &edit, Duration::ZERO).await.unwrap();
        assert_eq!(revision, Revision(1));
    }
}

#[tokio::test]
async fn an_unreachable_store_is_reported() {
    let store = Store::start().await.unwrap();
    store.relay().set_passage(Passage::Refuse);
    let path = example("bakery.yaml");
    let error = run(&store, &["apply", "--section", "rates", text(&path)]).await.unwrap_err();
    assert_eq!(error.exit_code(), Exit::Unreachable);
}

#[tokio::test]
async fn a_document_is_checked_and_compared_without_a_store() {
    let store = Store::start().await.unwrap();
    let path = example("repair.yaml");
    let checked = run(&store, &["check", text(&path)]).await.unwrap();
    assert_eq!(checked.text, "valid: 8 workspaces, 8 rates, 3 upstreams, 9 routes");
    let same = run(&store, &["diff", text(&path), "--against", text(&path)]).await.unwrap();
    assert_eq!(same.text, "no change");
    assert_eq!(store.calls().reads, 0);
}

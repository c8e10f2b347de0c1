//! Tests of keys, which are printed once and of which only hashes are stored.

use oleander_config::keys::hash_key;
use oleander_ctl::errors::Exit;
use oleander_standin::store::Store;

use crate::support::publish_example;
use crate::support::run;

#[tokio::test]
async fn a_granted_key_is_printed_once_and_only_its_hash_is_stored() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    let granted = run(&store, &["keys", "grant", "cedar", "second"]).await.unwrap();
    let key = granted.json["key"].as_str().unwrap();
    assert_eq!(granted.text.lines().next(), Some(key));
    let stored = run(&store, &["show", "workspaces"]).await.unwrap().text;
    assert!(stored.contains(&hash_key(key).to_string()));
    assert!(!stored.contains(key));
    let listed = run(&store, &["keys", "list", "cedar"]).await.unwrap();
    assert_eq!(listed.json.as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn a_withdrawn_key_is_not_listed_and_cannot_be_withdrawn_again() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    run(&store, &["keys", "withdraw", "cedar", "first"]).await.unwrap();
    let listed = run(&store, &["keys", "list", "cedar"]).await.unwrap();
    assert!(listed.json.as_array().unwrap().is_empty());
    let again = run(&store, &["keys", "withdraw", "cedar", "first"]).await.unwrap_err();
    assert_eq!(again.exit_code(), Exit::Usage);
}

//! Tests of the stand-ins of the store and the VM list against the interfaces of the real services.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt as _;
use oleander_standin::relay::Passage;
use oleander_standin::store::Store;
use oleander_standin::vms::VmList;
use oleander_standin::vms::VmState;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(200);

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

async fn call(store: &Store, path: &str, body: Value) -> Result<Value, reqwest::Error> {
    let url = format!("http://{}{path}", store.address());
    let client = reqwest::Client::builder().timeout(LONG).build()?;
    client.post(url).json(&body).send().await?.json().await
}

fn put_if_version(key: &str, version: &str, value: &str) -> Value {
    json!({
        "compare": [{"target": "VERSION", "result": "EQUAL", "key": b64(key), "version": version}],
        "success": [{"request_put": {"key": b64(key), "value": b64(value)}}],
        "failure": [{"request_range": {"key": b64(key)}}],
    })
}

#[tokio::test]
async fn put_is_read_back_with_its_revisions() {
    let store = Store::start().await.unwrap();
    for value in ["a", "b"] {
        call(&store, "/v3/kv/put", json!({"key": b64("k"), "value": b64(value)})).await.unwrap();
    }
    let read = call(&store, "/v3/kv/range", json!({"key": b64("k")})).await.unwrap();
    let expected = json!({
        "key": b64("k"), "value": b64("b"),
        "create_revision": "2", "mod_revision": "3", "version": "2",
    });
    assert_eq!(read["kvs"], json!([expected]));
}

#[tokio::test]
async fn txn_with_a_failed_condition_returns_the_stored_pair() {
    let store = Store::start().await.unwrap();
    let first = call(&store, "/v3/kv/txn", put_if_version("k", "0", "mine")).await.unwrap();
    let second = call(&store, "/v3/kv/txn", put_if_version("k", "0", "theirs")).await.unwrap();
    assert_eq!(first["succeeded"], json!(true));
    assert_eq!(second["succeeded"], Value::Null);
    let stored = &second["responses"][0]["response_range"]["kvs"][0]["value"];
    assert_eq!(*stored, json!(b64("mine")));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let store = Store::start().await.unwrap();
    let lease = call(&store, "/v3/lease/grant", json!({"TTL": "1"})).await.unwrap();
    let put = json!({"key": b64("k"), "value": b64("v"), "lease": lease["ID"]});
    call(&store, "/v3/kv/put", put).await.unwrap();
    let range = json!({"key": b64("k")});
    let gone = async {
        while call(&store, "/v3/kv/range", range.clone()).await.unwrap()["count"] == json!("1") {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(LONG, gone).await.expect("the key outlived its lease");
    let alive = call(&store, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await.unwrap();
    assert_eq!(alive["result"]["TTL"], Value::Null);
}

#[tokio::test]
async fn watch_reports_all_changes_from_its_start_revision_on() {
    let store = Store::start().await.unwrap();
    call(&store, "/v3/kv/put", json!({"key": b64("a/1"), "value": b64("x")})).await.unwrap();
    call(&store, "/v3/kv/put", json!({"key": b64("b/1"), "value": b64("x")})).await.unwrap();
    let create = json!({"key": b64("a/"), "range_end": b64("a0"), "start_revision": "2"});
    let response = reqwest::Client::new()
        .post(format!("http://{}/v3/watch", store.address()))
        .json(&json!({ "create_request": create }))
        .send()
        .await
        .unwrap();
    let mut stream = response.bytes_stream();
    call(&store, "/v3/kv/deleterange", json!({"key": b64("a/1")})).await.unwrap();
    let mut text = String::new();
    while text.lines().filter(|line| line.contains("events")).count() < 2 {
        let chunk = tokio::time::timeout(LONG, stream.next()).await.unwrap().unwrap().unwrap();
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
    let lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str::<Value>(line).unwrap()).collect();
    assert_eq!(lines[0]["result"]["created"], json!(true));
    assert_eq!(lines[1]["result"]["events"][0]["kv"]["key"], json!(b64("a/1")));
    assert_eq!(lines[2]["result"]["events"][0]["type"], json!("DELETE"));
}

#[tokio::test]
async fn request_whose_answer_is_lost_takes_effect() {
    let store = Store::start().await.unwrap();
    store.relay().lose_answers("/v3/kv/txn", 1);
    let lost = call(&store, "/v3/kv/txn", put_if_version("k", "0", "v")).await;
    assert!(lost.is_err());
    let read = call(&store, "/v3/kv/range", json!({"key": b64("k")})).await.unwrap();
    assert_eq!(read["count"], json!("1"));
}

#[rstest]
#[case::outage(Passage::Refuse)]
#[case::silence(Passage::Silent)]
#[tokio::test]
async fn requests_fail_until_the_passage_opens(#[case] passage: Passage) {
    let store = Store::start().await.unwrap();
    store.relay().set_passage(passage);
    let range = json!({"key": b64("k")});
    let answer = tokio::time::timeout(SHORT, call(&store, "/v3/kv/range", range.clone())).await;
    assert!(!matches!(answer, Ok(Ok(_))));
    store.relay().set_passage(Passage::Open);
    assert!(call(&store, "/v3/kv/range", range).await.is_ok());
}

#[tokio::test]
async fn vm_list_shows_a_change_only_after_the_lag() {
    let list = VmList::start().await.unwrap();
    let url = format!("http://{}/v1/vms", list.address());
    list.set("vm-1", VmState::Live);
    list.set_lag(Duration::from_secs(3600));
    let late: Value = reqwest::get(&url).await.unwrap().json().await.unwrap();
    list.set_lag(Duration::ZERO);
    let now: Value = reqwest::get(&url).await.unwrap().json().await.unwrap();
    assert_eq!((late, now), (json!([]), json!([{"name": "vm-1", "state": "live"}])));
}

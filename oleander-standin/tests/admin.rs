//! Tests of the HTTP service that injects faults and reports the state.

use std::sync::Arc;

use oleander_standin::admin::Admin;
use oleander_standin::group::GroupOptions;
use oleander_standin::platform::Platform;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

#[rstest]
#[case::instance_killed(json!({"switch": "kill", "group": 0, "instance": 1}), 200)]
#[case::store_silent(json!({"switch": "passage", "part": "store", "passage": "silent"}), 200)]
#[case::answers_lost(json!({"switch": "lose-answers", "part": {"instance": [0, 2]}, "pattern": "INSERT", "count": 1}), 200)]
#[case::vm_listed(json!({"switch": "vm", "name": "vm-1", "state": "leaving"}), 200)]
#[case::unknown_group(json!({"switch": "kill", "group": 9, "instance": 0}), 404)]
#[case::unknown_instance(json!({"switch": "lag", "group": 0, "instance": 9, "millis": 1}), 404)]
#[case::unknown_switch(json!({"switch": "melt"}), 400)]
#[tokio::test]
async fn invalid_switches_are_rejected_and_valid_ones_accepted(
    #[case] switch: Value,
    #[case] status: u16,
) {
    let platform = Platform::start(1, GroupOptions::default()).await.unwrap();
    let admin = Admin::start(Arc::new(platform)).unwrap();
    let url = format!("http://{}/v1/switch", admin.address());
    let answer = reqwest::Client::new().post(url).json(&switch).send().await.unwrap();
    assert_eq!(answer.status().as_u16(), status);
}

#[tokio::test]
async fn state_reports_the_role_of_each_instance() {
    let platform = Platform::start(1, GroupOptions::default()).await.unwrap();
    let admin = Admin::start(Arc::new(platform)).unwrap();
    let url = format!("http://{}/v1/state", admin.address());
    let state: Value = reqwest::get(url).await.unwrap().json().await.unwrap();
    let instances = state["groups"][0].as_array().unwrap();
    let roles: Vec<&str> =
        instances.iter().map(|instance| instance["role"].as_str().unwrap()).collect();
    assert_eq!(roles, ["primary", "replica", "replica"]);
}

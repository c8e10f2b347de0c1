//! The documented answers to refused requests, over real sockets.

use oleander_load::cluster::fleet::Fleet;
use oleander_load::cluster::fleet::FleetOptions;
use oleander_load::cluster::profile::Profile;
use oleander_load::cluster::profile::User;
use oleander_load::drive::client::READ_SQL;
use oleander_load::drive::client::WRITE_SQL;
use serde_json::Value;
use serde_json::json;

/// The maximum number of polls for an expected answer.
const MAX_POLLS: usize = 200;
/// The interval between polls.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// `RawClient` sends arbitrary bodies to one proxy.
struct RawClient {
    http: reqwest::Client,
    base: String,
}

struct Answer {
    status: u16,
    body: Value,
}

impl RawClient {
    async fn post(
        &self,
        path: &str,
        key: Option<&str>,
        token: Option<&str>,
        body: String,
    ) -> Answer {
        let mut request = self.http.post(format!("{}{path}", self.base)).body(body);
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        if let Some(token) = token {
            request = request.header("oleander-session", token);
        }
        let response = request.send().await.expect("an answer");
        let status = response.status().as_u16();
        Answer { status, body: response.json().await.unwrap_or_default() }
    }

    /// Repeats a request that is refused for its rate, after the time that the refusal tells: a fleet that
    /// has just started has few tokens.
    async fn post_within_rate(&self, path: &str, key: &str, body: &str) -> Answer {
        let mut polls = 0;
        loop {
            let answer = self.post(path, Some(key), None, body.to_owned()).await;
            polls += 1;
            match answer.body["retry_after_ms"].as_u64() {
                Some(delay) if answer.body["code"] == "rate-limited" && polls < MAX_POLLS => {
                    tokio::time::sleep(std::time::Duration::from_millis(delay)).await;
                }
                _ => return answer,
            }
        }
    }
}

struct Case {
    name: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    token: Option<&'static str>,
    body: String,
    status: u16,
    code: &'static str,
}

async fn small_fleet() -> Fleet {
    let mut profile = Profile::of(User::Magnolia);
    profile.vms = 2;
    Fleet::start(profile, FleetOptions::default()).await.expect("the fleet comes up")
}

fn raw_client(fleet: &Fleet, number: usize) -> RawClient {
    let address = fleet.endpoints.pick(number).expect("a VM").address;
    RawClient { http: reqwest::Client::new(), base: format!("http://{address}") }
}

fn read_body(class: &str) -> String {
    json!({ "class": class, "sql": READ_SQL, "parameters": ["loaf"] }).to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_unauthorized_requests_get_their_documented_answers() {
    const KEY: Option<&str> = Some("magnolia-rye-key");
    const STATEMENTS: &str = "/v1/statements";
    let fleet = small_fleet().await;
    let read = || read_body("orders.read");
    let base = Case {
        name: "",
        path: STATEMENTS,
        key: KEY,
        token: None,
        body: read(),
        status: 400,
        code: "bad-request",
    };
    let cases = [
        Case {
            name: "wrong key",
            key: Some("guess"),
            status: 401,
            code: "key-rejected",
            body: read(),
            ..base
        },
        Case { name: "no key", key: None, status: 401, code: "key-missing", body: read(), ..base },
        Case {
            name: "unknown class",
            body: read_body("orders.none"),
            status: 404,
            code: "unknown-route",
            ..base
        },
        Case {
            name: "unknown path",
            path: "/elsewhere",
            body: json!({ "sql": READ_SQL }).to_string(),
            status: 404,
            code: "unknown-route",
            ..base
        },
        Case {
            name: "malformed token",
            token: Some("%%%"),
            status: 400,
            code: "bad-token",
            body: read(),
            ..base
        },
        Case { name: "truncated body", body: "{\"class\":".to_owned(), ..base },
        Case {
            name: "unknown field",
            body: json!({ "class": "orders.read", "sql": READ_SQL, "spare": 1 }).to_string(),
            ..base
        },
        Case {
            name: "array parameter",
            body: json!({ "class": "orders.read", "sql": READ_SQL, "parameters": [[1]] })
                .to_string(),
            ..base
        },
        Case {
            name: "oversize body",
            body: "x".repeat(2 * 1024 * 1024),
            status: 413,
            code: "body-too-large",
            ..base
        },
        Case {
            name: "write under a class that reads",
            body: json!({ "class": "orders.read", "sql": WRITE_SQL, "parameters": ["a", "b"] })
                .to_string(),
            ..base
        },
        Case {
            name: "transaction control",
            body: json!({ "class": "orders.write", "sql": "COMMIT" }).to_string(),
            ..base
        },
        Case {
            name: "malformed transaction",
            path: "/v1/transactions/zz/commit",
            body: json!({ "class": "orders.write" }).to_string(),
            ..base
        },
        Case {
            name: "unknown transaction",
            path: "/v1/transactions/1-2-3/commit",
            body: json!({ "class": "orders.write" }).to_string(),
            status: 503,
            code: "home-unreachable",
            ..base
        },
    ];
    for case in cases {
        let client = raw_client(&fleet, 0);
        let answer = client.post(case.path, case.key, case.token, case.body).await;
        assert_eq!(answer.status, case.status, "{}: {}", case.name, answer.body);
        assert_eq!(answer.body["code"], case.code, "{}", case.name);
        assert_eq!(answer.body["verdict"], "not-run", "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_rejected_on_open_connection_and_in_open_transaction() {
    let fleet = small_fleet().await;
    let key = fleet.profile.api_key("rye");
    let client = raw_client(&fleet, 0);
    let control = json!({ "class": "orders.write" }).to_string();
    let begun = client.post("/v1/transactions", Some(&key), None, control.clone()).await;
    assert_eq!(begun.status, 200, "{}", begun.body);
    let transaction = begun.body["transaction"].as_str().expect("an identifier").to_owned();

    let section = fleet.profile.workspaces_without_key("rye");
    fleet.publish("workspaces", section).await.expect("the withdrawal is accepted");

    let mut last = Value::Null;
    for _ in 0..MAX_POLLS {
        let answer =
            client.post("/v1/statements", Some(&key), None, read_body("orders.read")).await;
        last = answer.body;
        if last["code"] == "key-rejected" {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(last["code"], "key-rejected", "{last}");
    let path = format!("/v1/transactions/{transaction}/statements");
    let body = json!({ "class": "orders.write", "sql": WRITE_SQL, "parameters": ["loaf", "dark"] });
    let refused = client.post(&path, Some(&key), None, body.to_string()).await;
    assert_eq!(refused.body["code"], "key-rejected");
    for group in &fleet.groups {
        assert!(group.changes(0).is_empty(), "nothing of the transaction was applied");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_dead_database_has_not_run_and_gets_retry_time() {
    let fleet = small_fleet().await;
    let key = fleet.profile.api_key("rye");
    let client = raw_client(&fleet, 0);
    for ordinal in 0..3 {
        fleet.groups[0].kill(ordinal);
    }
    let body = json!({ "class": "orders.write", "sql": WRITE_SQL, "parameters": ["loaf", "dark"], "deadline_ms": 500 });
    let mut last = Value::Null;
    for _ in 0..MAX_POLLS {
        let answer = client.post("/v1/statements", Some(&key), None, body.to_string()).await;
        assert_ne!(answer.status, 200, "no instance lives: {}", answer.body);
        last = answer.body;
        if last["verdict"] == "not-run" {
            break;
        }
    }
    assert_eq!(last["verdict"], "not-run", "{last}");
    assert!(last["retry_after_ms"].is_u64(), "{last}");
}

#[tokio::test(flavor = "multi_thread")]
async fn upstreams_never_receive_api_keys() {
    let fleet = small_fleet().await;
    let key = fleet.profile.api_key("rye");
    for group in &fleet.groups {
        (0..3).for_each(|ordinal| group.relay(ordinal).count_matches(key.clone()));
    }
    let client = raw_client(&fleet, 0);
    let body = json!({ "class": "orders.write", "sql": WRITE_SQL, "parameters": ["loaf", "dark"] });
    for body in [body.to_string(), read_body("orders.read")] {
        let answer = client.post_within_rate("/v1/statements", &key, &body).await;
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    let match_count: u64 = fleet
        .groups
        .iter()
        .flat_map(|group| (0..3).map(|ordinal| group.relay(ordinal).match_count()))
        .sum();
    assert_eq!(match_count, 0);
}

//! Tests of the commands `status`, `drain`, `events` and `explain` against a peer server that
//! replies as an agent does.

use std::net::SocketAddr;

use oleander_core::events::Event;
use oleander_core::places::Place;
use oleander_ctl::errors::Exit;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server;
use oleander_peer::server::Incoming;
use oleander_peer::traffic::Traffic;
use oleander_runtime::clock::Clock;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use oleander_standin::store::Store;
use oleander_store::registration;
use oleander_store::registration::Registration;
use oleander_store::store::Store as StoreClient;
use oleander_store::store::StoreOptions;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::support::run;

/// `Process` is a peer server with one recorded event; it stops when the value is dropped.
struct Process {
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

async fn start_process() -> Process {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let journal = Journal::new("agent/vm-1", Clock::new());
    journal.record(Event::ShareMoved, &[Field::text("to", "vm-2"), Field::number("share", 7_u64)]);
    let answer = move |incoming: Incoming| {
        let reply = match incoming.request {
            Request::Status => Reply::Status(json!({"revision": 4}).to_string()),
            Request::Events => Reply::Events(journal.recent_json()),
            Request::Drain => Reply::Accepted,
            _ => Reply::Unsupported,
        };
        async move {
            let _ = incoming.responder.send(reply).await;
        }
    };
    tokio::spawn(server::serve(listener, stopped, Traffic::default(), answer));
    Process { address, _stop: stop }
}

async fn register(store: &Store, process: &Process) {
    let endpoints = vec![format!("http://{}", store.address())];
    let client = StoreClient::new(StoreOptions { endpoints, ..StoreOptions::default() });
    let own = Registration {
        name: "vm-1".to_owned(),
        place: Place::default(),
        agent: process.address,
        proxy: process.address,
        life: 1,
    };
    registration::register(&client, &own).await.unwrap();
}

#[tokio::test]
async fn status_queries_the_agent_and_proxy_of_registered_vms() {
    let store = Store::start().await.unwrap();
    let process = start_process().await;
    register(&store, &process).await;
    let status = run(&store, &["status"]).await.unwrap();
    assert_eq!(status.json["processes"]["vm-1/agent"]["revision"], 4);
    assert_eq!(status.json["processes"]["vm-1/proxy"]["revision"], 4);
}

#[tokio::test]
async fn drain_reaches_a_registered_vm_and_rejects_an_unknown_one() {
    let store = Store::start().await.unwrap();
    let process = start_process().await;
    register(&store, &process).await;
    assert_eq!(run(&store, &["drain", "vm-1"]).await.unwrap().text, "vm-1 drains");
    assert_eq!(run(&store, &["drain", "vm-2"]).await.unwrap_err().exit_code(), Exit::Usage);
}

#[tokio::test]
async fn events_are_selected_by_number_and_by_field_value() {
    let store = Store::start().await.unwrap();
    let process = start_process().await;
    let peer = process.address.to_string();
    for (words, expected) in [
        (vec!["events"], 1),
        (vec!["events", "--number", "302"], 1),
        (vec!["events", "--number", "303"], 0),
        (vec!["explain", "vm-2"], 1),
        (vec!["explain", "7"], 1),
        (vec!["explain", "vm-3"], 0),
    ] {
        let line: Vec<&str> = ["--peer", &peer].into_iter().chain(words).collect();
        let answer = run(&store, &line).await.unwrap();
        assert_eq!(answer.json["events"].as_array().unwrap().len(), expected, "{line:?}");
    }
}

#[tokio::test]
async fn an_unreachable_process_is_listed_as_silent() {
    let store = Store::start().await.unwrap();
    let peer = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap().to_string();
    let answer = run(&store, &["--peer", &peer, "events"]).await.unwrap();
    assert!(answer.json["silent"][&peer].is_string());
}

#[tokio::test]
async fn explain_describes_an_event_by_number_or_name() {
    let store = Store::start().await.unwrap();
    for subject in ["405", "primary-promoted"] {
        let answer = run(&store, &["explain", subject]).await.unwrap();
        assert_eq!(answer.json["number"], 405);
        assert!(answer.text.contains("A new primary took office."));
    }
}

//! Tests of peer calls over TCP sockets on the loopback address.

use std::net::SocketAddr;
use std::sync::Arc;

use oleander_core::time::Span;
use oleander_core::verdict::Verdict;
use oleander_peer::client::PeerClient;
use oleander_peer::codec;
use oleander_peer::connection::ConnectionOptions;
use oleander_peer::errors::Error;
use oleander_peer::messages::ProxyReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server;
use oleander_peer::server::Incoming;
use oleander_peer::traffic::Count;
use oleander_peer::traffic::Side;
use oleander_peer::traffic::Traffic;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;

/// A call limit that is never reached unless a test fails.
const LIMIT: Span = Span::from_secs(20);

struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
    entered: Arc<Notify>,
    left: Arc<Notify>,
    release: Arc<Notify>,
    traffic: Traffic,
}

/// Starts a server that answers `Report` at once, `Status` after `release` is notified, and other
/// requests with two replies. `entered` and `left` are notified when the handler of `Status` starts
/// and ends.
async fn start_server() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (stop, stopped) = watch::channel(false);
    let [entered, left, release] = [(); 3].map(|()| Arc::new(Notify::new()));
    let signals = (entered.clone(), left.clone(), release.clone());
    let traffic = Traffic::default();
    let task = tokio::spawn(server::serve(listener, stopped, traffic.clone(), move |incoming| {
        answer(incoming, signals.clone())
    }));
    Server { address, stop, task, entered, left, release, traffic }
}

async fn answer(
    incoming: Incoming,
    (entered, left, release): (Arc<Notify>, Arc<Notify>, Arc<Notify>),
) {
    match incoming.request {
        Request::Report(ProxyReport { open, .. }) => {
            let _ = incoming.responder.send(number(open)).await;
        }
        Request::Status => {
            let _notify = NotifyOnDrop(left);
            entered.notify_one();
            release.notified().await;
            let _ = incoming.responder.send(Reply::Status("{}".to_owned())).await;
        }
        _ => {
            let _ = incoming.responder.send(Reply::Accepted).await;
            let _ = incoming.responder.send(Reply::Unsupported).await;
        }
    }
}

struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

fn report(open: u64) -> Request {
    Request::Report(ProxyReport { open, ..ProxyReport::default() })
}

fn number(open: u64) -> Reply {
    Reply::Status(open.to_string())
}

#[tokio::test]
async fn each_of_many_calls_at_once_gets_its_own_reply() {
    let server = start_server().await;
    let client = PeerClient::default();
    let calls = (0..200).map(|count| {
        let client = client.clone();
        let address = server.address;
        async move { (count, client.call(address, &report(count), LIMIT).await) }
    });
    for (count, reply) in futures::future::join_all(calls).await {
        assert_eq!(reply, Ok(number(count)));
    }
}

/// Guards against counters by which an operator would look for the cause of a fleet's traffic at the
/// wrong VM or kind of message.
#[tokio::test]
async fn both_sides_count_the_same_messages_and_bytes() {
    let server = start_server().await;
    let client = PeerClient::default();
    for count in 0..3 {
        client.call(server.address, &report(count), LIMIT).await.expect("a reply");
    }
    let reply = number(0);
    let count = Count {
        calls: 3,
        requested: 3 * codec::encode(&report(0)).expect("a short message").len() as u64,
        replied: 3 * codec::encode(&reply).expect("a short message").len() as u64,
    };
    assert_eq!(client.traffic().counts(), [("report", Side::Client, count)]);
    assert_eq!(server.traffic.counts(), [("report", Side::Server, count)]);
}

#[tokio::test]
async fn a_subscription_yields_all_replies_and_ends() {
    let server = start_server().await;
    let mut replies =
        PeerClient::default().subscribe(server.address, &Request::Events).await.expect("a stream");
    assert_eq!(replies.next().await, Ok(Some(Reply::Accepted)));
    assert_eq!(replies.next().await, Ok(Some(Reply::Unsupported)));
    assert_eq!(replies.next().await, Ok(None));
}

#[tokio::test]
async fn a_dropped_call_cancels_the_work_at_the_peer() {
    let server = start_server().await;
    let client = PeerClient::default();
    tokio::select! {
        _ = client.call(server.address, &Request::Status, LIMIT) => panic!("the peer never answers"),
        () = server.entered.notified() => {}
    }
    // Nothing but the reset of the stream can end the handler.
    server.left.notified().await;
}

#[tokio::test]
async fn a_graceful_stop_lets_open_calls_finish() {
    let server = start_server().await;
    let client = PeerClient::default();
    let call = {
        let client = client.clone();
        tokio::spawn(async move { client.call(server.address, &Request::Status, LIMIT).await })
    };
    server.entered.notified().await;
    server.stop.send_replace(true);
    server.release.notify_one();
    assert_eq!(call.await.expect("the call ends"), Ok(Reply::Status("{}".to_owned())));
    server.task.await.expect("the server ends");
    let late =
        client.call(server.address, &report(1), LIMIT).await.expect_err("the server has gone");
    assert_eq!(late.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn a_call_over_a_refused_connection_has_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let error =
        PeerClient::default().call(address, &report(1), LIMIT).await.expect_err("nothing listens");
    assert!(matches!(error, Error::Connect(_)));
    assert_eq!(error.verdict(), Verdict::NotRun);
}

#[tokio::test]
async fn a_malformed_connection_does_not_affect_other_connections() {
    let server = start_server().await;
    let mut socket = TcpStream::connect(server.address).await.expect("the server listens");
    socket.write_all(&[0xff; 4_096]).await.expect("the socket takes the bytes");
    let reply = PeerClient::default().call(server.address, &report(5), LIMIT).await;
    assert_eq!(reply, Ok(number(5)));
}

/// Starts a forwarder to `target`. Each value sent through the returned channel makes the
/// connections that are open at the time stop forwarding; connections opened later work again.
async fn start_forwarder(target: SocketAddr) -> (SocketAddr, watch::Sender<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (silence, silenced) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(target).await.expect("the target listens");
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound) => return,
                    _ = silenced.changed() => {}
                }
                // Keeps both sockets open without reading, as when a NAT or firewall drops its entry
                // for the connection.
                std::future::pending::<()>().await;
            });
        }
    });
    (address, silence)
}

#[tokio::test]
async fn a_silent_connection_is_closed_and_a_new_one_works() {
    let server = start_server().await;
    let (address, silence) = start_forwarder(server.address).await;
    let options = ConnectionOptions {
        ping_interval: Span::from_millis(20),
        idle_interval: Span::from_millis(20),
        ping_timeout: Span::from_millis(200),
        ..ConnectionOptions::default()
    };
    let client = PeerClient::new(options);
    client.call(address, &report(1), LIMIT).await.expect("the forwarder forwards");
    let open = {
        let client = client.clone();
        tokio::spawn(async move { client.call(address, &Request::Status, LIMIT).await })
    };
    server.entered.notified().await;
    silence.send_replace(1);
    let error = open.await.expect("the call ends").expect_err("the connection is silent");
    assert!(
        matches!(error, Error::Lost(_)),
        "closed by the ping, long before the deadline: {error}"
    );
    assert_eq!(error.verdict(), Verdict::MayHaveRun);
    let reply = client.call(address, &report(2), LIMIT).await;
    assert_eq!(reply, Ok(number(2)));
}

/// The pattern is a fleet whose VMs all call each other once, when they join: as many connections as
/// pairs stayed open, each with its pings and wake-ups.
#[tokio::test]
async fn an_idle_connection_is_closed_and_the_next_call_opens_another() {
    let server = start_server().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (opened, mut count) = watch::channel(0);
    let (closed, mut ended) = watch::channel(0);
    let target = server.address;
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            opened.send_modify(|opened| *opened += 1);
            let closed = closed.clone();
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(target).await.expect("the target listens");
                let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
                closed.send_modify(|closed| *closed += 1);
            });
        }
    });
    let options = ConnectionOptions {
        ping_interval: Span::from_millis(20),
        idle_limit: Span::from_millis(100),
        ..ConnectionOptions::default()
    };
    let client = PeerClient::new(options);
    for call in 1..=3 {
        assert_eq!(client.call(address, &report(call), LIMIT).await, Ok(number(call)));
    }
    assert_eq!(*count.borrow_and_update(), 1, "calls share a connection");
    ended.wait_for(|ended| *ended == 1).await.expect("the idle connection ends");
    // A call that takes longer than the idle limit keeps its connection.
    let open = {
        let client = client.clone();
        tokio::spawn(async move { client.call(address, &Request::Status, LIMIT).await })
    };
    server.entered.notified().await;
    tokio::time::sleep(Span::from_millis(300).duration()).await;
    server.release.notify_one();
    assert_eq!(open.await.expect("the call ends"), Ok(Reply::Status("{}".to_owned())));
    assert_eq!(*count.borrow_and_update(), 2);
}

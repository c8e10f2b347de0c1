//! Probes of the peer protocol: bytes and processor time of a call, and the cost of an open
//! connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oleander_core::time::Span;
use oleander_peer::client::PeerClient;
use oleander_peer::connection::ConnectionOptions;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::server;
use oleander_peer::server::Incoming;
use oleander_peer::traffic::Traffic;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::capacity::line::Axis;
use crate::capacity::line::Series;
use crate::capacity::measure::processor_seconds;
use crate::capacity::measure::resident_bytes;

/// The measured sizes of a reply's body, in bytes.
const REPLY_SIZES: [u16; 3] = [64, 512, 4_096];

/// The number of calls whose bytes are counted.
const COUNTED_CALLS: u32 = 200;

/// The number of calls whose processor time is measured.
const TIMED_CALLS: u32 = 20_000;

/// The measured numbers of peers with an open connection.
const PEER_COUNTS: [u16; 3] = [50, 100, 200];

/// The timeout of a call.
const CALL_TIMEOUT: Span = Span::from_secs(10);

/// The ping interval of the idle connection whose pings are counted; shorter than the default so
/// that many fall into `IDLE_PERIOD`.
const PING_INTERVAL: Span = Span::from_millis(50);

/// The time over which the pings of the idle connection are counted.
const IDLE_PERIOD: Duration = Duration::from_secs(2);

/// The series of the bytes of a call.
pub const CALL_BYTES: &str = "peer: bytes on a connection of a call";
/// The series of the processor time of a call.
pub const CALL_TIME: &str = "peer: processor time of a call, both ends, us";
/// The series of the memory of open connections.
pub const MEMORY: &str = "peer: memory of connections to all peers, both ends, bytes";
/// The series of the bytes of a ping on an idle connection.
pub const IDLE_BYTES: &str = "peer: bytes of an idle connection's ping";

/// Measures calls and connections over the loopback interface. Returns no series if the sockets
/// cannot be set up or a call fails.
pub fn measure() -> Vec<Series> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    // Without a runtime nothing can be measured.
    let Ok(runtime) = runtime else { return Vec::new() };
    runtime.block_on(measure_all()).unwrap_or_default()
}

async fn measure_all() -> std::io::Result<Vec<Series>> {
    let memory = connection_memory().await?;
    let mut bytes = Series::new(CALL_BYTES, Axis::Bytes);
    let mut time = Series::new(CALL_TIME, Axis::Bytes);
    for size in REPLY_SIZES {
        bytes.push(size, call_bytes(size).await?);
        time.push(size, call_micros(size).await?);
    }
    let mut idle = Series::new(IDLE_BYTES, Axis::Peers);
    idle.push(1_u16, ping_bytes().await?);
    Ok(vec![bytes, time, memory, idle])
}

/// `Peer` is a peer server, which stops when dropped.
struct Peer {
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// Starts a peer server whose replies have a body of `size` bytes.
async fn start_peer(size: u16) -> std::io::Result<Peer> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let answer = move |incoming: Incoming| async move {
        let reply = Reply::Status("x".repeat(usize::from(size)));
        let _ = incoming.responder.send(reply).await;
    };
    tokio::spawn(server::serve(listener, stopped, Traffic::default(), answer));
    Ok(Peer { address, _stop: stop })
}

/// Returns the bytes of a call on its connection, in both directions together.
async fn call_bytes(size: u16) -> std::io::Result<f64> {
    let peer = start_peer(size).await?;
    let relay = start_relay(peer.address).await?;
    let client = PeerClient::default();
    // The first calls also open the connection, so they are not counted.
    call(&client, relay.address, 20).await?;
    let before = relay.bytes.load(Ordering::SeqCst);
    call(&client, relay.address, COUNTED_CALLS).await?;
    let after = relay.bytes.load(Ordering::SeqCst);
    Ok((after - before) as f64 / f64::from(COUNTED_CALLS))
}

/// Returns the processor time that both ends of a call use, in microseconds.
async fn call_micros(size: u16) -> std::io::Result<f64> {
    let peer = start_peer(size).await?;
    let client = PeerClient::default();
    call(&client, peer.address, 1_000).await?;
    let before = processor_seconds();
    call(&client, peer.address, TIMED_CALLS).await?;
    Ok((processor_seconds() - before) * 1e6 / f64::from(TIMED_CALLS))
}

/// Opens connections to an increasing number of peers and measures the memory of both ends.
async fn connection_memory() -> std::io::Result<Series> {
    let mut series = Series::new(MEMORY, Axis::Peers);
    let mut peers = Vec::new();
    let client = PeerClient::default();
    let before = resident_bytes();
    for size in PEER_COUNTS {
        while peers.len() < usize::from(size) {
            let peer = start_peer(64).await?;
            call(&client, peer.address, 2).await?;
            peers.push(peer);
        }
        series.push(size, resident_bytes() - before);
    }
    Ok(series)
}

/// Returns the bytes of a ping and its answer on an idle connection.
async fn ping_bytes() -> std::io::Result<f64> {
    let peer = start_peer(64).await?;
    let relay = start_relay(peer.address).await?;
    let options =
        ConnectionOptions { idle_interval: PING_INTERVAL, ..ConnectionOptions::default() };
    let client = PeerClient::new(options);
    call(&client, relay.address, 1).await?;
    tokio::time::sleep(IDLE_PERIOD / 4).await;
    let (before, chunks) =
        (relay.bytes.load(Ordering::SeqCst), relay.chunks.load(Ordering::SeqCst));
    tokio::time::sleep(IDLE_PERIOD).await;
    let bytes = relay.bytes.load(Ordering::SeqCst) - before;
    // A ping and its answer are one chunk in each direction.
    let pings = (relay.chunks.load(Ordering::SeqCst) - chunks) / 2;
    Ok(bytes as f64 / pings.max(1) as f64)
}

/// Makes `count` calls, one after the other.
async fn call(client: &PeerClient, address: SocketAddr, count: u32) -> std::io::Result<()> {
    for _ in 0..count {
        let reply = client.call(address, &Request::Status, CALL_TIMEOUT).await;
        reply.map_err(std::io::Error::other)?;
    }
    Ok(())
}

/// `Relay` forwards connections and counts their bytes and chunks in both directions.
struct Relay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    chunks: Arc<AtomicU64>,
}

async fn start_relay(target: SocketAddr) -> std::io::Result<Relay> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let (bytes, chunks) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    let relay = Relay { address, bytes: bytes.clone(), chunks: chunks.clone() };
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else { continue };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(forward(client_read, server_write, bytes.clone(), chunks.clone()));
            tokio::spawn(forward(server_read, client_write, bytes.clone(), chunks.clone()));
        }
    });
    Ok(relay)
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    bytes: Arc<AtomicU64>,
    chunks: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        bytes.fetch_add(length as u64, Ordering::SeqCst);
        chunks.fetch_add(1, Ordering::SeqCst);
    }
}

//! A TCP relay in front of a stand-in that injects network faults.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The maximum number of bytes that are read and forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// `Passage` is the mode in which a relay handles connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Passage {
    /// Bytes are forwarded in both directions.
    #[default]
    Open,
    /// Open connections are closed, and new ones as soon as they are accepted.
    Refuse,
    /// Connections are accepted, but no byte is forwarded until the mode is `Open` again.
    Silent,
}

/// `FaultRelay` is a running TCP relay with an address of its own. Dropping it closes its
/// connections.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl FaultRelay {
    /// Listens on a free port of 127.0.0.1 and relays each connection to `target`.
    ///
    /// # Errors
    /// Returns the error of the operating system if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&shared)));
        Ok(Self { address, shared, task })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode for open and new connections.
    pub fn set_passage(&self, passage: Passage) {
        self.shared.rules.send_modify(|rules| rules.passage = passage);
    }

    /// Sets the delay of each chunk of bytes, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.rules.send_modify(|rules| rules.delay = delay);
    }

    /// Stops forwarding on the connections that are open now, for as long as they stay open; new
    /// ones work.
    pub fn silence_established(&self) {
        let serial = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.rules.send_modify(|rules| rules.silenced_below = serial);
    }

    /// Closes the connections that are open now; new ones work.
    pub fn close_established(&self) {
        let serial = self.shared.accepted.load(Ordering::SeqCst);
        self.shared.rules.send_modify(|rules| rules.closed_below = serial);
    }

    /// Drops the answers to the next `count` requests that contain `pattern`, in place of any
    /// earlier pattern. Each request is forwarded and takes effect, but its connection is closed
    /// instead of relaying the answer.
    pub fn lose_answers(&self, pattern: impl Into<Vec<u8>>, count: u64) {
        *lock(&self.shared.answer_loss) = Some(AnswerLoss { pattern: pattern.into(), count });
    }

    /// Counts the chunks from callers that contain `pattern` from now on, in place of any earlier
    /// pattern; an empty pattern matches nothing. A pattern split over two chunks is missed.
    pub fn count_matches(&self, pattern: impl Into<Vec<u8>>) {
        *lock(&self.shared.match_pattern) = pattern.into();
    }

    /// Returns the number of chunks counted by `count_matches`, for all patterns together.
    pub fn match_count(&self) -> u64 {
        self.shared.match_count.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes forwarded so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.rules.send_modify(|rules| rules.closed_below = u64::MAX);
    }
}

/// Locks a mutex and ignores poisoning; its holders never panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// `Rules` are the faults in force. Connections are numbered from 0 in the order of acceptance.
#[derive(Clone, Copy, Debug, Default)]
struct Rules {
    passage: Passage,
    delay: Duration,
    /// Connections with a lower serial number forward nothing.
    silenced_below: u64,
    /// Connections with a lower serial number are closed.
    closed_below: u64,
}

/// `AnswerLoss` selects the requests whose answers are dropped.
#[derive(Debug)]
struct AnswerLoss {
    pattern: Vec<u8>,
    /// The number of answers still to be dropped.
    count: u64,
}

#[derive(Debug)]
struct Shared {
    rules: watch::Sender<Rules>,
    accepted: AtomicU64,
    bytes: AtomicU64,
    answer_loss: Mutex<Option<AnswerLoss>>,
    match_pattern: Mutex<Vec<u8>>,
    match_count: AtomicU64,
}

impl Shared {
    fn new() -> Self {
        Self {
            rules: watch::Sender::new(Rules::default()),
            accepted: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            answer_loss: Mutex::new(None),
            match_pattern: Mutex::new(Vec::new()),
            match_count: AtomicU64::new(0),
        }
    }

    /// Returns `true` if the answer to this request is to be dropped, and decrements the count.
    fn loses_answer(&self, request: &[u8]) -> bool {
        let mut answer_loss = lock(&self.answer_loss);
        let Some(loss) = answer_loss.as_mut() else { return false };
        if loss.count == 0 || !contains(request, &loss.pattern) {
            return false;
        }
        loss.count -= 1;
        true
    }

    /// Increments `match_count` if the request contains the pattern.
    fn count_match(&self, request: &[u8]) {
        let match_pattern = lock(&self.match_pattern);
        if !match_pattern.is_empty() && contains(request, &match_pattern) {
            self.match_count.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn contains(text: &[u8], pattern: &[u8]) -> bool {
    !pattern.is_empty() && text.windows(pattern.len()).any(|window| window == pattern)
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        let serial = shared.accepted.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(relay_connection(caller, target, serial, Arc::clone(&shared)));
    }
}

async fn relay_connection(caller: TcpStream, target: SocketAddr, serial: u64, shared: Arc<Shared>) {
    let mut connection = ConnectionRules { serial, rules: shared.rules.subscribe() };
    if connection.wait_open().await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_in, caller_out) = caller.into_split();
    let (server_in, server_out) = server.into_split();
    let answer_lost = Arc::new(AtomicBool::new(false));
    let requests = forward_requests(
        caller_in,
        server_out,
        connection.clone(),
        Arc::clone(&shared),
        Arc::clone(&answer_lost),
    );
    let answers = forward_answers(
        server_in,
        caller_out,
        connection.clone(),
        Arc::clone(&shared),
        answer_lost,
    );
    // The connection ends with either direction, or when a rule closes it.
    tokio::select! {
        () = requests => {}
        () = answers => {}
        () = connection.wait_closed() => {}
    }
}

async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut connection: ConnectionRules,
    shared: Arc<Shared>,
    answer_lost: Arc<AtomicBool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 || connection.wait_open().await.is_err() {
            return;
        }
        shared.count_match(&chunk[..length]);
        shared.bytes.fetch_add(length as u64, Ordering::SeqCst);
        if shared.loses_answer(&chunk[..length]) {
            answer_lost.store(true, Ordering::SeqCst);
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

async fn forward_answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut connection: ConnectionRules,
    shared: Arc<Shared>,
    answer_lost: Arc<AtomicBool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        let lost = answer_lost.load(Ordering::SeqCst);
        if length == 0 || lost || connection.wait_open().await.is_err() {
            return;
        }
        shared.bytes.fetch_add(length as u64, Ordering::SeqCst);
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

/// `ConnectionRules` applies the rules to one connection.
#[derive(Clone, Debug)]
struct ConnectionRules {
    serial: u64,
    rules: watch::Receiver<Rules>,
}

/// `Closed` is the error of waiting on a connection that is to be closed.
#[derive(Debug)]
struct Closed;

impl ConnectionRules {
    /// Waits until the rules allow forwarding, and then for the configured delay.
    async fn wait_open(&mut self) -> Result<(), Closed> {
        loop {
            let rules = *self.rules.borrow_and_update();
            if self.is_closed(rules) {
                return Err(Closed);
            }
            if rules.passage == Passage::Open && rules.silenced_below <= self.serial {
                return self.pause(rules.delay).await;
            }
            self.rules.changed().await.map_err(|_| Closed)?;
        }
    }

    async fn pause(&self, delay: Duration) -> Result<(), Closed> {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }

    /// Waits until a rule closes the connection.
    async fn wait_closed(&mut self) {
        loop {
            let rules = *self.rules.borrow_and_update();
            if self.is_closed(rules) || self.rules.changed().await.is_err() {
                return;
            }
        }
    }

    fn is_closed(&self, rules: Rules) -> bool {
        rules.passage == Passage::Refuse || self.serial < rules.closed_below
    }
}

//! A TCP relay in front of a stand-in, with the faults of a network.

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

/// The number of bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// `Passage` says what the relay does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Passage {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// New connections are closed at once and open ones are cut.
    Refuse,
    /// Connections are accepted and no byte is forwarded until the passage opens again.
    Silent,
}

/// `FaultRelay` is a relay on an address of its own, with fault switches.
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
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&shared)));
        Ok(Self { address, shared, task })
    }

    /// Gets the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections from now on.
    pub fn set_passage(&self, passage: Passage) {
        self.shared.rules.send_modify(|rules| rules.passage = passage);
    }

    /// Delays each chunk of bytes, in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.rules.send_modify(|rules| rules.delay = delay);
    }

    /// Silences the connections that are open now for good; new ones work.
    pub fn silence_established(&self) {
        let serial = self.shared.opened.load(Ordering::SeqCst);
        self.shared.rules.send_modify(|rules| rules.silent_below = serial);
    }

    /// Closes the connections that are open now; new ones work.
    pub fn cut_established(&self) {
        let serial = self.shared.opened.load(Ordering::SeqCst);
        self.shared.rules.send_modify(|rules| rules.cut_below = serial);
    }

    /// Loses the answers to the next `count` requests that contain `pattern`:
    /// each takes effect, then its connection is closed without an answer.
    pub fn lose_answers(&self, pattern: impl Into<Vec<u8>>, count: u64) {
        *lock(&self.shared.lose) = Some(Loss { pattern: pattern.into(), count });
    }

    /// Counts requests that contain `text` from now on, in place of any earlier text.
    pub fn count_matches(&self, text: impl Into<Vec<u8>>) {
        *lock(&self.shared.forbidden) = text.into();
    }

    /// Gets how often the watched text has arrived.
    pub fn match_count(&self) -> u64 {
        self.shared.match_count.load(Ordering::SeqCst)
    }

    /// Gets the number of bytes that were forwarded so far, both directions together.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }

    /// Gets the number of connections that were ever accepted.
    pub fn accepted(&self) -> u64 {
        self.shared.opened.load(Ordering::SeqCst)
    }
}

impl Drop for FaultRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.shared.rules.send_modify(|rules| rules.cut_below = u64::MAX);
    }
}

/// Locks a mutex whose holders never panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, Default)]
struct Rules {
    passage: Passage,
    delay: Duration,
    silent_below: u64,
    cut_below: u64,
}

#[derive(Debug)]
struct Loss {
    pattern: Vec<u8>,
    count: u64,
}

#[derive(Debug)]
struct Shared {
    rules: watch::Sender<Rules>,
    opened: AtomicU64,
    bytes: AtomicU64,
    lose: Mutex<Option<Loss>>,
    forbidden: Mutex<Vec<u8>>,
    match_count: AtomicU64,
}

impl Shared {
    fn new() -> Self {
        Self {
            rules: watch::Sender::new(Rules::default()),
            opened: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            lose: Mutex::new(None),
            forbidden: Mutex::new(Vec::new()),
            match_count: AtomicU64::new(0),
        }
    }

    /// Returns `true` if the answer to this request is to be lost.
    fn takes_loss(&self, request: &[u8]) -> bool {
        let mut lose = lock(&self.lose);
        let Some(loss) = lose.as_mut() else { return false };
        if loss.count == 0 || !contains(request, &loss.pattern) {
            return false;
        }
        loss.count -= 1;
        true
    }

    fn count_sighting(&self, request: &[u8]) {
        let forbidden = lock(&self.forbidden);
        if !forbidden.is_empty() && contains(request, &forbidden) {
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
        let serial = shared.opened.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(relay_connection(caller, target, serial, Arc::clone(&shared)));
    }
}

async fn relay_connection(caller: TcpStream, target: SocketAddr, serial: u64, shared: Arc<Shared>) {
    let mut link = Link { serial, rules: shared.rules.subscribe() };
    if link.may_pass().await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_in, caller_out) = caller.into_split();
    let (server_in, server_out) = server.into_split();
    let doomed = Arc::new(AtomicBool::new(false));
    let requests = forward_requests(
        caller_in,
        server_out,
        link.clone(),
        Arc::clone(&shared),
        Arc::clone(&doomed),
    );
    let answers = forward_answers(server_in, caller_out, link.clone(), Arc::clone(&shared), doomed);
    // The end of either direction, or a cut, ends the connection.
    tokio::select! {
        () = requests => {}
        () = answers => {}
        () = link.closed() => {}
    }
}

async fn forward_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: Link,
    shared: Arc<Shared>,
    doomed: Arc<AtomicBool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if length == 0 || link.may_pass().await.is_err() {
            return;
        }
        shared.count_sighting(&chunk[..length]);
        shared.bytes.fetch_add(length as u64, Ordering::SeqCst);
        if shared.takes_loss(&chunk[..length]) {
            doomed.store(true, Ordering::SeqCst);
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

async fn forward_answers(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: Link,
    shared: Arc<Shared>,
    doomed: Arc<AtomicBool>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        let lost = doomed.load(Ordering::SeqCst);
        if length == 0 || lost || link.may_pass().await.is_err() {
            return;
        }
        shared.bytes.fetch_add(length as u64, Ordering::SeqCst);
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

/// `Link` is one connection's sight of the rules.
#[derive(Clone, Debug)]
struct Link {
    serial: u64,
    rules: watch::Receiver<Rules>,
}

/// `Cut` says that the connection is to be closed.
#[derive(Debug)]
struct Cut;

impl Link {
    /// Waits until bytes may pass.
    async fn may_pass(&mut self) -> Result<(), Cut> {
        loop {
            let rules = *self.rules.borrow_and_update();
            if self.is_cut(rules) {
                return Err(Cut);
            }
            if rules.passage == Passage::Open && rules.silent_below <= self.serial {
                return self.pause(rules.delay).await;
            }
            self.rules.changed().await.map_err(|_| Cut)?;
        }
    }

    async fn pause(&self, delay: Duration) -> Result<(), Cut> {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Ok(())
    }

    /// Waits until the connection is cut.
    async fn closed(&mut self) {
        loop {
            let rules = *self.rules.borrow_and_update();
            if self.is_cut(rules) || self.rules.changed().await.is_err() {
                return;
            }
        }
    }

    fn is_cut(&self, rules: Rules) -> bool {
        rules.passage == Passage::Refuse || self.serial < rules.cut_below
    }
}

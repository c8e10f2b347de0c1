//! A probe of the memory that a proxy needs for open client connections.

use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;

use oleander_core::time::Span;
use oleander_proxy::running::RunningProxy;
use oleander_proxy::settings::ProxySettings;
use oleander_runtime::clock::Clock;
use oleander_runtime::metrics::Metrics;
use oleander_runtime::timer::TimerService;

use crate::capacity::line::Axis;
use crate::capacity::line::Series;
use crate::capacity::measure::resident_bytes;

/// The measured numbers of connections.
const CONNECTION_COUNTS: [u16; 3] = [500, 1_000, 2_000];

/// The series of the memory of client connections.
pub const MEMORY: &str = "entry: memory of callers' connections, bytes";

/// Opens connections to a proxy and measures the memory of the process. Returns no series if the
/// proxy cannot start, and ends it early if no more connections can be opened.
pub fn measure() -> Vec<Series> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let Ok(runtime) = runtime else { return Vec::new() };
    let proxy = runtime.block_on(async {
        let timers = TimerService::start(Clock::new());
        RunningProxy::start(settings(), Metrics::local(), timers).await
    });
    let Ok(proxy) = proxy else { return Vec::new() };
    let series = open_all(proxy.callers);
    runtime.block_on(proxy.stop());
    vec![series]
}

fn open_all(address: SocketAddr) -> Series {
    let mut series = Series::new(MEMORY, Axis::Connections);
    let mut open = Vec::with_capacity(usize::from(CONNECTION_COUNTS[2]));
    let before = resident_bytes();
    for size in CONNECTION_COUNTS {
        while open.len() < usize::from(size) {
            match connect(address) {
                Ok(stream) => open.push(stream),
                // The system allows no more connections, so the series ends here.
                Err(_) => return series,
            }
        }
        series.push(size, resident_bytes() - before);
    }
    series
}

/// Opens a connection and sends one request. The connection stays open after the answer.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: vm\r\n\r\n")?;
    let mut buffer = [0; 512];
    let length = stream.read(&mut buffer)?;
    if length == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(stream)
}

fn settings() -> ProxySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProxySettings {
        name: "vm-capacity".to_owned(),
        region: "region-0".to_owned(),
        zone: "zone-0".to_owned(),
        callers: any,
        peers: any,
        agent: SocketAddr::from(([127, 0, 0, 1], 1)),
        metrics: None,
        threads: 2,
        settle: Span::ZERO,
        drain: Span::from_millis(100),
    }
}

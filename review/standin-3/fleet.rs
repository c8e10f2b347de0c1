//! The program as separate processes, one for each VM, and callers.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt as _;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// The zones, each in a region of its own.
const ZONES: [(&str, &str); 3] = [("east", "coast"), ("west", "hills"), ("north", "delta")];

/// The port from which VMs take theirs: below those from which connections are opened.
const FIRST_PORT: u16 = 18_000;

/// The length from which on a row is not recorded itself.
const LONG_ROW: usize = 100;

/// `Vm` is one process of the program.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Vm {
    /// Writes the settings of a VM into `folder`, as the template of the deploy file gives them.
    pub fn new(number: usize, program: &Path, folder: &Path, platform: SocketAddr) -> Self {
        let (zone, region) = ZONES[number % ZONES.len()];
        let name = format!("vm-{zone}");
        let [peers, callers, ready, metrics] = [(); 4].map(|()| free_address());
        let zones = ZONES.map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).join(",");
        let text = format!(
            "node:\n  name: {name}\n  place:\n    zone: {zone}\n    region: {region}\n  \
             zones: {{{zones}}}\n  peers: {peers}\n  revocation: 5000ms\n  grace: 6s\n  \
             drain: 7000ms\n  lease: 1000ms\n  recovery: 12s\n  reports: 1200ms\n  cpu: 0.25\n  \
             fenced: true\ncallers: {callers}\nready: {ready}\nmetrics: {metrics}\n\
             store: {platform}\npromotions: {platform}\ncontracts: [\"base\",\"drain\",\"config\",\
             \"cost\",\"recover\",\"sql\",\"tenants\",\"quota\",\"platform\"]\n"
        );
        let settings = folder.join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name, callers, ready, program: program.to_owned(), settings, log, process: None }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(&self.program);
        command.arg("run").env("OLEANDERRUDDER_BOOT", &self.settings).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("the log can be shared")).stderr(log);
        let end_with_parent = || {
            // SAFETY: the call takes numbers alone and concerns the new process only.
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
            Ok(())
        };
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        self.process = Some(command.spawn().expect("the program starts"));
    }

    /// Returns the resident memory in bytes; 0 if the process has ended.
    pub fn memory(&self) -> u64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0);
        kilobytes * 1024
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns `true` if the readiness probe is answered with 200.
    pub fn is_ready(&self) -> bool {
        let probe = || {
            let mut stream = TcpStream::connect(self.ready).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            stream.write_all(request).ok()?;
            let mut text = String::new();
            stream.read_to_string(&mut text).ok()?;
            text.starts_with("HTTP/1.1 200").then_some(())
        };
        probe().is_some()
    }

    /// Waits until the VM is ready; returns `false` if it is not within 15 s.
    pub fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while !self.is_ready() {
            if Duration::from_secs(15) < started.elapsed() {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns an address whose port no connection takes by itself, so that it stays free while a process
/// is started again.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 200) as u16 * 50;
    loop {
        let port = FIRST_PORT + start + NEXT.fetch_add(1, Ordering::AcqRel);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// `Caller` is a session of a caller.
pub struct Caller {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a session; returns the answer if it is refused or broken off.
    pub fn open(address: SocketAddr, database: &str, key: &str) -> Result<Self, String> {
        let connect = || {
            let writer = TcpStream::connect(address)?;
            writer.set_nodelay(true)?;
            writer.set_read_timeout(Some(Duration::from_secs(10)))?;
            let reader = BufReader::new(writer.try_clone()?);
            Ok::<_, std::io::Error>(Self { writer, reader })
        };
        let mut caller = connect().map_err(|error| error.to_string())?;
        let message = format!("STARTUP {database} {key}").trim_end().to_owned() + "\r\n";
        caller.writer.write_all(message.as_bytes()).map_err(|error| error.to_string())?;
        // A refusal is followed by a close.
        let mut answer = String::new();
        let read = caller.reader.read_line(&mut answer);
        match read {
            Ok(count) if 0 < count && answer.starts_with("READY") => Ok(caller),
            Ok(count) if 0 < count => Err(answer.trim_end().to_owned()),
            _ => Err("cut".to_owned()),
        }
    }

    /// Runs a statement. Returns the lines of the answer, or `cut` if the connection ends before.
    pub fn run(&mut self, id: &str, text: &str) -> String {
        self.send(&format!("QUERY {id} {text}\r\n"))
    }

    /// Ends the session.
    pub fn end(mut self) {
        let _ = self.writer.write_all(b"TERMINATE\r\n");
    }

    fn send(&mut self, message: &str) -> String {
        if self.writer.write_all(message.as_bytes()).is_err() {
            return "cut".to_owned();
        }
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(count) if 0 < count => {
                    let text = line.trim_end();
                    // Of a long row, its length is recorded.
                    let row = text.strip_prefix("DATAROW ").map(str::len);
                    let long = row.filter(|length| LONG_ROW < *length);
                    let known = long.map(|length| format!("DATAROW of {length} bytes"));
                    lines.push(known.unwrap_or_else(|| text.to_owned()));
                }
                _ => return "cut".to_owned(),
            }
            if line.starts_with("READY") {
                let count = lines.len();
                lines.dedup();
                return format!("{} ({count} lines)", lines.join("; "));
            }
        }
    }
}

//! Starts the project's program as separate processes, one for each VM, and ends them.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::record::Record;

/// The zones of the deployment, each in a region of its own.
pub const ZONES: [(&str, &str); 3] =
    [("mobile-bay", "gulf-coast"), ("raleigh-east", "piedmont"), ("greenville-ms", "delta")];

pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    vms: Vec<Vm>,
    record: Arc<Record>,
}

struct Vm {
    name: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Mutex<Option<Child>>,
}

impl Fleet {
    /// Writes the settings of one VM in each zone, as `deploy/settings.yaml` has them.
    pub fn new(program: &Path, folder: &Path, store: SocketAddr, record: Arc<Record>) -> Self {
        let vms = ZONES.iter().map(|(zone, region)| {
            let name = format!("front-{zone}-1");
            let [peers, callers, ready, metrics] = free_addresses();
            let zones: Vec<String> =
                ZONES.iter().map(|(zone, region)| format!(r#""{zone}": "{region}""#)).collect();
            let zones = zones.join(", ");
            let text = format!(
                "node:\n  name: {name}\n  place:\n    zone: {zone}\n    region: {region}\n  zones: {{{zones}}}\n  peers: {peers}\n  revocation: 5000ms\n  grace: 6s\n  drain: 7000ms\n  lease: 1000ms\n  evacuation: 5000ms\n  cpu: 0.25\n  fenced: true\ncallers: {callers}\nready: {ready}\nmetrics: {metrics}\nstore: {store}\npromotions: {store}\ncontracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sql\", \"tenants\", \"quota\", \"platform\"]\n"
            );
            let settings = folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, text).expect("the settings can be written");
            Vm { name, callers, ready, settings, process: Mutex::default() }
        });
        Self { program: program.to_owned(), folder: folder.to_owned(), vms: vms.collect(), record }
    }

    pub fn count(&self) -> usize {
        self.vms.len()
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        self.vms[index].callers
    }

    pub fn name(&self, index: usize) -> &str {
        &self.vms[index].name
    }

    /// Starts the process of a VM.
    pub fn start(&self, index: usize) {
        let vm = &self.vms[index];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", vm.name)))
            .expect("the log can be written");
        let child = Command::new(&self.program)
            .arg("run")
            .env("OLEANDERRUDDER_BOOT", &vm.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.note_process(child.id());
        self.record.line(&format!("VM {}: started", vm.name));
        *vm.process.lock().unwrap() = Some(child);
    }

    /// Writes down the process, so that `play.sh` can end it if this program cannot.
    fn note_process(&self, id: u32) {
        use std::io::Write as _;
        let file = File::options().create(true).append(true).open(self.folder.join("processes"));
        let written = file.and_then(|mut file| writeln!(file, "{id}"));
        written.expect("the list of processes can be written");
    }

    /// Kills the process of a VM.
    pub fn kill(&self, index: usize) {
        let vm = &self.vms[index];
        if let Some(mut child) = vm.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("VM {}: killed", vm.name));
        }
    }

    /// Returns `true` if the VM answers its readiness probe with 200.
    pub fn is_ready(&self, index: usize) -> bool {
        use std::io::Read as _;
        use std::io::Write as _;
        let answer = || -> std::io::Result<String> {
            let mut stream =
                TcpStream::connect_timeout(&self.vms[index].ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text)
        };
        answer().is_ok_and(|text| text.starts_with("HTTP/1.1 200"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.vms.len()).for_each(|index| self.kill(index));
    }
}

/// Returns free addresses below the ports from which connections are opened, so that they are still
/// free when a process starts again.
fn free_addresses() -> [SocketAddr; 4] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id() as u16 % 600 * 16;
    [(); 4].map(|()| loop {
        let port = 20_000 + (start + NEXT.fetch_add(1, Ordering::AcqRel)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            break address;
        }
    })
}

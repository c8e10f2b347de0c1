//! The VMs as separate processes, the links between them, and callers.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::group::Group;
use crate::http;
use crate::http::Answer;
use crate::json::Json;
use crate::record;
use crate::store::Reader;
use crate::store::Store;

/// `Link` is a proxy between two parties; while it is cut, it holds all bytes back.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    pub cut: Arc<AtomicBool>,
}

impl Link {
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let cut = Arc::new(AtomicBool::new(false));
        let link = Self { address, cut: cut.clone() };
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || {
                    wait_joined(&cut);
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near_in), Ok(far_in)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = cut.clone();
                    thread::spawn(move || forward(far_in, near, &back));
                    forward(near_in, far, &cut);
                });
            }
        });
        link
    }
}

fn wait_joined(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        wait_joined(cut);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// `Options` are the settings that the cases vary.
#[derive(Clone)]
pub struct Options {
    pub zones: Vec<String>,
    pub fenced: bool,
    pub promote: Duration,
    pub mbps: f64,
}

/// `Vm` is one process of the program.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    pub child: Option<Child>,
    pub reader: Reader,
    /// The links to the other VMs, by their number.
    pub to_vms: Vec<Option<Link>>,
    /// The links to the instances, by service and instance.
    pub to_instances: Vec<Vec<Link>>,
}

/// `Fleet` is the VMs; dropping it ends their processes.
pub struct Fleet {
    pub vms: Vec<Vm>,
    program: PathBuf,
}

impl Fleet {
    /// Prepares one VM in each zone; `folder` receives the settings and the logs.
    pub fn prepare(
        store: &Store,
        groups: &[Group],
        program: &Path,
        folder: &Path,
        options: &Options,
    ) -> Self {
        let all = groups.to_vec();
        let delay = options.promote;
        let promotions = http::serve(0.0, move |request| {
            let Some(body) = Json::parse(&request.body) else {
                return Answer::Reply(400, "{}".to_owned());
            };
            let field = |name| body.get(name).and_then(Json::text).unwrap_or_default().to_owned();
            let (service, id) = (field("Backend"), field("Id"));
            let token = request.header("x-fencing-token").parse().unwrap_or(0);
            let group = all.iter().find(|group| group.name == service);
            let status = group.map_or(404, |group| group.promote(&id, token, delay));
            let holder = request.header("x-lease-holder");
            record(&format!("platform: promote {id} by {holder} with token {token} -> {status}"));
            Answer::Reply(status, "{}".to_owned())
        });
        let count = options.zones.len();
        let peers: Vec<SocketAddr> = (0..count).map(free_port).collect();
        let mut vms = Vec::new();
        for index in 0..count {
            let reader = Reader { mbps: options.mbps, ..Reader::default() };
            let mut links = reader.links.lock().expect("no thread has failed");
            let to_vms = (0..count).map(|other| {
                (other != index).then(|| {
                    let link = Link::start(peers[other]);
                    links.insert(peers[other].to_string(), link.address.to_string());
                    link
                })
            });
            let to_vms = to_vms.collect();
            let to_instances = groups.iter().map(|group| {
                let addresses = group.addresses().into_iter();
                let linked = addresses.map(|real| {
                    let link = Link::start(real);
                    links.insert(real.to_string(), link.address.to_string());
                    link
                });
                linked.collect()
            });
            let to_instances = to_instances.collect();
            drop(links);
            let zone = &options.zones[index];
            let name = format!("front-{zone}-1");
            let address = store.serve(reader.clone());
            let (callers, ready, metrics) = (free_port(index), free_port(index), free_port(index));
            let zones = options.zones.iter().map(|zone| format!("\"{zone}\":\"region-{zone}\""));
            let zones: Vec<String> = zones.collect();
            // As `deploy/settings.yaml` is filled in for a small deployment.
            let text = format!(
                "node:\n  name: {name}\n  place:\n    zone: {zone}\n    region: region-{zone}\n  zones: {{{}}}\n  peers: {}\n  revocation: 5000ms\n  grace: 6s\n  drain: 7000ms\n  lease: 1000ms\n  reports: 1200ms\n  cpu: 0.25\n  fenced: {}\ncallers: {callers}\nready: {ready}\nmetrics: {metrics}\nstore: {address}\npromotions: {promotions}\ncontracts: [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\",\"platform\"]\n",
                zones.join(","),
                peers[index],
                options.fenced
            );
            let settings = folder.join(format!("{name}.yaml"));
            std::fs::write(&settings, text).expect("a file in the temporary folder");
            let output = folder.join(format!("{name}.log"));
            vms.push(Vm {
                name,
                callers,
                ready,
                settings,
                output,
                child: None,
                reader,
                to_vms,
                to_instances,
            });
        }
        Self { vms, program: program.to_owned() }
    }

    /// Starts the process of a VM.
    pub fn start(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let mut options = std::fs::OpenOptions::new();
        let output = options.create(true).append(true).open(&vm.output).expect("a log file");
        let child = Command::new(&self.program)
            .arg("run")
            .env("OLEANDERRUDDER_BOOT", &vm.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn();
        vm.child = Some(child.expect("the program of the deploy file"));
        record(&format!("{} started", vm.name));
    }

    /// Kills all processes at once.
    pub fn kill_all(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut child) = vm.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        record("all VMs are killed");
    }

    /// Waits until all VMs are ready; `false` if they are not within 15 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.vms.iter().all(Vm::is_ready) {
                record("all VMs are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record("the VMs did not become ready");
        false
    }

    /// Cuts a VM off from the store and all other VMs, or joins it again.
    pub fn isolate(&self, index: usize, cut: bool) {
        self.vms[index].reader.cut.store(cut, Ordering::SeqCst);
        for (other, vm) in self.vms.iter().enumerate() {
            let peer = if other == index { None } else { Some(index) };
            for (target, link) in vm.to_vms.iter().enumerate() {
                if let Some(link) = link
                    && (other == index || Some(target) == peer)
                {
                    link.cut.store(cut, Ordering::SeqCst);
                }
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.vms.iter_mut().filter_map(|vm| vm.child.as_mut()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Vm {
    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            record(&format!("{} gets SIG{name}", self.name));
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Returns `true` if the readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line)?;
            Ok(line)
        };
        asked().is_ok_and(|line| line.contains(" 200"))
    }
}

/// `Caller` is one session.
pub struct Caller {
    stream: TcpStream,
    lines: BufReader<TcpStream>,
    name: String,
    serial: u64,
}

impl Caller {
    /// Opens a session.
    ///
    /// # Errors
    /// Fails with the error that the system has sent, or what broke.
    pub fn open(vm: SocketAddr, name: &str, database: &str, key: &str) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let stream = TcpStream::connect(vm).map_err(text)?;
        stream.set_nodelay(true).map_err(text)?;
        stream.set_read_timeout(Some(Duration::from_secs(4))).map_err(text)?;
        let lines = BufReader::new(stream.try_clone().map_err(text)?);
        let mut caller = Self { stream, lines, name: name.to_owned(), serial: 0 };
        let opening = format!("STARTUP {database} {key}\r\n");
        caller.stream.write_all(opening.as_bytes()).map_err(text)?;
        let line = caller.line()?;
        if line.starts_with("READY") { Ok(caller) } else { Err(line) }
    }

    /// Runs a statement. Returns its rows.
    ///
    /// # Errors
    /// Fails with the error that the system has sent, or what broke.
    pub fn run(&mut self, text: &str) -> Result<Vec<String>, String> {
        self.serial += 1;
        let id = format!("{}-{}", self.name, self.serial);
        let sent = Instant::now();
        let outcome = self.exchange(&id, text);
        let shown: String = text.chars().take(60).collect();
        let took = sent.elapsed().as_millis();
        record(&format!("caller {id}: {shown} -> {outcome:?} after {took} ms"));
        outcome
    }

    fn exchange(&mut self, id: &str, text: &str) -> Result<Vec<String>, String> {
        let message = format!("QUERY {id} {text}\r\n");
        self.stream.write_all(message.as_bytes()).map_err(|error| error.to_string())?;
        let (mut rows, mut failure) = (Vec::new(), None);
        loop {
            let line = self.line()?;
            match line.split_once(' ').unwrap_or((&line, "")) {
                ("DATAROW", row) => rows.push(row.to_owned()),
                ("ERROR", error) => failure = Some(error.to_owned()),
                ("READY", _) => return failure.map_or(Ok(rows), Err),
                _ => {}
            }
        }
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }
}

/// Returns a free port at the loopback address of a VM. No outgoing connection takes it meanwhile, since
/// these come from 127.0.0.1.
fn free_port(vm: usize) -> SocketAddr {
    let listener = TcpListener::bind(format!("127.0.0.{}:0", 11 + vm)).expect("a free port");
    listener.local_addr().expect("an address")
}

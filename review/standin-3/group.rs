//! One database: a primary and its replicas, which speak the line protocol.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The name of the database.
const DATABASE: &str = "ledger";

/// `Commit` is the position of one record of a log.
#[derive(Clone, Copy, Debug)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
}

/// `Statement` is a statement that an instance has run.
#[derive(Clone, Debug)]
pub struct Statement {
    pub instance: String,
    pub tenant: String,
    pub id: String,
    pub text: String,
}

/// `Member` is one instance.
pub struct Member {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub log: Vec<Commit>,
    pub paused: bool,
}

/// `Group` is the state of the instances.
#[derive(Default)]
pub struct Group {
    pub term: u64,
    pub primary: String,
    /// The highest fencing token that was seen.
    pub token: u64,
    pub members: Vec<Member>,
    /// The number of statements that each instance has run.
    pub ran: HashMap<String, u64>,
    /// The statements that were run, if `keeps` is set.
    pub statements: Vec<Statement>,
    pub keeps: bool,
    /// An instance that answers nothing until then.
    pub dark: Option<(String, Instant)>,
    /// What a read returns.
    pub row: String,
    pub rows: usize,
}

impl Group {
    /// Starts three instances, whose identifiers begin with `prefix`; the first one leads.
    pub fn start(prefix: &str) -> Arc<Mutex<Self>> {
        let (row, rows) = ("row".to_owned(), 1);
        let group = Arc::new(Mutex::new(Self { term: 1, row, rows, ..Self::default() }));
        for zone in ["east", "west", "north"] {
            let name = format!("{prefix}-{zone}");
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("the listener is bound");
            let (log, paused) = (Vec::new(), false);
            let member = Member { name: name.clone(), address, zone, log, paused };
            {
                let mut group = group.lock().unwrap();
                if group.primary.is_empty() {
                    group.primary.clone_from(&name);
                }
                group.members.push(member);
            }
            let group = group.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (group, name) = (group.clone(), name.clone());
                    thread::spawn(move || {
                        let _ = Session::default().serve(stream, &group, &name);
                    });
                }
            });
        }
        group
    }

    /// Returns what each instance writes under its identifier.
    pub fn entries(&self) -> Vec<(String, String)> {
        let entry = |member: &Member| {
            let role = if member.name == self.primary { "primary" } else { "replica" };
            let (address, zone) = (member.address, member.zone);
            let text = format!(
                "{{\"Backend\":\"{DATABASE}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
                 \"Version\":\"v1\",\"Slots\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,\
                 \"DbRole\":\"{role}\",\"Sequence\":1,\"born\":1000}}"
            );
            (format!("servers/{}", member.name), text)
        };
        self.members.iter().map(entry).collect()
    }

    /// Makes an instance the primary of the next term; returns `false` if there is none of this name.
    pub fn promote(&mut self, name: &str) -> bool {
        if self.members.iter().all(|member| member.name != name) {
            return false;
        }
        if self.primary != name {
            self.term += 1;
            name.clone_into(&mut self.primary);
            let log = self.member(name).log.clone();
            for member in &mut self.members {
                member.paused = false;
                member.log.clone_from(&log);
            }
        }
        true
    }

    fn member(&mut self, name: &str) -> &mut Member {
        self.members.iter_mut().find(|member| member.name == name).expect("the instance exists")
    }

    fn position(&mut self, name: &str) -> String {
        let last = self.member(name).log.last().copied();
        last.map_or_else(|| "1.0".to_owned(), |last| format!("{}.{}", last.term, last.number))
    }

    fn lacks(&mut self, name: &str, position: &str) -> bool {
        let parts = position.split_once('.').unwrap_or(("0", "0"));
        let wanted: (u64, u64) = (parts.0.parse().unwrap_or(0), parts.1.parse().unwrap_or(0));
        let last = self.member(name).log.last().map_or((1, 0), |last| (last.term, last.number));
        last < wanted
    }

    /// Commits at the primary. Replicas receive it at once, unless they are paused.
    fn commit(&mut self) {
        let (term, primary) = (self.term, self.primary.clone());
        let number = self.member(&primary).log.last().map_or(1, |last| last.number + 1);
        let commit = Commit { term, number };
        let receiving = self.members.iter_mut().filter(|member| !member.paused);
        receiving.for_each(|member| member.log.push(commit));
    }
}

#[derive(Default)]
struct Session {
    tenant: String,
    /// The kinds of the prepared statements. Their texts are not kept.
    prepared: HashMap<String, String>,
    /// `Some` in a transaction: whether it only reads, and whether it wrote.
    open: Option<(bool, bool)>,
}

impl Session {
    fn serve(mut self, stream: TcpStream, group: &Mutex<Group>, name: &str) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let startup = line(&mut reader)?;
        wait_while_dark(group, name);
        let words: Vec<&str> = startup.split(' ').collect();
        let is_here = words.get(1) == Some(&DATABASE) && words.get(3).is_none_or(|id| *id == name);
        if !is_here {
            return writer.write_all(b"ERROR MOVED -\r\n").ok();
        }
        self.tenant = words.get(2).copied().unwrap_or_default().to_owned();
        writer.write_all(b"READY I -\r\n").ok()?;
        while let Some(text) = line(&mut reader) {
            wait_while_dark(group, name);
            let (id, text) = text.strip_prefix("QUERY ")?.split_once(' ')?;
            let outcome = self.run(group, name, id, text);
            let state = if self.open.is_some() { 'T' } else { 'I' };
            let position = group.lock().unwrap().position(name);
            writer.write_all(format!("{outcome}READY {state} {position}\r\n").as_bytes()).ok()?;
        }
        Some(())
    }

    /// Runs a statement; returns the lines of its answer before `READY`.
    fn run(&mut self, group: &Mutex<Group>, name: &str, id: &str, text: &str) -> String {
        let done = || "COMPLETE -\r\n".to_owned();
        let refused = |code: &str| format!("ERROR {code} -\r\n");
        let mut text = text;
        if let Some(rest) = text.strip_prefix("SYNCPOS ") {
            let (position, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            if group.lock().unwrap().lacks(name, position) {
                return refused("LAGGING");
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let leads = group.lock().unwrap().primary == name;
        let is_plain = self.open.is_some_and(|(read_only, _)| !read_only);
        if is_plain && !leads && word != "ROLLBACK" {
            return refused("READONLY");
        }
        match word {
            "BEGIN" if rest == "READ" => self.open = Some((true, false)),
            "BEGIN" if !leads => return refused("READONLY"),
            "BEGIN" => self.open = Some((false, false)),
            "ROLLBACK" => self.open = None,
            "SET" => {}
            "RESET" => self.prepared.clear(),
            "PARSE" => {
                let words: Vec<&str> = rest.splitn(3, ' ').collect();
                if let [name, kind, _] = words[..] {
                    self.prepared.insert(name.to_owned(), kind.to_owned());
                }
            }
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let mut group = group.lock().unwrap();
                let term = group.term;
                if word == "PAUSE" && !leads && rest.parse().is_ok_and(|newer: u64| term < newer) {
                    group.member(name).paused = true;
                } else if word == "RESUME" {
                    group.member(name).paused = false;
                }
                let role = if leads { "primary" } else { "replica" };
                let position = group.position(name);
                return format!("DATAROW {role} {term} {position} {term} 0 0 1\r\nCOMPLETE -\r\n");
            }
            "READ" | "WRITE" | "EXECUTE" | "COMMIT" => {
                return self.run_statement(group, name, id, text, leads);
            }
            _ => return refused("MALFORMED"),
        }
        done()
    }

    fn run_statement(
        &mut self,
        group: &Mutex<Group>,
        name: &str,
        id: &str,
        text: &str,
        leads: bool,
    ) -> String {
        thread::sleep(Duration::from_millis(5));
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut kind = word;
        if word == "EXECUTE" {
            let prepared = rest.split(' ').next().and_then(|name| self.prepared.get(name));
            let Some(prepared) = prepared else { return "ERROR NOSTMT -\r\n".to_owned() };
            kind = if prepared == "READ" { "READ" } else { "WRITE" };
        }
        if kind == "WRITE" && !leads {
            return "ERROR READONLY -\r\n".to_owned();
        }
        let mut group = group.lock().unwrap();
        *group.ran.entry(name.to_owned()).or_default() += 1;
        if group.keeps {
            let (instance, tenant) = (name.to_owned(), self.tenant.clone());
            let (id, text) = (id.to_owned(), text.to_owned());
            group.statements.push(Statement { instance, tenant, id, text });
        }
        match (kind, &mut self.open) {
            ("WRITE", Some((_, wrote))) => *wrote = true,
            ("WRITE", None) => group.commit(),
            ("COMMIT", open) => {
                if open.take().is_some_and(|(_, wrote)| wrote) {
                    group.commit();
                }
            }
            _ => {
                let rows = format!("DATAROW {}\r\n", group.row).repeat(group.rows);
                return format!("{rows}COMPLETE {name}.{id}\r\n");
            }
        }
        format!("COMPLETE {name}.{id}\r\n")
    }
}

fn wait_while_dark(group: &Mutex<Group>, name: &str) {
    let is_dark = || {
        let group = group.lock().unwrap();
        group.dark.as_ref().is_some_and(|(dark, until)| dark == name && Instant::now() < *until)
    };
    while is_dark() {
        thread::sleep(Duration::from_millis(10));
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    text.strip_suffix("\r\n").map(str::to_owned)
}

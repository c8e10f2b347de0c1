//! Stand-ins of the instances of one database, by PROTOCOL.md: the line protocol, replication with
//! `SyncReplicas` 1, and promotions.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// The time from an accepted order until the instance leads.
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// The interval at which replicas receive what they lack.
const TICK: Duration = Duration::from_millis(5);

/// The time that a read or write takes.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// The time that it takes to open a transaction.
const BEGIN_TIME: Duration = Duration::from_millis(10);

/// One committed write.
#[derive(Clone, Debug, PartialEq)]
pub struct Commit {
    pub term: u64,
    pub number: u64,
    /// The identifier of the statement that committed it.
    pub id: String,
    pub item: String,
    pub data: String,
}

#[derive(Default)]
struct Member {
    name: String,
    log: Vec<Commit>,
    paused: bool,
    /// The replica receives nothing, without having been told so.
    deaf: bool,
}

#[derive(Default)]
struct State {
    members: Vec<Member>,
    primary: usize,
    term: u64,
    token: u64,
    serial: u64,
    /// The identifiers of the statements that ran, in order, each with its time and tenant.
    ran: Vec<(f64, String, String)>,
    /// The statements that ran in a transaction, each with the time at which that was opened.
    in_transaction: Vec<(f64, String)>,
    /// The log of each promoted instance at the moment from which it leads.
    promoted: Vec<(f64, String, Vec<Commit>)>,
}

pub struct Group {
    pub database: String,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

#[derive(Default)]
struct Session {
    member: usize,
    tenant: String,
    prepared: HashMap<String, (String, String)>,
    transaction: Option<Transaction>,
}

#[derive(Default)]
struct Transaction {
    opened: f64,
    read_only: bool,
    writes: Vec<(String, String)>,
    failed: bool,
}

impl Group {
    pub fn new(database: &str, names: &[&str], record: Arc<Record>) -> Self {
        let member = |name: &&str| Member { name: name.to_string(), ..Member::default() };
        let members = names.iter().map(member).collect();
        let state = State { members, term: 1, ..State::default() };
        Self {
            database: database.to_owned(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
        }
    }

    pub fn primary(&self) -> String {
        let state = self.state.lock().unwrap();
        state.members[state.primary].name.clone()
    }

    pub fn set_deaf(&self, name: &str, deaf: bool) {
        let mut state = self.state.lock().unwrap();
        let found = state.members.iter_mut().find(|member| member.name == name);
        found.expect("the instance exists").deaf = deaf;
        self.record.line(&format!("instance {name}: receives nothing = {deaf}"));
    }

    /// Returns the promotions that took effect, each with its time, the instance and its log then.
    pub fn promotions(&self) -> Vec<(f64, String, Vec<Commit>)> {
        self.state.lock().unwrap().promoted.clone()
    }

    /// Returns the statements that ran, each with its time, its identifier and the tenant.
    pub fn ran(&self) -> Vec<(f64, String, String)> {
        self.state.lock().unwrap().ran.clone()
    }

    /// Returns the statements that ran in a transaction, each with the time at which that was opened.
    pub fn in_transaction(&self) -> Vec<(f64, String)> {
        self.state.lock().unwrap().in_transaction.clone()
    }

    /// Returns the number of commits in the log of each instance.
    pub fn log_lengths(&self) -> String {
        let state = self.state.lock().unwrap();
        let length = |member: &Member| format!("{}={}", member.name, member.log.len());
        state.members.iter().map(length).collect::<Vec<_>>().join(" ")
    }

    /// Answers `POST /promote` with fences checked; the instance leads a moment later.
    pub fn promote(self: &Arc<Self>, name: &str, holder: &str, token: u64) -> u16 {
        let mut state = self.state.lock().unwrap();
        let index = state.members.iter().position(|member| member.name == name);
        let (Some(index), true) = (index, state.token <= token) else {
            self.record.line(&format!("promote {name} by {holder}, token {token}: 409"));
            return 409;
        };
        state.token = token;
        self.record.line(&format!("promote {name} by {holder}, token {token}: 200"));
        if index != state.primary {
            state.serial += 1;
            let serial = state.serial;
            let group = self.clone();
            thread::spawn(move || group.finish_promotion(index, serial));
        }
        200
    }

    fn finish_promotion(&self, index: usize, serial: u64) {
        thread::sleep(PROMOTE_TIME);
        let mut state = self.state.lock().unwrap();
        if state.serial != serial {
            return;
        }
        state.term += 1;
        state.primary = index;
        let log = state.members[index].log.clone();
        let lengths: Vec<String> = state
            .members
            .iter()
            .map(|member| format!("{}={}", member.name, member.log.len()))
            .collect();
        for member in &mut state.members {
            member.paused = false;
            member.log.truncate(common_length(&member.log, &log));
        }
        let name = state.members[index].name.clone();
        self.record.line(&format!(
            "instance {name} leads term {}; commits received before: {}",
            state.term,
            lengths.join(" ")
        ));
        let now = self.record.now();
        state.promoted.push((now, name, log));
        self.changed.notify_all();
    }

    /// Lets replicas receive what they lack, until the process ends.
    pub fn run(&self) {
        loop {
            thread::sleep(TICK);
            let mut state = self.state.lock().unwrap();
            let primary = state.primary;
            let log = state.members[primary].log.clone();
            for (index, member) in state.members.iter_mut().enumerate() {
                let receives = index != primary && !member.paused && !member.deaf;
                if receives && member.log.len() < log.len() {
                    member.log.clone_from(&log);
                }
            }
            self.changed.notify_all();
        }
    }

    /// Starts an instance; returns its address.
    pub fn serve(self: &Arc<Self>, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let index = {
            let state = self.state.lock().unwrap();
            state.members.iter().position(|member| member.name == name).expect("it exists")
        };
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || group.serve_connection(stream, index));
            }
        });
        address
    }

    fn serve_connection(&self, stream: TcpStream, member: usize) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        let startup = lines.next()?.ok()?;
        let mut words = startup.trim_end().split(' ').skip(1).map(str::to_owned);
        let (database, tenant) = (words.next()?, words.next()?);
        let name = self.state.lock().unwrap().members[member].name.clone();
        if database != self.database || words.next().is_some_and(|id| id != name) {
            writer.write_all(b"ERROR MOVED not here\r\n").ok()?;
            return None;
        }
        writer.write_all(format!("READY I {}\r\n", self.position(member)).as_bytes()).ok()?;
        let mut session = Session { member, tenant, ..Session::default() };
        loop {
            let line = lines.next()?.ok()?;
            let rest = line.trim_end().strip_prefix("QUERY ")?.to_owned();
            let (id, text) = rest.split_once(' ')?;
            let outcome = self.statement(&mut session, id, text)?;
            let mut out = String::new();
            match outcome {
                Ok((row, signature)) => {
                    row.iter().for_each(|row| out += &format!("DATAROW {row}\r\n"));
                    out += &format!("COMPLETE {signature}\r\n");
                }
                Err(code) => out += &format!("ERROR {code} {name}\r\n"),
            }
            let state = session.transaction.as_ref();
            let state = state.map_or('I', |open| if open.failed { 'E' } else { 'T' });
            out += &format!("READY {state} {}\r\n", self.position(member));
            writer.write_all(out.as_bytes()).ok()?;
        }
    }

    fn position(&self, member: usize) -> String {
        let state = self.state.lock().unwrap();
        let last = state.members[member].log.last();
        last.map_or_else(|| "1.0".to_owned(), |last| format!("{}.{}", last.term, last.number))
    }

    /// Runs a statement; `None` closes the connection without an answer.
    fn statement(
        &self,
        session: &mut Session,
        id: &str,
        text: &str,
    ) -> Option<Result<(Option<String>, String), &'static str>> {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("SYNCPOS ") {
            let (position, rest) = rest.split_once(' ')?;
            let (term, number) = position.split_once('.')?;
            let wanted = (term.parse::<u64>().ok()?, number.parse::<u64>().ok()?);
            let state = self.state.lock().unwrap();
            let log = &state.members[session.member].log;
            let has =
                wanted.1 == 0 || log.iter().any(|commit| (commit.term, commit.number) == wanted);
            if !has {
                return Some(Err("LAGGING"));
            }
            text = rest;
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let is_primary = self.state.lock().unwrap().primary == session.member;
        let empty = || Some(Ok((None, "-".to_owned())));
        if let Some(open) = &mut session.transaction {
            if word == "ROLLBACK" {
                session.transaction = None;
                return empty();
            }
            if (open.failed && word != "COMMIT") || word == "BEGIN" {
                let opened = open.opened;
                self.record.line(&format!(
                    "instance {}: {text} in the transaction opened at {opened:.3}: MALFORMED",
                    session.member
                ));
                return Some(Err("MALFORMED"));
            }
            if !open.read_only && !is_primary && !(word == "COMMIT" && open.writes.is_empty()) {
                open.failed = true;
                return Some(Err("READONLY"));
            }
        }
        let signature = format!("{}.{id}", session.member);
        match word {
            "BEGIN" if rest != "READ" && !is_primary => Some(Err("READONLY")),
            "BEGIN" => {
                thread::sleep(BEGIN_TIME);
                let (opened, read_only) = (self.record.now(), rest == "READ");
                let transaction = Transaction { opened, read_only, ..Transaction::default() };
                session.transaction = Some(transaction);
                empty()
            }
            "ROLLBACK" | "SET" | "CLOSE" => empty(),
            "RESET" => {
                session.prepared.clear();
                empty()
            }
            "PARSE" => {
                let mut words = rest.splitn(3, ' ').map(str::to_owned);
                session.prepared.insert(words.next()?, (words.next()?, words.next()?));
                empty()
            }
            "STATUS" | "PAUSE" | "RESUME" | "STEPDOWN" => {
                let mut state = self.state.lock().unwrap();
                let newest = state.term;
                let given: u64 = rest.parse().unwrap_or(0);
                let member = &mut state.members[session.member];
                match word {
                    "PAUSE" if !is_primary && newest < given => member.paused = true,
                    "RESUME" => member.paused = false,
                    _ => {}
                }
                let name = member.name.clone();
                drop(state);
                if word != "STATUS" {
                    self.record.line(&format!("instance {name}: {text}"));
                }
                let role = if is_primary { "primary" } else { "replica" };
                let position = self.position(session.member);
                Some(Ok((Some(format!("{role} {newest} {position} 0 0 0 1")), "-".to_owned())))
            }
            "READ" => self.read(session, id, rest, signature),
            "WRITE" => self.write(session, id, rest, signature, is_primary),
            "EXECUTE" => {
                let (name, arguments) = rest.split_once(' ').unwrap_or((rest, ""));
                match session.prepared.get(name).cloned() {
                    None => Some(Err("NOSTMT")),
                    Some((kind, _)) if kind == "READ" => {
                        self.read(session, id, arguments, signature)
                    }
                    Some(_) => self.write(session, id, arguments, signature, is_primary),
                }
            }
            "COMMIT" => {
                let open = session.transaction.take()?;
                if open.failed {
                    return Some(Err("ABORTED"));
                }
                self.commit(session.member, id, &open.writes)?;
                Some(Ok((None, signature)))
            }
            _ => Some(Err("MALFORMED")),
        }
    }

    fn note_run(&self, session: &Session, id: &str) {
        let now = self.record.now();
        let mut state = self.state.lock().unwrap();
        state.ran.push((now, id.to_owned(), session.tenant.clone()));
        let name = state.members[session.member].name.clone();
        let opened = session.transaction.as_ref().map(|open| open.opened);
        state.in_transaction.extend(opened.map(|opened| (opened, id.to_owned())));
        drop(state);
        let opened = opened.map(|at| format!(", in the transaction opened at {at:.3}"));
        let opened = opened.unwrap_or_default();
        self.record.line(&format!("instance {name}: runs {id} of {}{opened}", session.tenant));
    }

    fn read(
        &self,
        session: &Session,
        id: &str,
        item: &str,
        signature: String,
    ) -> Option<Result<(Option<String>, String), &'static str>> {
        self.note_run(session, id);
        thread::sleep(SERVICE_TIME);
        let state = self.state.lock().unwrap();
        let log = &state.members[session.member].log;
        let found = log.iter().rev().find(|commit| commit.item == item);
        let row = found.map_or_else(|| "none".to_owned(), |commit| commit.data.clone());
        Some(Ok((Some(row), signature)))
    }

    fn write(
        &self,
        session: &mut Session,
        id: &str,
        rest: &str,
        signature: String,
        is_primary: bool,
    ) -> Option<Result<(Option<String>, String), &'static str>> {
        if !is_primary {
            return Some(Err("READONLY"));
        }
        self.note_run(session, id);
        thread::sleep(SERVICE_TIME);
        let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
        let write = (item.to_owned(), data.to_owned());
        match &mut session.transaction {
            Some(open) => open.writes.push(write),
            None => self.commit(session.member, id, &[write])?,
        }
        Some(Ok((None, signature)))
    }

    /// Commits at the primary and waits until one replica has received the commit; `None` if the
    /// instance loses the lead before.
    fn commit(&self, member: usize, id: &str, writes: &[(String, String)]) -> Option<()> {
        if writes.is_empty() {
            return Some(());
        }
        let mut state = self.state.lock().unwrap();
        if state.primary != member {
            return None;
        }
        let term = state.term;
        let number = state.members[member].log.last().map_or(1, |last| last.number + 1);
        for (item, data) in writes {
            let commit =
                Commit { term, number, id: id.to_owned(), item: item.clone(), data: data.clone() };
            state.members[member].log.push(commit);
        }
        loop {
            state = self.changed.wait(state).unwrap();
            if state.primary != member || state.term != term {
                return None;
            }
            let has = |other: &Member| {
                other.log.iter().any(|commit| commit.id == id && commit.term == term)
            };
            let replicas = state.members.iter().enumerate();
            if replicas.filter(|(index, _)| *index != member).any(|(_, other)| has(other)) {
                return Some(());
            }
        }
    }
}

fn common_length(log: &[Commit], other: &[Commit]) -> usize {
    log.iter().zip(other).take_while(|(one, two)| one == two).count()
}

//! A database that the platform promotes: one primary, its replicas and their logs, with the faults
//! of instances. It has no network of its own; the servers in front of it pass statements and orders
//! on.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// `Record` is one committed write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The term in which it was committed.
    pub term: u64,
    /// Its position in the log.
    pub number: u64,
    /// The identifier of the statement that committed it.
    pub id: String,
    /// The item that was written.
    pub item: String,
    /// The value that was written.
    pub data: String,
}

/// `Member` is one instance.
#[derive(Debug, Default)]
pub struct Member {
    /// The identifier under which the instance is listed.
    pub name: String,
    /// What the instance has received.
    pub log: Vec<Record>,
    /// `true` while the replica has been told to receive no log records.
    pub paused: bool,
    /// `true` while the replica receives nothing without having been told so.
    pub deaf: bool,
    /// `true` while the instance is down: it closes its connections and answers nothing.
    pub down: bool,
    /// `true` while nothing listens at the address of the instance, which is down.
    pub refuses: bool,
    /// `true` while connections to the instance, which is down, hang.
    pub dark: bool,
    /// `true` once the instance has left for good.
    pub gone: bool,
    /// `true` while the instance sends no liveness reports.
    pub silent: bool,
    /// `true` once the instance reports that it leaves.
    pub leaving: bool,
    /// The time of the instance's latest start, in milliseconds since an arbitrary moment.
    pub life: u64,
    /// The time that a read or write takes.
    pub service: Duration,
    /// `true` while the instance fails 40% of its reads.
    pub fails: bool,
    /// The number of further rows of a read, all like the first.
    pub more_rows: usize,
    /// The number of reads so far.
    pub reads: u32,
    /// The number of connections accepted so far.
    pub connections: u32,
}

impl Member {
    /// Counts a read; returns `true` if it fails.
    pub fn fails_read(&mut self) -> bool {
        self.reads += 1;
        self.fails && self.reads * 7 % 10 < 4
    }

    fn receives(&self) -> bool {
        !self.paused && !self.deaf && !self.down
    }
}

/// `ExecutedStatement` is a statement that an instance has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExecutedStatement {
    /// The instance that ran it.
    pub instance: String,
    /// The workspace for which the connection was opened.
    pub workspace: String,
    /// The identifier of the statement.
    pub id: String,
    /// The text of the statement.
    pub text: String,
    /// The values of the connection's session.
    pub values: HashMap<String, String>,
}

/// `Promotion` is a change of primary that has taken effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// The instance that leads since.
    pub instance: String,
    /// The term that it leads.
    pub term: u64,
    /// The time at which it took effect.
    pub at: Instant,
    /// What the instance had received.
    pub log: Vec<Record>,
    /// What each instance had received, for the report.
    pub lengths: Vec<(String, usize)>,
}

/// `OrderFault` is what happens to orders to promote.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OrderFault {
    /// Orders are executed and answered.
    #[default]
    None,
    /// Orders are executed at once; their connections are closed without an answer.
    Unanswered,
    /// The connection of an order is closed without an answer; the order is executed, with its
    /// token checked, after a delay.
    Late(Duration),
}

/// `Group` is the state of all instances.
#[derive(Debug)]
pub struct Group {
    /// The name of the database.
    pub database: String,
    /// The term of the present primary.
    pub term: u64,
    /// The present primary.
    pub primary: String,
    /// The instances, in the order in which they joined.
    pub members: Vec<Member>,
    /// The statements that instances have run, in order.
    pub executed: Vec<ExecutedStatement>,
    /// The instances that were connected to while they were down, each with the line that was sent.
    pub refused: Vec<(String, String)>,
    /// The highest fencing token that was seen.
    pub token: u64,
    /// `true` if orders with a token lower than the highest one are refused.
    pub fenced: bool,
    /// The promoted instances, in order.
    pub promotions: Vec<String>,
    /// The changes of primary, in order.
    pub changes: Vec<Promotion>,
    /// The time from an accepted order to the change of primary.
    pub delay: Duration,
    /// What happens to orders to promote.
    pub order_fault: OrderFault,
    /// The number of orders to promote that have arrived.
    pub orders: u64,
}

impl Group {
    /// Creates a database without instances.
    pub fn new(database: &str) -> Self {
        Self {
            database: database.to_owned(),
            term: 1,
            primary: String::new(),
            members: Vec::new(),
            executed: Vec::new(),
            refused: Vec::new(),
            token: 0,
            fenced: true,
            promotions: Vec::new(),
            changes: Vec::new(),
            delay: Duration::ZERO,
            order_fault: OrderFault::None,
            orders: 0,
        }
    }

    /// Adds an instance with the log of the primary; the first instance becomes the primary.
    pub fn join(&mut self, name: &str) {
        let log = self.find(&self.primary).map_or_else(Vec::new, |primary| primary.log.clone());
        let member = Member { name: name.to_owned(), log, life: 1_000, ..Member::default() };
        self.members.push(member);
        if self.primary.is_empty() {
            name.clone_into(&mut self.primary);
        }
    }

    /// Returns the instance `name`, which must exist.
    ///
    /// # Panics
    /// Panics if there is no such instance.
    pub fn member(&mut self, name: &str) -> &mut Member {
        self.members.iter_mut().find(|member| member.name == name).expect("the instance exists")
    }

    /// Returns the instance `name`; `None` if it does not exist.
    pub fn find(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Returns `true` if the instance is the primary.
    pub fn is_primary(&self, name: &str) -> bool {
        self.primary == name
    }

    /// Returns the replicas that have not left.
    pub fn replicas(&self) -> Vec<String> {
        let is_replica = |member: &&Member| !member.gone && !self.is_primary(&member.name);
        let replicas = self.members.iter().filter(is_replica);
        replicas.map(|member| member.name.clone()).collect()
    }

    /// Returns the number of instances that receive no log records.
    pub fn paused_count(&self) -> usize {
        self.members.iter().filter(|member| member.paused).count()
    }

    /// Returns the last log point of an instance.
    pub fn position(&self, name: &str) -> String {
        let last = self.find(name).and_then(|member| member.log.last());
        last.map_or_else(|| "1.0".to_owned(), |record| format!("{}.{}", record.term, record.number))
    }

    /// Returns `true` if the log of an instance contains the log point `position`.
    pub fn has(&mut self, name: &str, position: &str) -> bool {
        let parse = |text: &str| {
            let (term, number) = text.split_once('.').unwrap_or(("0", "0"));
            (term.parse::<u64>().unwrap_or(0), number.parse::<u64>().unwrap_or(0))
        };
        let wanted = parse(position);
        wanted.1 == 0 || self.member(name).log.iter().any(|record| point_of(record) == wanted)
    }

    /// Appends writes to the log of the primary; `None` if `name` is not the primary or is down.
    /// Returns the point of the last one, which is acknowledged once a replica has received it.
    pub fn append(
        &mut self,
        name: &str,
        id: &str,
        writes: &[(String, String)],
    ) -> Option<(u64, u64)> {
        let term = self.term;
        if !self.is_primary(name) || self.member(name).down {
            return None;
        }
        let log = &mut self.member(name).log;
        for (item, data) in writes {
            let number = log.last().map_or(1, |record| record.number + 1);
            let (id, item, data) = (id.to_owned(), item.clone(), data.clone());
            log.push(Record { term, number, id, item, data });
        }
        let point = log.last().map(point_of);
        self.replicate();
        point
    }

    /// Returns `true` once a replica has received `point`; `None` if `name` no longer leads its term.
    pub fn is_acknowledged(&mut self, name: &str, point: (u64, u64)) -> Option<bool> {
        if !self.is_primary(name) || self.term != point.0 || self.member(name).down {
            return None;
        }
        self.replicate();
        let has = |member: &Member| member.log.last().is_some_and(|last| point <= point_of(last));
        let mut replicas = self.members.iter().filter(|member| member.name != name);
        Some(replicas.any(has))
    }

    /// Lets the replicas receive what they lack, unless the primary is down.
    pub fn replicate(&mut self) {
        let Some(primary) = self.members.iter().position(|member| member.name == self.primary)
        else {
            return;
        };
        if self.members[primary].down {
            return;
        }
        let log = std::mem::take(&mut self.members[primary].log);
        let receiving = self.members.iter_mut().enumerate();
        for (_, member) in
            receiving.filter(|(index, member)| *index != primary && member.receives())
        {
            let missing = log.get(member.log.len()..).unwrap_or_default();
            member.log.extend_from_slice(missing);
        }
        self.members[primary].log = log;
    }

    /// Returns the last value of an item in the log of an instance.
    pub fn read(&mut self, name: &str, item: &str) -> Option<String> {
        let log = &self.member(name).log;
        log.iter().rev().find(|record| record.item == item).map(|record| record.data.clone())
    }

    /// Promotes an instance: it leads the next term with what it had received, and what others had
    /// received beyond that is rolled back. One that no longer runs is not promoted.
    pub fn promote(&mut self, name: &str) {
        if self.primary == name || self.find(name).is_none_or(|member| member.down) {
            return;
        }
        self.term += 1;
        self.primary = name.to_owned();
        self.promotions.push(name.to_owned());
        let log = self.member(name).log.clone();
        let lengths = self.members.iter().map(|member| (member.name.clone(), member.log.len()));
        let lengths = lengths.collect();
        for member in self.members.iter_mut().filter(|member| !member.down) {
            member.paused = false;
            member.log.truncate(common_prefix(&member.log, &log));
        }
        let (instance, term, at) = (name.to_owned(), self.term, Instant::now());
        self.changes.push(Promotion { instance, term, at, log, lengths });
        self.replicate();
    }

    /// Takes an order to promote `name`. Returns `false` if it is refused: the token is lower than
    /// one seen before, or the instance does not run.
    pub fn accept_order(&mut self, name: &str, token: u64) -> bool {
        let runs = self.find(name).is_some_and(|member| !member.down);
        if (self.fenced && token < self.token) || !runs {
            return false;
        }
        self.token = self.token.max(token);
        true
    }

    /// Starts an instance that is down, as the primary that it was or as a replica. Without its log
    /// it is another instance under the same identifier.
    pub fn start(&mut self, name: &str, keeps_log: bool) {
        let leading = self.find(&self.primary).map_or_else(Vec::new, |member| member.log.clone());
        let member = self.member(name);
        (member.down, member.refuses, member.dark) = (false, false, false);
        member.paused = false;
        if keeps_log {
            member.log.truncate(common_prefix(&member.log, &leading));
        } else {
            member.log.clear();
            member.life += 1;
        }
        self.replicate();
    }

    /// Ends a replica and its log for good; returns `false` if `name` is the primary.
    pub fn remove(&mut self, name: &str) -> bool {
        if self.is_primary(name) {
            return false;
        }
        let member = self.member(name);
        (member.down, member.refuses, member.gone) = (true, true, true);
        member.log.clear();
        true
    }

    /// Returns the identifiers that the primary's log holds, with the number of times of each.
    pub fn kept(&self) -> HashMap<&str, u32> {
        let mut kept = HashMap::new();
        for record in self.find(&self.primary).iter().flat_map(|primary| &primary.log) {
            *kept.entry(record.id.as_str()).or_default() += 1;
        }
        kept
    }

    /// Returns the index of a commit in the log of the primary.
    pub fn index_in_log(&self, id: &str) -> Option<usize> {
        let primary = self.find(&self.primary)?;
        primary.log.iter().position(|record| record.id == id)
    }

    /// Returns the first change of primary since `confirmed` whose instance lacked a commit.
    pub fn lost_at(&self, id: &str, confirmed: Instant) -> Option<&Promotion> {
        let lacks = |change: &&Promotion| change.log.iter().all(|record| record.id != id);
        self.changes.iter().filter(|change| confirmed <= change.at).find(lacks)
    }
}

fn point_of(record: &Record) -> (u64, u64) {
    (record.term, record.number)
}

fn common_prefix(log: &[Record], other: &[Record]) -> usize {
    log.iter().zip(other).take_while(|(one, two)| one == two).count()
}

//! One connection to an instance with the session state that it carries.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use oleander_core::terms::LogPoint;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_limits::home::pool::SettingsHash;
use oleander_ports::upstream::Failure;
use oleander_ports::upstream::FailureKind;
use oleander_ports::upstream::InstanceCommand;
use oleander_ports::upstream::Link;
use oleander_ports::upstream::LinkError;
use oleander_ports::upstream::Message;
use oleander_ports::upstream::Reply;
use oleander_ports::upstream::TransactionState;
use oleander_session::work::Prepared;
use oleander_session::work::Work;

/// The prepared statements that one connection holds; more make it start anew.
const MAX_PREPARED: usize = 256;

/// `Backend` is a connection with the values and prepared statements that it holds.
pub struct Backend {
    link: Box<dyn Link>,
    values: Vec<(String, String)>,
    prepared: HashMap<Prepared, String>,
    serial: u32,
    sound: bool,
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Backend").field("sound", &self.sound).finish_non_exhaustive()
    }
}

/// `Statement` is what a backend runs for a caller.
#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    /// The caller's identifier.
    pub id: &'a str,
    /// The values of the caller's session.
    pub values: &'a [(String, String)],
    /// The statement.
    pub work: &'a Work,
}

/// `Wrap` says what goes around a single statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wrap {
    /// Nothing; the instance must have the point, if there is one.
    After(Option<LogPoint>),
    /// A transaction of its own, in which only the primary answers.
    Primary,
}

impl Backend {
    /// Makes a backend of a new connection.
    pub fn new(link: Box<dyn Link>) -> Self {
        Self { link, values: Vec::new(), prepared: HashMap::new(), serial: 0, sound: true }
    }

    /// Returns `true` if the connection is idle and its state is known, so that it may be used again.
    pub fn is_sound(&mut self) -> bool {
        self.sound && self.link.is_open()
    }

    /// Gets the mark of the values that the connection holds.
    pub fn settings_hash(&self) -> SettingsHash {
        hash_settings(&self.values)
    }

    /// Runs a single statement.
    pub async fn single(&mut self, statement: Statement<'_>, wrap: Wrap) -> Result<Reply, Refusal> {
        self.prepare(statement).await?;
        match wrap {
            Wrap::After(after) => self.run(statement, after, TransactionState::Idle).await,
            Wrap::Primary => {
                self.begin(false, None).await?;
                self.run_and_roll_back(statement).await
            }
        }
    }

    /// Opens a transaction.
    pub async fn begin(&mut self, read_only: bool, after: Option<LogPoint>) -> Result<(), Refusal> {
        let message = Message { id: None, after, command: InstanceCommand::Begin { read_only } };
        let reply = self.exchange(&[message]).await?.remove(0);
        if let Err(failure) = reply.outcome {
            self.sound &= reply.state == TransactionState::Idle;
            return Err(refusal(&failure, Verdict::NotRun));
        }
        self.expect(reply.state, TransactionState::Open)
    }

    /// Runs a statement of the open transaction.
    pub async fn within(&mut self, statement: Statement<'_>) -> Result<Reply, Refusal> {
        self.prepare(statement).await?;
        let state =
            if statement.work.is_end() { TransactionState::Idle } else { TransactionState::Open };
        self.run(statement, None, state).await
    }

    /// Rolls the open transaction back.
    pub async fn roll_back(&mut self) -> Result<(), Refusal> {
        let reply = self.exchange(&[Message::internal(InstanceCommand::Rollback)]).await?.remove(0);
        self.expect(reply.state, TransactionState::Idle)
    }

    /// Makes the connection hold the session's values and the statement that is to be executed.
    async fn prepare(&mut self, statement: Statement<'_>) -> Result<(), Refusal> {
        let is_stale = |(name, _): &(String, String)| {
            statement.values.iter().all(|(wanted, _)| wanted != name)
        };
        let executed = match statement.work {
            Work::Execute { prepared, .. } => Some(prepared),
            _ => None,
        };
        let is_missing = executed.is_some_and(|prepared| !self.prepared.contains_key(prepared));
        let reset =
            self.values.iter().any(is_stale) || (is_missing && MAX_PREPARED <= self.prepared.len());
        if !reset && !is_missing && self.values == statement.values {
            return Ok(());
        }
        let held = if reset { Vec::new() } else { std::mem::take(&mut self.values) };
        if reset {
            self.prepared.clear();
        }
        let mut messages = Vec::new();
        if reset {
            messages.push(Message::internal(InstanceCommand::Reset));
        }
        let missing = statement.values.iter().filter(|pair| !held.contains(pair));
        messages.extend(
            missing.map(|(name, value)| Message::internal(InstanceCommand::Set { name, value })),
        );
        let name = format!("s{}", self.serial);
        let wanted = executed.filter(|_| reset || is_missing);
        if let Some(Prepared { access, shape }) = wanted {
            let command = InstanceCommand::Prepare { name: &name, access: *access, shape };
            messages.push(Message::internal(command));
        }
        let replies = self.exchange(&messages).await?;
        if let Some(failure) = replies.iter().find_map(|reply| reply.outcome.as_ref().err()) {
            // Some of the values may be set and others not.
            self.sound = false;
            return Err(refusal(failure, Verdict::NotRun));
        }
        self.values = statement.values.to_vec();
        if let Some(prepared) = wanted {
            self.prepared.insert(prepared.clone(), name);
            self.serial += 1;
        }
        Ok(())
    }

    async fn run(
        &mut self,
        statement: Statement<'_>,
        after: Option<LogPoint>,
        state: TransactionState,
    ) -> Result<Reply, Refusal> {
        let name = self.name_of(statement.work);
        let message =
            Message { id: Some(statement.id), after, command: command(statement.work, &name) };
        let reply = self.exchange(&[message]).await?.remove(0);
        self.check(reply, state)
    }

    /// Runs a read in the open transaction and rolls that back in the same round trip.
    async fn run_and_roll_back(&mut self, statement: Statement<'_>) -> Result<Reply, Refusal> {
        let name = self.name_of(statement.work);
        let message = Message {
            id: Some(statement.id),
            after: None,
            command: command(statement.work, &name),
        };
        let mut replies =
            self.exchange(&[message, Message::internal(InstanceCommand::Rollback)]).await?;
        let end = replies.pop().map(|reply| reply.state);
        self.expect(end.unwrap_or(TransactionState::Failed), TransactionState::Idle)?;
        let reply = replies.remove(0);
        let state = reply.state;
        self.check(reply, state)
    }

    fn check(&mut self, reply: Reply, state: TransactionState) -> Result<Reply, Refusal> {
        match &reply.outcome {
            Ok(_) => {
                self.expect(reply.state, state)?;
                Ok(reply)
            }
            Err(failure) => {
                if failure.kind == FailureKind::UnknownStatement {
                    // The connection has lost what it had prepared.
                    self.sound = false;
                }
                self.sound &= reply.state == TransactionState::Idle;
                Err(refusal(failure, failure.kind.verdict()))
            }
        }
    }

    async fn exchange(&mut self, messages: &[Message<'_>]) -> Result<Vec<Reply>, Refusal> {
        // A dropped or failed exchange leaves answers on the way.
        let was_sound = std::mem::replace(&mut self.sound, false);
        let replies = self.link.exchange(messages).await.map_err(|error| lost(&error))?;
        self.sound = was_sound && replies.len() == messages.len();
        if replies.len() != messages.len() {
            return Err(lost(&LinkError::Lost("answers are missing")));
        }
        Ok(replies)
    }

    fn expect(&mut self, found: TransactionState, wanted: TransactionState) -> Result<(), Refusal> {
        if found == wanted {
            return Ok(());
        }
        self.sound = false;
        let detail = "the connection is in another state than expected";
        Err(Refusal::may_have_run(RefusalCode::UpstreamLost, detail))
    }

    fn name_of(&self, work: &Work) -> String {
        match work {
            Work::Execute { prepared, .. } => {
                self.prepared.get(prepared).cloned().unwrap_or_default()
            }
            _ => String::new(),
        }
    }
}

/// Gets the mark of a session's values.
pub fn hash_settings(values: &[(String, String)]) -> SettingsHash {
    let mut hasher = DefaultHasher::new();
    values.hash(&mut hasher);
    SettingsHash(hasher.finish())
}

fn command<'a>(work: &'a Work, name: &'a str) -> InstanceCommand<'a> {
    match work {
        Work::Read(text) => InstanceCommand::Read(text),
        Work::Write(text) => InstanceCommand::Write(text),
        Work::Execute { arguments, .. } => InstanceCommand::Execute { name, arguments },
        Work::Commit => InstanceCommand::Commit,
        Work::Rollback => InstanceCommand::Rollback,
    }
}

/// Makes the refusal of a statement that an instance answered with an error.
pub fn refusal(failure: &Failure, verdict: Verdict) -> Refusal {
    let code = match failure.kind {
        FailureKind::Busy | FailureKind::TooManyConnections => RefusalCode::QueueFull,
        FailureKind::Behind => RefusalCode::ReplicaBehind,
        FailureKind::NotPrimary => RefusalCode::NotPrimary,
        FailureKind::UnknownStatement | FailureKind::WrongInstance => {
            RefusalCode::UpstreamUnavailable
        }
        FailureKind::TimedOut => RefusalCode::Timeout,
        FailureKind::Failed | FailureKind::Malformed | FailureKind::Other => {
            RefusalCode::UpstreamError
        }
    };
    Refusal { code, verdict, retry_after: None, detail: format!("instance: {}", failure.kind) }
}

/// Makes the refusal of a statement whose connection broke.
pub fn lost(error: &LinkError) -> Refusal {
    match error {
        LinkError::Refused(failure) => refusal(failure, Verdict::NotRun),
        LinkError::Connect(_) | LinkError::NotListening | LinkError::Closed => {
            Refusal::not_run(RefusalCode::UpstreamUnavailable, error.to_string())
        }
        LinkError::Lost(_) => Refusal::may_have_run(RefusalCode::UpstreamLost, error.to_string()),
    }
}

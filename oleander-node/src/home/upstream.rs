//! One connection to an instance with the session state that it holds.

use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;

use oleander_core::budget::ByteBudget;
use oleander_core::line::FieldError;
use oleander_core::line::Tail;
use oleander_core::line::Word;
use oleander_core::terms::LogPoint;
use oleander_core::time::Span;
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
use oleander_ports::upstream::RowMeter;
use oleander_ports::upstream::TransactionState;
use oleander_session::work::HomeRequest;
use oleander_session::work::Prepared;
use oleander_session::work::Work;

/// The maximum number of prepared statements on one connection. To prepare another, the connection
/// drops its whole session state first.
const MAX_PREPARED: usize = 256;

/// The maximum length in bytes of their texts together, but for a single longer one.
const MAX_PREPARED_BYTES: usize = 32 << 10;

/// The maximum length in bytes of the settings and statements on a connection that is kept while no
/// statement runs. Many connections are idle; one that holds more is closed.
const MAX_IDLE_BYTES: usize = 64 << 10;

/// The `retry_after` of a refusal because all answers together hold too much: the time in which a caller
/// reads a large one.
const ROOM_RETRY_AFTER: Span = Span::from_millis(200);

/// `UpstreamConnection` is a connection with the session settings and prepared statements on it.
pub struct UpstreamConnection {
    link: Box<dyn Link>,
    /// What the rows of answers are held from.
    answers: Arc<ByteBudget>,
    settings: Vec<(String, String)>,
    /// The prepared statements, each with its name on the connection.
    prepared: HashMap<Prepared, String>,
    /// The length of their texts.
    prepared_bytes: usize,
    /// The number in the name of the next prepared statement.
    serial: u32,
    /// `false` once an exchange has left the connection in an unknown or unexpected state.
    reusable: bool,
    /// The transaction state after the last exchange.
    state: TransactionState,
}

/// `IdleConnection` is a connection on which no transaction is open and whose session state is known,
/// so that it may serve a statement of any caller of its workspace. Only the pool keeps these.
#[derive(Debug)]
pub struct IdleConnection(UpstreamConnection);

impl IdleConnection {
    /// Returns `true` if the instance has not closed the link.
    pub fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    /// Returns the hash of the session settings that the connection holds.
    pub fn settings_hash(&self) -> SettingsHash {
        hash_settings(&self.0.settings)
    }

    /// Takes the connection into use.
    pub fn into_connection(self) -> UpstreamConnection {
        self.0
    }
}

impl std::fmt::Debug for UpstreamConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamConnection")
            .field("reusable", &self.reusable)
            .finish_non_exhaustive()
    }
}

/// `Statement` is a statement to run for a caller's session. All its texts can be sent to an instance.
#[derive(Clone, Copy, Debug)]
pub struct Statement<'a> {
    /// The caller's identifier of the statement, which is passed to the instance.
    id: Word<'a>,
    /// The settings of the caller's session, in the order of their names.
    settings: &'a [(String, String)],
    /// What the instance has to do.
    work: &'a Work,
}

impl<'a> Statement<'a> {
    /// Checks the texts of a request, which another VM may have sent.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if a text cannot be sent to an instance as one field.
    pub fn new(request: &'a HomeRequest) -> Result<Self, Refusal> {
        let HomeRequest { statement, workspace, values, work, .. } = request;
        word(workspace)?;
        for pair in values {
            set_command(pair)?;
        }
        match work {
            Work::Read(text) | Work::Write(text) => drop(tail(text)?),
            Work::Execute { prepared, arguments } => {
                tail(&prepared.shape)?;
                tail(arguments)?;
            }
            Work::Commit | Work::Rollback => {}
        }
        Ok(Self { id: word(statement)?, settings: values, work })
    }
}

/// `FreshnessCheck` is the condition under which an instance may run a single statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FreshnessCheck {
    /// The log of the instance must include the point; `None` sets no condition.
    After(Option<LogPoint>),
    /// The instance must be the primary. The statement runs in a read-write transaction, which only
    /// the primary opens.
    Primary,
}

impl UpstreamConnection {
    /// Wraps a newly opened link; the rows of its answers are held from `answers`.
    pub fn new(link: Box<dyn Link>, answers: Arc<ByteBudget>) -> Self {
        Self {
            link,
            answers,
            settings: Vec::new(),
            prepared: HashMap::new(),
            prepared_bytes: 0,
            serial: 0,
            reusable: true,
            state: TransactionState::Idle,
        }
    }

    /// Returns the connection as one that may serve another caller, if the link is open, no exchange
    /// has left it in an unknown or unexpected state, no transaction is open, and it does not hold too
    /// much.
    ///
    /// # Errors
    /// Returns the connection itself otherwise; dropping it closes the link, which rolls back a
    /// transaction.
    pub fn into_idle(mut self) -> Result<IdleConnection, Self> {
        let is_idle = self.state == TransactionState::Idle;
        if self.reusable && is_idle && self.held_bytes() <= MAX_IDLE_BYTES && self.link.is_open() {
            Ok(IdleConnection(self))
        } else {
            Err(self)
        }
    }

    /// Returns `true` if the instance has not closed the link.
    pub fn is_open(&mut self) -> bool {
        self.link.is_open()
    }

    /// Returns `true` unless an exchange has left the connection in an unknown or unexpected state.
    pub fn is_known(&self) -> bool {
        self.reusable
    }

    /// Runs a statement outside a transaction.
    ///
    /// # Errors
    /// Fails if the connection breaks, the check is not satisfied or the statement fails.
    pub async fn run_single(
        &mut self,
        statement: Statement<'_>,
        check: FreshnessCheck,
    ) -> Result<Reply, Refusal> {
        self.apply_session(statement).await?;
        match check {
            FreshnessCheck::After(after) => {
                self.run(statement, after, TransactionState::Idle).await
            }
            FreshnessCheck::Primary => {
                self.begin(false, None).await?;
                self.run_and_roll_back(statement).await
            }
        }
    }

    /// Opens a transaction; the log of the instance must include `after`, if it is set.
    ///
    /// # Errors
    /// Fails with verdict `NotRun` if the instance refuses, and with a refusal that says whether it
    /// may have run if the connection breaks.
    pub async fn begin(&mut self, read_only: bool, after: Option<LogPoint>) -> Result<(), Refusal> {
        let message = Message { id: None, after, command: InstanceCommand::Begin { read_only } };
        let reply = self.exchange(&[message]).await?.remove(0);
        if let Err(failure) = reply.outcome {
            self.reusable &= reply.state == TransactionState::Idle;
            return Err(failure_refusal(&failure, Verdict::NotRun));
        }
        self.expect_state(reply.state, TransactionState::Open)
    }

    /// Runs a statement, commit or rollback in the open transaction.
    ///
    /// # Errors
    /// Fails if the connection breaks or the statement fails.
    pub async fn run_in_transaction(&mut self, statement: Statement<'_>) -> Result<Reply, Refusal> {
        self.apply_session(statement).await?;
        let state =
            if statement.work.is_end() { TransactionState::Idle } else { TransactionState::Open };
        self.run(statement, None, state).await
    }

    /// Rolls back the open transaction.
    ///
    /// # Errors
    /// Fails if the connection breaks or is not idle afterwards.
    pub async fn roll_back(&mut self) -> Result<(), Refusal> {
        let reply = self.exchange(&[Message::internal(InstanceCommand::Rollback)]).await?.remove(0);
        self.expect_state(reply.state, TransactionState::Idle)
    }

    /// Sets the session's settings on the connection and prepares the statement to be executed,
    /// both only if missing.
    ///
    /// A setting that the session lacks, or too many prepared statements, require a reset of the
    /// connection's session state.
    async fn apply_session(&mut self, statement: Statement<'_>) -> Result<(), Refusal> {
        let is_surplus = |(name, _): &(String, String)| {
            statement.settings.iter().all(|(wanted, _)| wanted != name)
        };
        let executed = match statement.work {
            Work::Execute { prepared, .. } => Some(prepared),
            _ => None,
        };
        let is_missing = executed.is_some_and(|prepared| !self.prepared.contains_key(prepared));
        let reset = self.settings.iter().any(is_surplus)
            || executed.is_some_and(|prepared| is_missing && !self.has_room(prepared));
        if !reset && !is_missing && self.settings == statement.settings {
            return Ok(());
        }
        let name = format!("s{}", self.serial);
        let wanted = executed.filter(|_| reset || is_missing);
        let mut messages = Vec::new();
        if reset {
            messages.push(Message::internal(InstanceCommand::Reset));
        }
        let held: &[(String, String)] = if reset { &[] } else { &self.settings };
        for pair in statement.settings.iter().filter(|pair| !held.contains(pair)) {
            messages.push(Message::internal(set_command(pair)?));
        }
        if let Some(prepared) = wanted {
            messages.push(Message::internal(prepare_command(prepared, &name)?));
        }
        // Until the exchange has ended, the connection counts as one that holds nothing.
        self.settings.clear();
        if reset {
            self.prepared.clear();
            self.prepared_bytes = 0;
        }
        let replies = self.exchange(&messages).await?;
        if let Some(failure) = replies.iter().find_map(|reply| reply.outcome.as_ref().err()) {
            // Some of the settings may have been applied and others not.
            self.reusable = false;
            return Err(failure_refusal(failure, Verdict::NotRun));
        }
        self.settings = statement.settings.to_vec();
        if let Some(prepared) = wanted {
            self.prepared_bytes += prepared.shape.len();
            self.prepared.insert(prepared.clone(), name);
            self.serial += 1;
        }
        Ok(())
    }

    /// Returns the length of the settings and prepared statements that the connection holds.
    fn held_bytes(&self) -> usize {
        let settings = self.settings.iter().map(|(name, value)| name.len() + value.len());
        settings.sum::<usize>() + self.prepared_bytes
    }

    /// Returns `true` if another statement may be prepared on the connection beside those on it.
    fn has_room(&self, prepared: &Prepared) -> bool {
        self.prepared.is_empty()
            || (self.prepared.len() < MAX_PREPARED
                && self.prepared_bytes + prepared.shape.len() <= MAX_PREPARED_BYTES)
    }

    async fn run(
        &mut self,
        statement: Statement<'_>,
        after: Option<LogPoint>,
        state: TransactionState,
    ) -> Result<Reply, Refusal> {
        let name = self.prepared_name(statement.work);
        let command = command(statement.work, &name)?;
        let message = Message { id: Some(statement.id), after, command };
        let replies = self.exchange(&[message]).await;
        let reply = replies.map_err(|refusal| answer_refusal(statement.work, refusal))?.remove(0);
        self.check_reply(reply, state)
    }

    /// Runs a read in the open transaction and rolls the transaction back in the same round trip.
    async fn run_and_roll_back(&mut self, statement: Statement<'_>) -> Result<Reply, Refusal> {
        let name = self.prepared_name(statement.work);
        let command = command(statement.work, &name)?;
        let message = Message { id: Some(statement.id), after: None, command };
        let replies = self.exchange(&[message, Message::internal(InstanceCommand::Rollback)]).await;
        let mut replies = replies.map_err(|refusal| answer_refusal(statement.work, refusal))?;
        let end = replies.pop().map(|reply| reply.state);
        self.expect_state(end.unwrap_or(TransactionState::Failed), TransactionState::Idle)?;
        let reply = replies.remove(0);
        let state = reply.state;
        self.check_reply(reply, state)
    }

    /// Checks that a reply reports success and the transaction state `state`. After a failure the
    /// connection is reusable only if no transaction is open on it and the instance still knows its
    /// prepared statements.
    fn check_reply(&mut self, reply: Reply, state: TransactionState) -> Result<Reply, Refusal> {
        match &reply.outcome {
            Ok(_) => {
                self.expect_state(reply.state, state)?;
                Ok(reply)
            }
            Err(failure) => {
                if failure.kind == FailureKind::UnknownStatement {
                    // The instance no longer knows the statements prepared on the connection.
                    self.reusable = false;
                }
                self.reusable &= reply.state == TransactionState::Idle;
                Err(failure_refusal(failure, failure.kind.verdict()))
            }
        }
    }

    async fn exchange(&mut self, messages: &[Message<'_>]) -> Result<Vec<Reply>, Refusal> {
        // If the exchange fails or its future is dropped, replies may still be in flight, so the
        // connection counts as not reusable until it has succeeded.
        let was_reusable = std::mem::replace(&mut self.reusable, false);
        let mut meter = RowMeter::new(self.answers.clone());
        let replies = self.link.exchange(messages, &mut meter).await;
        let mut replies = replies.map_err(|error| link_refusal(&error))?;
        if let Some(reply) = replies.first_mut() {
            reply.held = meter.into_held();
        }
        if replies.len() != messages.len() {
            return Err(link_refusal(&LinkError::Lost("answers are missing")));
        }
        self.reusable = was_reusable;
        self.state = replies.last().map_or(self.state, |reply| reply.state);
        Ok(replies)
    }

    fn expect_state(
        &mut self,
        found: TransactionState,
        wanted: TransactionState,
    ) -> Result<(), Refusal> {
        if found == wanted {
            return Ok(());
        }
        self.reusable = false;
        let detail = "the connection is in another state than expected";
        Err(Refusal::may_have_run(RefusalCode::UpstreamLost, detail))
    }

    fn prepared_name(&self, work: &Work) -> String {
        match work {
            Work::Execute { prepared, .. } => {
                self.prepared.get(prepared).cloned().unwrap_or_default()
            }
            _ => String::new(),
        }
    }
}

/// Returns the hash of a session's settings, by which the pool finds a connection that already
/// holds them.
pub fn hash_settings(settings: &[(String, String)]) -> SettingsHash {
    let mut hasher = DefaultHasher::new();
    settings.hash(&mut hasher);
    SettingsHash(hasher.finish())
}

/// Returns the command for a statement; `name` is that of the prepared statement to execute.
fn command<'a>(work: &'a Work, name: &'a str) -> Result<InstanceCommand<'a>, Refusal> {
    Ok(match work {
        Work::Read(text) => InstanceCommand::Read(tail(text)?),
        Work::Write(text) => InstanceCommand::Write(tail(text)?),
        Work::Execute { arguments, .. } => {
            InstanceCommand::Execute { name: word(name)?, arguments: tail(arguments)? }
        }
        Work::Commit => InstanceCommand::Commit,
        Work::Rollback => InstanceCommand::Rollback,
    })
}

fn set_command((name, value): &(String, String)) -> Result<InstanceCommand<'_>, Refusal> {
    Ok(InstanceCommand::Set { name: word(name)?, value: tail(value)? })
}

fn prepare_command<'a>(
    prepared: &'a Prepared,
    name: &'a str,
) -> Result<InstanceCommand<'a>, Refusal> {
    let Prepared { access, shape } = prepared;
    Ok(InstanceCommand::Prepare { name: word(name)?, access: *access, shape: tail(shape)? })
}

/// Checks a text that other fields follow.
pub fn word(text: &str) -> Result<Word<'_>, Refusal> {
    Word::new(text).map_err(field_refusal)
}

fn tail(text: &str) -> Result<Tail<'_>, Refusal> {
    Tail::new(text).map_err(field_refusal)
}

fn field_refusal(error: FieldError) -> Refusal {
    let detail = format!("home: a text of the statement {error}");
    Refusal::not_run(RefusalCode::BadRequest, detail)
}

/// Returns the refusal of a statement that an instance answered with an error.
pub fn failure_refusal(failure: &Failure, verdict: Verdict) -> Refusal {
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
    let detail = format!("instance: {}", failure.kind);
    Refusal { code, verdict, retry_after: None, detail, charged: false }
}

/// Returns the refusal of a statement whose connection could not be opened or broke.
pub fn link_refusal(error: &LinkError) -> Refusal {
    match error {
        LinkError::Refused(failure) => failure_refusal(failure, Verdict::NotRun),
        LinkError::Connect(_) | LinkError::NotListening | LinkError::Closed => {
            Refusal::not_run(RefusalCode::UpstreamUnavailable, error.to_string())
        }
        LinkError::Lost(_) => Refusal::may_have_run(RefusalCode::UpstreamLost, error.to_string()),
        LinkError::TooLarge => {
            Refusal::may_have_run(RefusalCode::AnswerTooLarge, error.to_string())
        }
        LinkError::NoRoom => Refusal::may_have_run(RefusalCode::AnswerTooLarge, error.to_string())
            .with_retry_after(ROOM_RETRY_AFTER),
    }
}

/// Adjusts the refusal of a statement whose answer was not kept. A read has no effect, so that it counts
/// as not run if it may succeed later, and as failed if its rows are too many.
pub fn answer_refusal(work: &Work, refusal: Refusal) -> Refusal {
    if refusal.code != RefusalCode::AnswerTooLarge || work.is_write() {
        return refusal;
    }
    let verdict = if refusal.retry_after.is_some() { Verdict::NotRun } else { Verdict::Ran };
    Refusal { verdict, ..refusal }
}

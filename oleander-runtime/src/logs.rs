//! Structured logs: numbered events as JSON lines, and a ring buffer of the latest ones.
//!
//! Each program has its own `Journal`; all journals of a process write through one logger. Fields
//! are typed and contain names, numbers and identifiers, never a caller's key, a statement or a
//! row.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Level;
use log::LevelFilter;
use log::Record;
use log::kv::Value;
use oleander_core::events::Event;
use oleander_core::time::Span;
use oleander_core::time::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;
use crate::errors::Result;
use crate::errors::setup_error;
use crate::output::BoundedOutput;

/// The number of records in a journal's ring buffer.
pub const RING_LENGTH: usize = 1_024;

/// The maximum number of records of one event that a journal accepts in `BUDGET_PERIOD`.
pub const EVENT_BUDGET: u32 = 100;

/// The period after which the budget of an event is renewed.
pub const BUDGET_PERIOD: Span = Span::from_secs(1);

/// The maximum length in bytes of a text in a record; a longer one is cut, and its full length is told.
pub const MAX_TEXT_BYTES: usize = 256;

/// `FieldValue` is the value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FieldValue {
    /// A whole number.
    Number(u64),
    /// A name, an identifier or a reason.
    Text(String),
}

/// `Field` is a named value of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The name, in snake case.
    pub name: &'static str,
    /// The value.
    pub value: FieldValue,
}

impl Field {
    /// Creates a numeric field.
    pub fn number(name: &'static str, value: impl Into<u64>) -> Self {
        Self { name, value: FieldValue::Number(value.into()) }
    }

    /// Creates a text field from the `Display` form of `value`.
    pub fn text(name: &'static str, value: impl std::fmt::Display) -> Self {
        Self { name, value: FieldValue::Text(value.to_string()) }
    }

    /// Creates a numeric field that holds `span` in whole milliseconds.
    pub fn millis(name: &'static str, span: Span) -> Self {
        Self { name, value: FieldValue::Number(span.as_millis()) }
    }
}

/// `EventRecord` is a recorded event, in the form that the operator tool reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The serial number in the journal, starting at 1.
    pub serial: u64,
    /// The wall-clock time in milliseconds since 1970, for display only.
    pub unix_ms: u64,
    /// The name of the program that recorded the event, such as `proxy/vm-3`.
    pub program: String,
    /// The number of the event.
    pub number: u16,
    /// The name of the event.
    pub event: String,
    /// The fields.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// Sets up the log writer of the process, which writes JSON lines to standard output.
///
/// Later calls only change the level.
///
/// # Errors
/// Fails if another logger has already been installed.
pub fn init(level: LevelFilter) -> Result<()> {
    static INITIALIZED: Mutex<bool> = Mutex::new(false);
    let mut initialized = INITIALIZED.lock().unwrap_or_else(PoisonError::into_inner);
    if !*initialized {
        let append = BoundedOutput::new(std::io::stdout());
        let builder = logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(append));
        if builder.try_apply().is_err() {
            return setup_error("another logger has been set up");
        }
        *initialized = true;
    }
    log::set_max_level(level);
    Ok(())
}

/// `Journal` records the events of one program. Clones share the ring buffer.
#[derive(Clone, Debug)]
pub struct Journal {
    program: Arc<str>,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Journal {
    /// Creates an empty journal for the program with this name, such as `proxy/vm-3`.
    pub fn new(program: &str, clock: Clock) -> Self {
        Self { program: program.into(), clock, state: Arc::default() }
    }

    /// Records an event: writes a log line and adds an entry to the ring buffer.
    ///
    /// After `EVENT_BUDGET` records of one event in a `BUDGET_PERIOD`, further ones are only
    /// counted. The next accepted record of the event has their number in the field `omitted`.
    pub fn record(&self, event: Event, fields: &[Field]) {
        self.record_at(self.clock.now(), event, fields);
    }

    /// Records an event like `record`; `now` is the time by the journal's clock, which only the
    /// budget depends on.
    pub fn record_at(&self, now: Time, event: Event, fields: &[Field]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(omitted) = state.admit(event, now) else {
            return;
        };
        state.serial += 1;
        let record = self.build_record(state.serial, event, fields, omitted);
        write_line(event, &record);
        if RING_LENGTH <= state.ring.len() {
            state.ring.pop_front();
        }
        state.ring.push_back(record);
    }

    /// Returns the records in the ring buffer, oldest first.
    pub fn recent(&self) -> Vec<EventRecord> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.ring.iter().cloned().collect()
    }

    /// Returns the records in the ring buffer as JSON texts, oldest first, as sent by the peer
    /// protocol.
    pub fn recent_json(&self) -> Vec<String> {
        self.recent().iter().filter_map(|record| serde_json::to_string(record).ok()).collect()
    }

    fn build_record(
        &self,
        serial: u64,
        event: Event,
        fields: &[Field],
        omitted: u32,
    ) -> EventRecord {
        let mut map = serde_json::Map::new();
        for field in fields {
            let value = match &field.value {
                FieldValue::Number(number) => (*number).into(),
                FieldValue::Text(text) if text.len() <= MAX_TEXT_BYTES => text.as_str().into(),
                FieldValue::Text(text) => shortened(text).into(),
            };
            map.insert(field.name.to_owned(), value);
        }
        if 0 < omitted {
            map.insert("omitted".to_owned(), omitted.into());
        }
        EventRecord {
            serial,
            unix_ms: unix_millis(),
            program: self.program.to_string(),
            number: event.number(),
            event: event.to_string(),
            fields: map,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    serial: u64,
    ring: VecDeque<EventRecord>,
    budgets: HashMap<Event, Budget>,
}

/// `Budget` counts the records of one event in the current `BUDGET_PERIOD`.
#[derive(Debug, Default)]
struct Budget {
    /// The start of the period.
    start: Time,
    used: u32,
    /// The number of records omitted since the last accepted one.
    omitted: u32,
}

impl State {
    /// Charges the budget of an event. Returns the number of records omitted before this one;
    /// `None` if this one is omitted too.
    fn admit(&mut self, event: Event, now: Time) -> Option<u32> {
        let budget = self.budgets.entry(event).or_default();
        if BUDGET_PERIOD <= now.since(budget.start) {
            budget.start = now;
            budget.used = 0;
        }
        if EVENT_BUDGET <= budget.used {
            budget.omitted = budget.omitted.saturating_add(1);
            return None;
        }
        budget.used += 1;
        Some(std::mem::take(&mut budget.omitted))
    }
}

/// Cuts a text to `MAX_TEXT_BYTES` and appends its full length.
fn shortened(text: &str) -> String {
    let mut end = MAX_TEXT_BYTES;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    format!("{}... ({} bytes)", &text[..end], text.len())
}

fn write_line(event: Event, record: &EventRecord) {
    let level = level(event);
    if log::max_level() < level {
        return;
    }
    let mut pairs = vec![
        ("program", Value::from(record.program.as_str())),
        ("number", Value::from(record.number)),
        ("serial", Value::from(record.serial)),
    ];
    pairs.extend(record.fields.iter().map(|(name, value)| (name.as_str(), log_value(value))));
    log::logger().log(
        &Record::builder()
            .level(level)
            .target("oleander")
            .key_values(&pairs.as_slice())
            .args(format_args!("{}", record.event))
            .build(),
    );
}

fn log_value(value: &serde_json::Value) -> Value<'_> {
    match value {
        serde_json::Value::Number(number) => Value::from(number.as_u64().unwrap_or_default()),
        other => Value::from(other.as_str().unwrap_or_default()),
    }
}

/// Returns the log level of an event.
fn level(event: Event) -> Level {
    match event {
        Event::RevisionRejected
        | Event::CurrencyLost
        | Event::SharesSuspended
        | Event::StoreUnreachable
        | Event::PeerSuspected
        | Event::InstanceSuspected
        | Event::PromotionAbandoned
        | Event::PromotionUnproven
        | Event::ConnectionSilent
        | Event::ConnectionPoisoned
        | Event::ConnectionFailed => Level::Warn,
        _ => Level::Info,
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

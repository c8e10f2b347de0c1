//! Structured logs: JSON lines of numbered events, and a ring of the latest ones.
//!
//! Each program keeps a `Journal` of its own; all journals of a process write
//! through one logger. Fields are typed and hold names, numbers and
//! identifiers, never a caller's key, a statement or a row.

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

/// The number of recent events that a journal keeps.
pub const RING_LENGTH: usize = 1_024;

/// The number of records of one event that a journal takes in `BUDGET_PERIOD`.
pub const EVENT_BUDGET: u32 = 100;

/// The time over which `EVENT_BUDGET` is counted.
pub const BUDGET_PERIOD: Span = Span::from_secs(1);

/// `FieldValue` is the value of a field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FieldValue {
    /// A whole number.
    Number(u64),
    /// A name, an identifier or a reason.
    Text(String),
}

/// `Field` is one named value of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The name, in snake case.
    pub name: &'static str,
    /// The value.
    pub value: FieldValue,
}

impl Field {
    /// Makes a field that holds a number.
    pub fn number(name: &'static str, value: impl Into<u64>) -> Self {
        Self { name, value: FieldValue::Number(value.into()) }
    }

    /// Makes a field that holds a text.
    pub fn text(name: &'static str, value: impl std::fmt::Display) -> Self {
        Self { name, value: FieldValue::Text(value.to_string()) }
    }

    /// Makes a field that holds a span in milliseconds.
    pub fn millis(name: &'static str, span: Span) -> Self {
        Self { name, value: FieldValue::Number(span.as_millis()) }
    }
}

/// `EventRecord` is a record as journals keep it and as the operator tool reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The serial number in the journal, from 1.
    pub serial: u64,
    /// The wall-clock time in milliseconds since 1970, for people only.
    pub unix_ms: u64,
    /// The program that recorded the event.
    pub program: String,
    /// The number of the event.
    pub number: u16,
    /// The name of the event.
    pub event: String,
    /// The fields.
    pub fields: serde_json::Map<String, serde_json::Value>,
}

/// Sets up the process's log writer: JSON lines on the standard output.
///
/// Calls after the first one change the level only.
///
/// # Errors
/// Fails if another library has taken the place of the logger.
pub fn init(level: LevelFilter) -> Result<()> {
    static DONE: Mutex<bool> = Mutex::new(false);
    let mut done = DONE.lock().unwrap_or_else(PoisonError::into_inner);
    if !*done {
        let append = BoundedOutput::new(std::io::stdout());
        let builder = logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(append));
        if builder.try_apply().is_err() {
            return setup_error("another logger has been set up");
        }
        *done = true;
    }
    log::set_max_level(level);
    Ok(())
}

/// `Journal` records the events of one program. Clones share the ring.
#[derive(Clone, Debug)]
pub struct Journal {
    program: Arc<str>,
    clock: Clock,
    state: Arc<Mutex<State>>,
}

impl Journal {
    /// Makes an empty journal for the program of this name, such as `proxy/vm-3`.
    pub fn new(program: &str, clock: Clock) -> Self {
        Self { program: program.into(), clock, state: Arc::default() }
    }

    /// Records an event: a log line and an entry in the ring.
    ///
    /// Beyond `EVENT_BUDGET` records of one event in a `BUDGET_PERIOD` the
    /// event is only counted; the next record taken tells how many were left out
    /// in the field `omitted`.
    pub fn record(&self, event: Event, fields: &[Field]) {
        self.record_at(self.clock.now(), event, fields);
    }

    /// Records an event as `record` does, at the time `now` of the journal's clock.
    pub fn record_at(&self, now: Time, event: Event, fields: &[Field]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(omitted) = state.admit(event, now) else {
            return;
        };
        state.serial += 1;
        let record = self.make_record(state.serial, event, fields, omitted);
        write_line(event, &record);
        if RING_LENGTH <= state.ring.len() {
            state.ring.pop_front();
        }
        state.ring.push_back(record);
    }

    /// Gets the recent records, oldest first.
    pub fn recent(&self) -> Vec<EventRecord> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.ring.iter().cloned().collect()
    }

    /// Gets the recent records as JSON texts, oldest first, as the peer protocol carries them.
    pub fn recent_json(&self) -> Vec<String> {
        self.recent().iter().filter_map(|record| serde_json::to_string(record).ok()).collect()
    }

    fn make_record(
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
                FieldValue::Text(text) => text.as_str().into(),
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

#[derive(Debug, Default)]
struct Budget {
    start: Time,
    used: u32,
    omitted: u32,
}

impl State {
    /// Gets the number of records left out before this one; `None` if this one is left out too.
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

/// Gets the log level of an event.
fn level(event: Event) -> Level {
    match event {
        Event::RevisionRejected
        | Event::CurrencyLost
        | Event::SharesSuspended
        | Event::StoreUnreachable
        | Event::PeerSuspected
        | Event::InstanceSuspected
        | Event::PromotionAbandoned
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

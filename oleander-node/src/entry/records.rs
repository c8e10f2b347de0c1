//! Logs and metrics of requests.

use std::sync::atomic::Ordering;

use oleander_config::model::Matcher;
use oleander_core::events::Event;
use oleander_core::level::Level;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_runtime::logs::Field;

use super::route::Admitted;
use super::session::Entry;

/// One in this many served requests is logged.
pub const LOG_SAMPLE_INTERVAL: u64 = 256;

/// The label under which refusals are counted for names that the configuration does not have. Callers
/// choose such names without a key, so that labels made of them would have no bound.
pub const UNKNOWN_NAME: &str = "unknown";

impl Entry {
    /// Counts and logs a refusal. `name` is the database name that the caller gave, and `admitted`
    /// is `None` if the request was refused before its admission.
    pub(super) fn record_refusal(
        &self,
        statement: &str,
        name: &str,
        admitted: Option<&Admitted>,
        refusal: &Refusal,
    ) {
        let view = self.fleet.view();
        let workspace = admitted.map_or("", |admitted| admitted.name.as_str());
        let upstream = admitted.map_or("", |admitted| admitted.route.database.as_str());
        let fields = [
            Field::text("statement", statement),
            Field::text("database", name),
            Field::text("upstream", upstream),
            Field::text("workspace", workspace),
            Field::text("code", refusal.code),
            Field::text("verdict", refusal.verdict),
            Field::text("detail", &refusal.detail),
            Field::millis("retry_after", refusal.retry_after.unwrap_or(Span::ZERO)),
            Field::number("revision", view.snapshot.revision.0),
        ];
        let age = self.fleet.view_age().map(|age| Field::millis("age", age));
        let level = admitted.map(|admitted| admitted.level).filter(|_| self.has_levels());
        let fields: Vec<Field> =
            fields.into_iter().chain(age).chain(level.map(level_field)).collect();
        self.journal.record(Event::RequestRefused, &fields);
        let is_configured =
            admitted.is_some() || view.snapshot.route(&Matcher::Session(name.to_owned())).is_some();
        let kind = if is_configured { name } else { UNKNOWN_NAME };
        self.metrics.count_refusal(workspace, kind, refusal.code);
        if let Some(level) = level {
            self.metrics.count(&format!("level.refused.{level}"), 1);
        }
    }

    /// Counts a statement that a home has run, with its wait for a slot.
    pub(super) fn record_wait(&self, level: Level, queued: Span) {
        if !self.has_levels() {
            return;
        }
        self.metrics.count(&format!("level.run.{level}"), 1);
        let millis = u32::try_from(queued.as_millis()).unwrap_or(u32::MAX);
        self.metrics.count(&format!("level.wait_ms.{level}"), millis);
    }

    /// Returns `true` if requests are served in the order of their levels.
    fn has_levels(&self) -> bool {
        self.fleet.settings.overload
    }

    /// Records the latency of a served request and logs one in `LOG_SAMPLE_INTERVAL`.
    pub(super) fn record_served(
        &self,
        statement: &str,
        name: &str,
        admitted: &Admitted,
        latency: Span,
    ) {
        self.metrics.record_latency(&admitted.name, name, latency);
        if !self.served.fetch_add(1, Ordering::Relaxed).is_multiple_of(LOG_SAMPLE_INTERVAL) {
            return;
        }
        let fields = [
            Field::text("statement", statement),
            Field::text("database", name),
            Field::text("workspace", &admitted.name),
            Field::millis("latency", latency),
        ];
        let level = self.has_levels().then(|| level_field(admitted.level));
        let fields: Vec<Field> = fields.into_iter().chain(level).collect();
        self.journal.record(Event::RequestServed, &fields);
    }
}

fn level_field(level: Level) -> Field {
    Field::number("level", level.0)
}

//! The file format of a history: JSON lines, each with one call, logged write, rate or overrun.

use std::io::BufRead;
use std::io::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::history::record::Applied;
use crate::history::record::Call;

/// `History` is the record of a run that the checks work on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The calls, in any order.
    pub calls: Vec<Call>,
    /// The writes in the upstreams' logs at the end of the run; those of one database are in log
    /// order.
    pub applied: Vec<Applied>,
    /// The rate limits that were in force during the whole run.
    pub rates: Vec<RateLimit>,
    /// The limits that the upstreams saw exceeded.
    pub overruns: Vec<Overrun>,
}

/// `RateLimit` is the rate limit of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The name of the workspace.
    pub workspace: String,
    /// The sustained rate, in requests per second.
    pub rate: u32,
    /// The maximum number of requests in a burst.
    pub burst: u32,
}

/// `Overrun` is a limit of an instance that was exceeded during the run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Overrun {
    /// The database and the ordinal of the instance, as `database/ordinal`.
    pub instance: String,
    /// The limited resource: `slots` or `connections`.
    pub resource: String,
    /// The configured limit.
    pub limit: u32,
    /// The highest number in use at the same time.
    pub seen: u32,
}

/// `Line` is one line of a history file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Line {
    /// A call.
    Call(Call),
    /// A write in an upstream's log.
    Applied(Applied),
    /// A rate limit that was in force.
    Rate(RateLimit),
    /// A limit that was exceeded.
    Overrun(Overrun),
}

impl History {
    /// Adds the content of a line.
    pub fn push(&mut self, line: Line) {
        match line {
            Line::Call(call) => self.calls.push(call),
            Line::Applied(applied) => self.applied.push(applied),
            Line::Rate(rate) => self.rates.push(rate),
            Line::Overrun(overrun) => self.overruns.push(overrun),
        }
    }

    /// Reads a history from JSON lines and skips empty ones.
    ///
    /// # Errors
    ///
    /// Returns a message with the number of the first line that cannot be read or parsed.
    pub fn read(input: impl BufRead) -> Result<Self, String> {
        let mut history = Self::default();
        for (index, line) in input.lines().enumerate() {
            let error =
                |error: &dyn std::fmt::Display| format!("history: line {}: {error}", index + 1);
            let line = line.map_err(|cause| error(&cause))?;
            if !line.trim().is_empty() {
                history.push(serde_json::from_str(&line).map_err(|cause| error(&cause))?);
            }
        }
        Ok(history)
    }

    /// Writes the history as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to the output fails.
    pub fn write(&self, mut output: impl Write) -> std::io::Result<()> {
        let calls = self.calls.iter().cloned().map(Line::Call);
        let applied = self.applied.iter().cloned().map(Line::Applied);
        let rates = self.rates.iter().cloned().map(Line::Rate);
        let overruns = self.overruns.iter().cloned().map(Line::Overrun);
        for line in calls.chain(applied).chain(rates).chain(overruns) {
            serde_json::to_writer(&mut output, &line)?;
            output.write_all(b"\n")?;
        }
        Ok(())
    }
}

//! A history as JSON lines: one call, logged write, rate or overrun a line.

use std::io::BufRead;
use std::io::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::history::record::Applied;
use crate::history::record::Call;

/// `History` is all that is known of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// The calls, in any order.
    pub calls: Vec<Call>,
    /// The logs of the upstreams at the end; the lines of one database are in the order of its log.
    pub applied: Vec<Applied>,
    /// The rates that were in force over the whole run.
    pub rates: Vec<RateLimit>,
    /// The overruns that the upstreams counted.
    pub overruns: Vec<Overrun>,
}

/// `RateLimit` is the rate and burst of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// The workspace.
    pub workspace: String,
    /// The sustained rate in requests a second.
    pub rate: u32,
    /// The number of requests that may come at once.
    pub burst: u32,
}

/// `Overrun` is a limit that an upstream saw exceeded.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Overrun {
    /// The database and the instance.
    pub instance: String,
    /// What there was too much of: `slots` or `connections`.
    pub resource: String,
    /// The limit.
    pub limit: u32,
    /// The greatest number seen at once.
    pub seen: u32,
}

/// `Line` is one line of the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Line {
    /// A call.
    Call(Call),
    /// A write in an upstream's log.
    Applied(Applied),
    /// A rate in force.
    Rate(RateLimit),
    /// A limit exceeded.
    Overrun(Overrun),
}

impl History {
    /// Adds a line.
    pub fn push(&mut self, line: Line) {
        match line {
            Line::Call(call) => self.calls.push(call),
            Line::Applied(applied) => self.applied.push(applied),
            Line::Rate(rate) => self.rates.push(rate),
            Line::Overrun(overrun) => self.overruns.push(overrun),
        }
    }

    /// Reads a history from JSON lines; empty lines are skipped.
    ///
    /// # Errors
    ///
    /// Fails with the number of the first line that cannot be read.
    pub fn read(input: impl BufRead) -> Result<Self, String> {
        let mut history = Self::default();
        for (at, line) in input.lines().enumerate() {
            let error =
                |error: &dyn std::fmt::Display| format!("history: line {}: {error}", at + 1);
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
    /// Fails if the output does.
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

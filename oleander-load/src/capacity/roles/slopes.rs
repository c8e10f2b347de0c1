//! The lines of all series, read off at the target size.

use crate::capacity::fleet::shares_for;
use crate::capacity::line::Series;
use crate::capacity::target::Target;
use crate::capacity::wire;

/// The bytes of a TCP and IP header with the usual options, with the link's frame.
pub(super) const PACKET_BYTES: f64 = 66.0;

/// The packets of a call: request, answer, and an acknowledgement for each.
pub(super) const CALL_PACKETS: f64 = 4.0;

/// The homes of a database.
pub(super) const HOMES: f64 = 2.0;

/// `Slopes` reads lines off at the target size.
pub(super) struct Slopes<'a> {
    pub(super) series: &'a [Series],
    pub(super) target: &'a Target,
}

impl Slopes<'_> {
    /// Gets a series at the target size; not a number if it was not measured.
    pub(super) fn at_target(&self, name: &str) -> f64 {
        let size = |series: &Series| self.target.size(series.axis);
        let found = self.find(name).and_then(|series| Some(series.reading(size(series)?)));
        found.unwrap_or(f64::NAN)
    }

    /// Gets a series at a given size; not a number if it was not measured.
    pub(super) fn at(&self, name: &str, size: f64) -> f64 {
        self.find(name).map_or(f64::NAN, |series| series.reading(size))
    }

    fn find(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }

    /// Gets the requests a second of one VM.
    pub(super) fn requests(&self) -> f64 {
        self.target.statements / self.target.vms
    }

    /// Gets the bytes of a call with packet headers, beside its frames.
    pub(super) fn call_overhead(&self) -> f64 {
        self.at(wire::CALL_BYTES, 0.0) + CALL_PACKETS * PACKET_BYTES
    }

    /// Gets the processor time of one end of a call, in microseconds.
    pub(super) fn call_micros(&self) -> f64 {
        self.at(wire::CALL_TIME, 64.0) / 2.0
    }

    /// Gets the shares that change hands a day: all shares of a VM that stops, and as many again
    /// for the one that takes its place.
    pub(super) fn moved_shares(&self) -> f64 {
        let Target { failures, replacements, vms, .. } = self.target;
        let each = f64::from(shares_for(*vms as usize)) / vms;
        2.0 * (failures + replacements) * each
    }
}

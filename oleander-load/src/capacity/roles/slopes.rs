//! Estimates from all series at the target size.

use crate::capacity::fleet::shares_for;
use crate::capacity::line::Series;
use crate::capacity::target::Target;
use crate::capacity::wire;

/// The size of the link, IP and TCP headers of a packet with the usual options, in bytes.
pub(super) const PACKET_BYTES: f64 = 66.0;

/// The packets of a call: the request, the answer and an acknowledgement of each.
pub(super) const PACKETS_PER_CALL: f64 = 4.0;

/// The number of homes of a database.
pub(super) const HOMES_PER_DATABASE: f64 = 2.0;

/// `Slopes` estimates quantities from the series at the target size.
pub(super) struct Slopes<'a> {
    pub(super) series: &'a [Series],
    pub(super) target: &'a Target,
}

impl Slopes<'_> {
    /// Returns the value of a series at the target size; NaN if it was not measured or the target
    /// does not determine its size.
    pub(super) fn at_target(&self, name: &str) -> f64 {
        let size = |series: &Series| self.target.size(series.axis);
        let found = self.find(name).and_then(|series| Some(series.estimate(size(series)?)));
        found.unwrap_or(f64::NAN)
    }

    /// Returns the value of a series at a given size; NaN if it was not measured.
    pub(super) fn at(&self, name: &str, size: f64) -> f64 {
        self.find(name).map_or(f64::NAN, |series| series.estimate(size))
    }

    fn find(&self, name: &str) -> Option<&Series> {
        self.series.iter().find(|series| series.name == name)
    }

    /// Returns the requests per second of one VM.
    pub(super) fn requests(&self) -> f64 {
        self.target.statements / self.target.vms
    }

    /// Returns the bytes of a call that are not part of its frames, including packet headers.
    pub(super) fn call_overhead(&self) -> f64 {
        self.at(wire::CALL_BYTES, 0.0) + PACKETS_PER_CALL * PACKET_BYTES
    }

    /// Returns the processor time of one end of a call, in microseconds.
    pub(super) fn call_micros(&self) -> f64 {
        self.at(wire::CALL_TIME, 64.0) / 2.0
    }

    /// Returns the number of shares that change owners per day: all shares of each stopped VM, and
    /// the same number for the VM that replaces it.
    pub(super) fn moved_shares(&self) -> f64 {
        let Target { failures, replacements, vms, .. } = self.target;
        let each = f64::from(shares_for(*vms as usize)) / vms;
        2.0 * (failures + replacements) * each
    }
}

//! Series of measurements and the straight lines through them.

/// `Series` is one quantity, measured at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// What was measured, with its unit.
    pub name: &'static str,
    /// What the size counts.
    pub axis: Axis,
    /// The measurements.
    pub points: Vec<Point>,
    /// A measurement at the target size, as a check of the line.
    pub check: Option<Point>,
}

/// `Axis` is what the size of a series counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Axis {
    /// VMs of the fleet.
    Vms,
    /// Databases, with workspaces and routes in proportion.
    Databases,
    /// Requests that wait in a queue.
    Waiting,
    /// Databases that a session has seen.
    Marks,
    /// Instances of a database.
    Instances,
    /// Requests a second of one workspace.
    Rate,
    /// Bytes of a message's body.
    Bytes,
    /// Open connections of callers at one VM.
    Connections,
    /// Open connections to peers at one VM.
    Peers,
}

/// `Point` is one measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// `Line` is the straight line of least squares through a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// The growth for each unit of size.
    pub slope: f64,
    /// The greatest distance of a point from the line, as a part of the greatest value.
    pub error: f64,
}

impl Series {
    /// Makes an empty series.
    pub fn new(name: &'static str, axis: Axis) -> Self {
        Self { name, axis, points: Vec::new(), check: None }
    }

    /// Adds a measurement.
    pub fn push(&mut self, size: impl Into<f64>, value: f64) {
        self.points.push(Point { size: size.into(), value });
    }

    /// Gets the line through the measurements.
    pub fn line(&self) -> Line {
        fit(&self.points)
    }

    /// Reads the series off at a size, on the careful side.
    ///
    /// A line that falls with the size shows noise only, so the greatest measurement counts
    /// in its place. A check that lies above the line counts, too.
    pub fn reading(&self, size: f64) -> f64 {
        let line = self.line();
        let greatest = self.points.iter().map(|point| point.value).fold(f64::NAN, f64::max);
        let read = if line.slope < 0.0 { greatest } else { line.at(size) };
        let check = self.check.filter(|point| point.size <= size).map(|point| point.value);
        check.map_or(read, |check| read.max(check))
    }
}

impl Line {
    /// Gets the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line of least squares. One point or none gives a level line.
pub fn fit(points: &[Point]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let joint: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let slope = if spread == 0.0 { 0.0 } else { joint / spread };
    let base = mean_value - slope * mean_size;

    let line = Line { base, slope, error: 0.0 };
    let greatest = points.iter().map(|point| point.value.abs()).fold(0.0, f64::max);
    let distance =
        points.iter().map(|point| (line.at(point.size) - point.value).abs()).fold(0.0, f64::max);
    Line { error: if greatest == 0.0 { 0.0 } else { distance / greatest }, ..line }
}

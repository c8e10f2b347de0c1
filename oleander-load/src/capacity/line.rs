//! Series of measurements and linear fits through them.

/// `Series` holds the measurements of a quantity at several sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The measured quantity with its unit, which also identifies the series.
    pub name: &'static str,
    /// The meaning of the sizes.
    pub axis: Axis,
    /// The measurements that the line is fitted through.
    pub points: Vec<Point>,
    /// A measurement at the target size, to check the line; `None` if it was not measured there.
    pub check: Option<Point>,
}

/// `Axis` is the meaning of the sizes of a series.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Axis {
    /// The number of VMs of the fleet.
    Vms,
    /// The number of databases, with workspaces and routes in proportion.
    Databases,
    /// The number of requests waiting in a queue.
    Waiting,
    /// The number of marks in a session token, one for each database that the session has seen.
    Marks,
    /// The number of instances of a database.
    Instances,
    /// The requests per second of a workspace.
    Rate,
    /// The size of a message's body, in bytes.
    Bytes,
    /// The number of open client connections at a VM.
    Connections,
    /// The number of open peer connections at a VM.
    Peers,
}

/// `Point` is a measurement at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size, as the axis of the series counts it.
    pub size: f64,
    /// The measured value.
    pub value: f64,
}

/// `Line` is a line fitted through a series by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub base: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// The maximum distance of a point from the line, as a fraction of the maximum value.
    pub error: f64,
}

impl Series {
    /// Creates an empty series.
    pub fn new(name: &'static str, axis: Axis) -> Self {
        Self { name, axis, points: Vec::new(), check: None }
    }

    /// Adds a measurement.
    pub fn push(&mut self, size: impl Into<f64>, value: f64) {
        self.points.push(Point { size: size.into(), value });
    }

    /// Returns the line fitted through the measurements.
    pub fn line(&self) -> Line {
        fit(&self.points)
    }

    /// Returns a conservative estimate of the value at a size.
    ///
    /// A decreasing line is only noise, so the maximum measurement replaces it. A higher
    /// measurement in `check` takes precedence over the line if its size is not above `size`.
    pub fn estimate(&self, size: f64) -> f64 {
        let line = self.line();
        let greatest = self.points.iter().map(|point| point.value).fold(f64::NAN, f64::max);
        let read = if line.slope < 0.0 { greatest } else { line.at(size) };
        let check = self.check.filter(|point| point.size <= size).map(|point| point.value);
        check.map_or(read, |check| read.max(check))
    }
}

impl Line {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Fits a line by least squares. With one point or none, the line is constant.
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

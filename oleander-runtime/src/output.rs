//! Non-blocking output of log lines to a file descriptor.
//!
//! A reader that stalls must not delay requests. A line is dropped if the descriptor is not ready
//! for it, and the number of dropped lines is reported before the next line that is written.

use std::os::fd::AsFd;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::record::Record;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

/// The maximum length of a line in bytes, including the line end. It is `PIPE_BUF`, the amount that
/// a pipe reported as ready accepts whole.
pub const MAX_LINE_BYTES: usize = 4_096;

/// `BoundedOutput` writes JSON lines to a file descriptor without ever blocking on it.
#[derive(Debug)]
pub struct BoundedOutput<F> {
    fd: F,
    layout: JsonLayout,
    lost: AtomicU64,
}

impl<F: AsFd> BoundedOutput<F> {
    /// Creates an output to a file descriptor.
    pub fn new(fd: F) -> Self {
        Self { fd, layout: JsonLayout::default(), lost: AtomicU64::new(0) }
    }

    /// Returns the number of dropped lines that have not been reported yet.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Acquire)
    }

    /// Writes a line, or drops and counts it if it is longer than `MAX_LINE_BYTES` or the
    /// descriptor is not ready.
    pub fn write(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if MAX_LINE_BYTES < line.len() || !self.report_lost() || !self.try_write(&line) {
            self.lost.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Writes the number of dropped lines, if there are any. Returns `false` if that cannot be
    /// written either.
    fn report_lost(&self) -> bool {
        let lost = self.lost.swap(0, Ordering::AcqRel);
        if lost == 0 {
            return true;
        }
        let line = format!(
            "{{\"level\":\"WARN\",\"message\":\"log-lines-lost\",\"kvs\":{{\"lost\":{lost}}}}}\n"
        );
        let reported = self.try_write(line.as_bytes());
        if !reported {
            self.lost.fetch_add(lost, Ordering::AcqRel);
        }
        reported
    }

    fn try_write(&self, line: &[u8]) -> bool {
        self.is_ready() && rustix::io::write(&self.fd, line).is_ok_and(|count| count == line.len())
    }

    /// Returns `true` if the descriptor can be written to now.
    fn is_ready(&self) -> bool {
        let mut fds = [PollFd::new(&self.fd, PollFlags::OUT)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        rustix::event::poll(&mut fds, Some(&now)).is_ok_and(|ready| ready == 1)
            && fds[0].revents().contains(PollFlags::OUT)
    }
}

impl<F: AsFd + std::fmt::Debug + Send + Sync + 'static> Append for BoundedOutput<F> {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diagnostics)?;
        self.write(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

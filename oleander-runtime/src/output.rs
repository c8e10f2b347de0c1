//! The log's output: lines on a file descriptor that may be slow.
//!
//! A reader that stalls must not hold requests up. A line for which there is no
//! room is left out, and the next one that is written tells how many were.

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

/// The longest line, its end included: what a pipe that is ready takes whole (`PIPE_BUF`).
pub const MAX_LINE: usize = 4_096;

/// `BoundedOutput` writes JSON lines to a file descriptor and never waits for it.
#[derive(Debug)]
pub struct BoundedOutput<F> {
    fd: F,
    layout: JsonLayout,
    lost: AtomicU64,
}

impl<F: AsFd> BoundedOutput<F> {
    /// Makes an output on a file descriptor.
    pub fn new(fd: F) -> Self {
        Self { fd, layout: JsonLayout::default(), lost: AtomicU64::new(0) }
    }

    /// Gets the number of lines that were left out and not told yet.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Acquire)
    }

    /// Writes a line if there is room for it.
    pub fn write(&self, mut line: Vec<u8>) {
        line.push(b'\n');
        if MAX_LINE < line.len() || !self.tell_lost() || !self.put(&line) {
            self.lost.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Writes how many lines were left out. Returns `false` if there is no room for that either.
    fn tell_lost(&self) -> bool {
        let lost = self.lost.swap(0, Ordering::AcqRel);
        if lost == 0 {
            return true;
        }
        let line = format!(
            "{{\"level\":\"WARN\",\"message\":\"log-lines-lost\",\"kvs\":{{\"lost\":{lost}}}}}\n"
        );
        let told = self.put(line.as_bytes());
        if !told {
            self.lost.fetch_add(lost, Ordering::AcqRel);
        }
        told
    }

    fn put(&self, line: &[u8]) -> bool {
        self.is_ready() && rustix::io::write(&self.fd, line).is_ok_and(|count| count == line.len())
    }

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

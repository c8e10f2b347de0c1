//! Infrastructure shared by all programs: clock, timers, settings, logs, metrics and shutdown.
//!
//! Each program creates its own instances, so that several programs can run in one process. Only
//! the log writer is shared by the process.

pub mod clock;
pub mod errors;
pub mod logs;
pub mod metrics;
pub mod output;
pub mod settings;
pub mod shutdown;
pub mod timer;

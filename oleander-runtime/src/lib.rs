//! What every program needs beside its duty: clock, timers, settings, logs, metrics and shutdown.
//!
//! All parts are values that a program makes for itself, so that several
//! programs can run in one process. Only the log writer is shared.

pub mod clock;
pub mod errors;
pub mod logs;
pub mod metrics;
pub mod output;
pub mod settings;
pub mod shutdown;
pub mod timer;

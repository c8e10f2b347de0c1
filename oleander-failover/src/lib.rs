//! Failure detection, promotion and acknowledgement of replicated writes.

pub mod messages;

//! Decisions on a request: who may send it, which home and instance serve it, and what follows a failure.
//!
//! - `admit` checks route, key and audience at the entry VM, and the key again at the home.
//! - `homes` orders the homes of a database for an entry VM.
//! - `reads` chooses the instance for a read and checks the answer's position.
//! - `group_view` keeps what a home knows of a database group and feeds `reads`;
//!   `samples` and `lag` are its parts: the primary's progress over time and the delay of replicas.
//! - `retry` turns the place where a request was cut into a verdict and the next step; `budget` bounds the retries.

pub mod admit;
pub mod budget;
pub mod homes;
pub mod group_view;
pub mod lag;
pub mod lag_backoff;
pub mod reads;
pub mod retry;
pub mod samples;

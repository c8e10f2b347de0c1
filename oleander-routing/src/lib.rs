//! Routing decisions: admission, the choice of home and instance, and retries after a failure.
//!
//! A database has two homes: VMs that queue its requests and hold its upstream connections. The
//! entry VM is the one that a caller sends a request to; it forwards the request to a home.
//!
//! - `admit` checks route, key and audience at the entry VM, and the key again at the home.
//! - `homes` determines the homes of a database and the order in which an entry VM tries them.
//! - `reads` chooses the instance for a read and checks that the answer is recent enough.
//! - `lag_backoff` keeps reads away from replicas that were found behind.
//! - `group_view` collects the statuses of a database group that `reads` decides on. It is built
//!   from `samples`, the primary's log position over time, and `lag`, the delay of a replica.
//! - `meter` measures the answers of instances at their home; `outliers` detects the instances that
//!   fail or are slow compared with the others, and orders the candidates of reads accordingly.
//! - `places` determines which instances and VMs the allowed regions of a request permit.
//! - `retry` maps the point at which a request failed to a verdict and to the next step;
//!   `budget` limits the number of retries.

pub mod admit;
pub mod budget;
pub mod homes;
pub mod horizon;
pub mod group_view;
pub mod lag;
pub mod lag_backoff;
pub mod meter;
pub mod outliers;
pub mod places;
pub mod reads;
pub mod retry;
pub mod samples;

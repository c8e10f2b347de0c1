//! The duty to watch a database's primary, which one VM has at a time.
//!
//! `duties` takes the duties that fall to this VM through the store, `watcher`
//! runs the decisions of one duty, `inform` waits for the other VMs and `links`
//! talks to the instances.

pub mod duties;
pub mod inform;
pub mod links;
pub mod watcher;

//! Limits over the whole fleet and at one home: rates, queues, slots and open transactions.

pub mod home;
pub mod messages;
pub mod rates;

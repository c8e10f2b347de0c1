//! A stand-in for the platform's key-value store, with the JSON interface of etcd v3.

pub mod engine;
pub mod json;
pub mod server;

pub use server::Store;

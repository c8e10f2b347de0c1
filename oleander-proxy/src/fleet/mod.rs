//! What the proxy knows of the fleet, as its agent tells it.

pub mod subscription;
pub mod view;

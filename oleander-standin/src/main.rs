//! `oleander-standin` runs a platform of stand-ins on this machine until it is interrupted.
//!
//! It prints the address of the admin service and the initial state.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use oleander_standin::admin::Admin;
use oleander_standin::group::GroupOptions;
use oleander_standin::platform::Platform;

/// Stand-ins of the platform's store, VM list and database groups.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The number of database groups.
    #[arg(long, default_value_t = 3)]
    groups: usize,
    /// The number of instances of a group.
    #[arg(long, default_value_t = 3)]
    instances: u8,
    /// The data statements that an instance runs at a time.
    #[arg(long, default_value_t = 2)]
    slots: u32,
    /// The connections that an instance accepts.
    #[arg(long, default_value_t = 16)]
    connections: u32,
    /// The lag of the replicas in milliseconds.
    #[arg(long, default_value_t = 5)]
    lag: u64,
    /// The time that a data statement takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    service: u64,
    /// The time that a new connection takes, in milliseconds.
    #[arg(long, default_value_t = 10)]
    connect: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let arguments = Arguments::parse();
    let options = GroupOptions {
        instances: arguments.instances,
        slots: arguments.slots,
        connections: arguments.connections,
        lag: Duration::from_millis(arguments.lag),
        service: Duration::from_millis(arguments.service),
        connect: Duration::from_millis(arguments.connect),
    };
    let platform = Arc::new(Platform::start(arguments.groups, options).await?);
    let admin = Admin::start(Arc::clone(&platform))?;
    println!("admin {}", admin.address());
    println!("{}", serde_json::to_string_pretty(&platform.state())?);
    tokio::signal::ctrl_c().await
}

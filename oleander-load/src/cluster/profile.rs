//! The sizes of the two users, scaled to one machine.

use std::fmt::Write as _;
use std::net::SocketAddr;

use oleander_config::keys;
use oleander_core::places::Place;
use oleander_core::time::Span;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;

/// The number of instances of each database.
pub const INSTANCES: usize = 3;

/// The number of availability zones in each region.
const ZONES_PER_REGION: usize = 2;

/// `User` is one of the two users whose sizes are known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum User {
    /// Magnolia Crumb: ordering and delivery.
    Magnolia,
    /// Fraser: repair bookings and quotes.
    Fraser,
}

/// `Profile` is the size of one user.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The user.
    pub user: User,
    /// The regions.
    pub regions: [&'static str; 3],
    /// The databases.
    pub databases: [&'static str; 3],
    /// The workspaces with their load.
    pub workspaces: Vec<WorkspaceProfile>,
    /// The number of entry VMs.
    pub vms: usize,
    /// The statements that an instance runs at a time.
    pub slots: u32,
    /// The connections that an instance accepts.
    pub connections: u32,
    /// The time in which an instance accepts a connection.
    pub connect: Span,
    /// The time in which an instance runs a statement.
    pub service: Span,
    /// The time by which replicas lag.
    pub lag: Span,
}

/// `WorkspaceProfile` is a workspace with its limit and its load.
#[derive(Clone, Debug)]
pub struct WorkspaceProfile {
    /// The name.
    pub name: &'static str,
    /// The name of its database.
    pub database: &'static str,
    /// The rate limit in requests a second.
    pub rate: u32,
    /// The burst limit in requests.
    pub burst: u32,
}

impl Profile {
    /// Gets the profile of a user.
    pub fn of(user: User) -> Self {
        match user {
            User::Magnolia => magnolia(),
            User::Fraser => fraser(),
        }
    }

    /// Gets the place of the VM or instance with this number; neighbours stand in different regions.
    pub fn place(&self, number: usize) -> Place {
        let region = self.regions[number % self.regions.len()];
        let zone = number / self.regions.len() % ZONES_PER_REGION;
        Place { region: region.to_owned(), zone: format!("{region}-{zone}") }
    }

    /// Gets the key of a workspace as its callers present it.
    pub fn key(&self, workspace: &str) -> String {
        format!("{}-{workspace}-key", self.user)
    }

    /// Writes the section `workspaces`.
    pub fn workspaces_section(&self) -> String {
        let mut text = String::new();
        for workspace in &self.workspaces {
            let hash = keys::hex(&keys::hash_key(&self.key(workspace.name)).0);
            let _ = writeln!(text, "- name: {}\n  weight: 1\n  keys:", workspace.name);
            let _ = writeln!(text, "    - name: first\n      sha256: {hash}");
            let _ = writeln!(
                text,
                "  kinds:\n    - {{ name: order, weight: 5 }}\n    - {{ name: look-up, weight: 1 }}"
            );
        }
        text
    }

    /// Writes the section `workspaces` with another key in place of the given workspace's.
    pub fn workspaces_without_key(&self, workspace: &str) -> String {
        let hash = |key: &str| keys::hex(&keys::hash_key(key).0);
        let key = self.key(workspace);
        self.workspaces_section().replace(&hash(&key), &hash(&format!("{key}-next")))
    }

    /// Writes the section `rates`.
    pub fn rates_section(&self) -> String {
        let mut text = String::new();
        for workspace in &self.workspaces {
            let WorkspaceProfile { name, rate, burst, .. } = workspace;
            let _ = writeln!(text, "- {{ workspace: {name}, rate: {rate}/s, burst: {burst} }}");
        }
        text
    }

    /// Writes the section `upstreams`; `addresses` holds the instances of each database in order.
    pub fn upstreams_section(&self, addresses: &[Vec<SocketAddr>]) -> String {
        let mut text = String::new();
        for (number, (database, instances)) in self.databases.iter().zip(addresses).enumerate() {
            let _ = writeln!(text, "- name: {database}\n  acknowledge: replicated");
            let _ = writeln!(
                text,
                "  slots: {}\n  connections: {}\n  instances:",
                self.slots, self.connections
            );
            for (ordinal, address) in instances.iter().enumerate() {
                let Place { region, zone } = self.place(number + ordinal);
                let _ = writeln!(
                    text,
                    "    - {{ name: i{ordinal}, address: \"{address}\", region: {region}, zone: {zone} }}"
                );
            }
        }
        text
    }

    /// Writes the section `routes`: a write and a read class for each database.
    pub fn routes_section(&self) -> String {
        let mut text = String::new();
        for database in self.databases {
            for (class, access, kind, age) in [
                ("write", "write", "order", ""),
                ("upsert", "idempotent-write", "order", ""),
                ("read", "read", "look-up", ""),
                ("quote", "read", "look-up", ", max_age: 2s"),
            ] {
                let name = format!("{database}-{class}");
                let _ = writeln!(
                    text,
                    "- {{ name: {name}, class: {database}.{class}, database: {database}, access: {access}, kind: {kind}, audience: keyed, deadline: 2s, cost: 1{age} }}"
                );
            }
        }
        text
    }
}

fn magnolia() -> Profile {
    let databases = ["orders", "deliveries", "billing"];
    let names = ["rye", "focaccia", "brioche", "ciabatta", "pretzel", "bagel", "baguette", "naan"];
    Profile {
        user: User::Magnolia,
        regions: ["gulf-coast", "piedmont", "delta"],
        databases,
        workspaces: workspaces(names, databases),
        vms: 9,
        slots: 2,
        connections: 16,
        connect: Span::from_millis(10),
        service: Span::from_millis(4),
        lag: Span::from_millis(50),
    }
}

fn fraser() -> Profile {
    let databases = ["bookings", "chairs", "quotes"];
    let names = ["rocker", "settee", "stool", "bench", "cradle", "ladderback", "windsor", "carver"];
    Profile {
        user: User::Fraser,
        regions: ["lower-mainland", "okanagan", "vancouver-island"],
        databases,
        workspaces: workspaces(names, databases),
        vms: 7,
        slots: 3,
        connections: 35,
        connect: Span::from_millis(30),
        service: Span::from_millis(4),
        lag: Span::from_millis(50),
    }
}

/// Makes eight workspaces, of which the first two are large.
fn workspaces(names: [&'static str; 8], databases: [&'static str; 3]) -> Vec<WorkspaceProfile> {
    let make = |(number, name)| {
        let (rate, burst) = if number < 2 { (120, 60) } else { (30, 15) };
        WorkspaceProfile { name, database: databases[number % databases.len()], rate, burst }
    };
    names.into_iter().enumerate().map(make).collect()
}

//! Fleet profiles of the two users, scaled down to one machine.

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

/// The number of availability zones of each region.
const ZONES_PER_REGION: usize = 2;

/// `User` is an organisation whose fleet a profile models.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum User {
    /// Magnolia Crumb, which runs ordering and delivery.
    Magnolia,
    /// Fraser, which runs repair bookings and quotes.
    Fraser,
}

/// `Profile` is the size and the configuration of a user's fleet.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The user that the profile models.
    pub user: User,
    /// The names of the regions.
    pub regions: [&'static str; 3],
    /// The names of the databases.
    pub databases: [&'static str; 3],
    /// The workspaces, with their databases and limits.
    pub workspaces: Vec<WorkspaceProfile>,
    /// The number of entry VMs.
    pub vms: usize,
    /// The number of statements that an instance runs at the same time.
    pub slots: u32,
    /// The number of connections that an instance accepts.
    pub connections: u32,
    /// The time that an instance takes to accept a connection.
    pub connect: Span,
    /// The time that an instance takes to run a statement.
    pub service: Span,
    /// The replication lag of replicas.
    pub lag: Span,
}

/// `WorkspaceProfile` is a workspace with its database and its rate limit.
#[derive(Clone, Debug)]
pub struct WorkspaceProfile {
    /// The name of the workspace.
    pub name: &'static str,
    /// The name of the database that it uses.
    pub database: &'static str,
    /// The rate limit, in requests per second. The load is planned in percent of it.
    pub rate: u32,
    /// The burst limit, in requests.
    pub burst: u32,
}

impl Profile {
    /// Returns the profile of a user.
    pub fn of(user: User) -> Self {
        match user {
            User::Magnolia => magnolia(),
            User::Fraser => fraser(),
        }
    }

    /// Returns the place of the VM or instance with this number. Consecutive numbers are in
    /// different regions.
    pub fn place(&self, number: usize) -> Place {
        let region = self.regions[number % self.regions.len()];
        let zone = number / self.regions.len() % ZONES_PER_REGION;
        Place { region: region.to_owned(), zone: format!("{region}-{zone}") }
    }

    /// Returns the API key of a workspace as its clients send it.
    pub fn api_key(&self, workspace: &str) -> String {
        format!("{}-{workspace}-key", self.user)
    }

    /// Returns the text of the section `workspaces`.
    pub fn workspaces_section(&self) -> String {
        let mut text = String::new();
        for workspace in &self.workspaces {
            let hash = keys::hex(&keys::hash_key(&self.api_key(workspace.name)).0);
            let _ = writeln!(text, "- name: {}\n  weight: 1\n  keys:", workspace.name);
            let _ = writeln!(text, "    - name: first\n      sha256: {hash}");
            let _ = writeln!(
                text,
                "  kinds:\n    - {{ name: order, weight: 5 }}\n    - {{ name: look-up, weight: 1 }}"
            );
        }
        text
    }

    /// Returns the text of the section `workspaces` in which another API key replaces that of the
    /// given workspace.
    pub fn workspaces_without_key(&self, workspace: &str) -> String {
        let hash = |key: &str| keys::hex(&keys::hash_key(key).0);
        let key = self.api_key(workspace);
        self.workspaces_section().replace(&hash(&key), &hash(&format!("{key}-next")))
    }

    /// Returns the text of the section `rates`.
    pub fn rates_section(&self) -> String {
        let mut text = String::new();
        for workspace in &self.workspaces {
            let WorkspaceProfile { name, rate, burst, .. } = workspace;
            let _ = writeln!(text, "- {{ workspace: {name}, rate: {rate}/s, burst: {burst} }}");
        }
        text
    }

    /// Returns the text of the section `upstreams`. `addresses` holds the instances of each
    /// database, in the order of the databases.
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

    /// Returns the text of the section `routes`, with classes for writes, idempotent writes, reads
    /// and reads with a maximum age for each database.
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

/// Creates eight workspaces, the first two of which have a high rate limit. Assigns them to the
/// databases in turn.
fn workspaces(names: [&'static str; 8], databases: [&'static str; 3]) -> Vec<WorkspaceProfile> {
    let make = |(number, name)| {
        let (rate, burst) = if number < 2 { (120, 60) } else { (30, 15) };
        WorkspaceProfile { name, database: databases[number % databases.len()], rate, burst }
    };
    names.into_iter().enumerate().map(make).collect()
}

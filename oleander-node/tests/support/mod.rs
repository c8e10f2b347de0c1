//! Fixtures shared by several tests.

use oleander_core::line::Name;
use oleander_core::places::Place;
use oleander_core::time::Span;
use oleander_node::settings::HomePlacement;
use oleander_node::settings::NodeSettings;
use oleander_node::settings::StoreWatch;

/// Returns the settings of a VM without other VMs or zones.
pub fn settings() -> NodeSettings {
    NodeSettings {
        name: "vm".to_owned(),
        place: Place::default(),
        zones: [].into(),
        peers: "127.0.0.1:1".parse().unwrap(),
        revocation: Span::from_secs(5),
        grace: Span::from_secs(6),
        drain: Span::from_secs(7),
        lease: Span::from_secs(1),
        fenced: true,
        overload: false,
        outliers: false,
        homes: HomePlacement::Instance,
        watch: StoreWatch::Pair,
        cpu: 0.0,
        evacuation: Span::from_secs(5),
        reports: Span::from_millis(1_200),
        recovery: Span::from_secs(12),
    }
}

/// Returns the name of an instance or a database.
#[allow(dead_code, reason = "not each test file lists instances")]
pub fn name(text: &str) -> Name {
    Name::new(text).expect("a word")
}

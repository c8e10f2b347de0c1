//! Probes of the configuration: size of the text, check, snapshot and edits.

use std::fmt::Write as _;

use oleander_config::edit;
use oleander_config::keys::hash_key;
use oleander_config::keys::hex;
use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::Revision;
use oleander_membership::head::BodyHash;
use oleander_membership::patch::Patch;
use oleander_peer::codec;

use crate::capacity::line::Axis;
use crate::capacity::line::Point;
use crate::capacity::line::Series;
use crate::capacity::measure::bytes_per_value;
use crate::capacity::measure::nanos_per_call;

/// The measured numbers of databases.
const DATABASE_COUNTS: [u16; 3] = [60, 120, 240];

/// The target size, measured to check the extrapolation.
const TARGET_DATABASES: u16 = 670;

/// The names of the request kinds of a workspace.
const REQUEST_KINDS: [&str; 5] = ["order", "delivery", "charge", "lookup", "report"];

/// The number of routes to each database.
const ROUTES_PER_DATABASE: usize = 3;

/// The number of snapshots whose memory is measured.
const SNAPSHOT_COPIES: usize = 20;

/// The series of the size of the largest section.
pub const LARGEST_SECTION: &str = "configuration: bytes of the largest section";
/// The series of the total size of all sections.
pub const ALL_SECTIONS: &str = "configuration: bytes of all sections";
/// The series of the time to parse and compile all sections.
pub const CHECK_TIME: &str = "configuration: check, us";
/// The series of the memory of a snapshot.
pub const SNAPSHOT: &str = "configuration: snapshot, bytes";
/// The series of the size of the patch that an edit sends between peers.
pub const PATCH_SIZE: &str = "configuration: bytes of an edit's difference";

/// Measures configurations of several sizes and of the target size.
pub fn measure() -> Vec<Series> {
    let names = [LARGEST_SECTION, ALL_SECTIONS, CHECK_TIME, SNAPSHOT, PATCH_SIZE];
    let mut series = names.map(|name| Series::new(name, Axis::Databases)).to_vec();
    for size in DATABASE_COUNTS {
        for (series, value) in series.iter_mut().zip(measure_document(size)) {
            series.push(size, value);
        }
    }
    for (series, value) in series.iter_mut().zip(measure_document(TARGET_DATABASES)) {
        series.check = Some(Point { size: f64::from(TARGET_DATABASES), value });
    }
    series
}

fn measure_document(size: u16) -> [f64; 5] {
    let texts = document(usize::from(size));
    let lengths = texts.iter().map(|text| text.text.len() as f64);
    let snapshot = || {
        let document = parse_sections(&texts).expect("the document is made to be valid");
        Snapshot::new(Revision(1), document)
    };
    let check = nanos_per_call(2, |_| {
        std::hint::black_box(snapshot());
    });
    [
        lengths.clone().fold(0.0, f64::max),
        lengths.sum(),
        check / 1_000.0,
        bytes_per_value(SNAPSHOT_COPIES, snapshot),
        patch_bytes(&texts[0].text),
    ]
}

/// Returns the frame size of the patch for an additional API key, in bytes.
fn patch_bytes(text: &str) -> f64 {
    let granted = edit::grant_key(text, "workspace-0", "second", &hash_key("a key"));
    let granted = granted.expect("the workspace is there");
    let patch = Patch::between(text, BodyHash::of(text), &granted);
    codec::encode(&patch).map_or(0.0, |frame| frame.len() as f64)
}

/// Returns the sections of a configuration in the proportions of today's users: 8 workspaces for 3
/// databases of 3 instances.
pub fn document(databases: usize) -> Vec<SectionText> {
    let workspaces = databases * 8 / 3;
    [
        (Section::Workspaces, workspaces_text(workspaces)),
        (Section::Rates, rates_text(workspaces)),
        (Section::Upstreams, upstreams_text(databases)),
        (Section::Routes, routes_text(databases)),
    ]
    .map(|(section, text)| SectionText::new(section, text))
    .to_vec()
}

fn workspaces_text(count: usize) -> String {
    let mut text = String::new();
    for i in 0..count {
        let hash = hex(&hash_key(&format!("key {i}")).0);
        let _ = writeln!(text, "- name: workspace-{i}\n  weight: 2\n  keys:");
        let _ = writeln!(text, "    - {{name: first, sha256: {hash}}}\n  kinds:");
        for kind in REQUEST_KINDS {
            let _ = writeln!(text, "    - {{name: {kind}, weight: 3}}");
        }
    }
    text
}

fn rates_text(count: usize) -> String {
    let line = |i| format!("- {{workspace: workspace-{i}, rate: 700/s, burst: 1400}}\n");
    (0..count).map(line).collect()
}

fn upstreams_text(count: usize) -> String {
    let mut text = String::new();
    for i in 0..count {
        let _ = writeln!(text, "- name: database-{i}\n  slots: 2\n  connections: 16\n  instances:");
        for instance in 0..3 {
            let address = format!("10.{instance}.{}.{}:5432", i / 250, i % 250);
            let zone = (i + instance) % 8;
            let _ = writeln!(
                text,
                "    - {{name: instance-{instance}, address: \"{address}\", region: region-{}, zone: zone-{zone}}}",
                zone % 3
            );
        }
    }
    text
}

fn routes_text(databases: usize) -> String {
    let mut text = String::new();
    for i in 0..databases * ROUTES_PER_DATABASE {
        let _ = writeln!(text, "- name: route-{i}\n  class: class-{i}");
        let _ = writeln!(text, "  database: database-{}\n  access: read", i / ROUTES_PER_DATABASE);
        let _ = writeln!(
            text,
            "  kind: {}\n  audience: keyed\n  deadline: 800ms",
            REQUEST_KINDS[i % 5]
        );
    }
    text
}

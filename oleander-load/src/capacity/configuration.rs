//! Slopes of the configuration: text, check, compiled form and edits.

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

/// The numbers of databases.
const SIZES: [u16; 3] = [60, 120, 240];

/// The target size, measured as a check.
const CHECK: u16 = 670;

/// The kinds of requests of a workspace.
const KINDS: [&str; 5] = ["order", "delivery", "charge", "lookup", "report"];

/// The routes to each database.
const ROUTES: usize = 3;

/// The copies of a state whose memory is measured.
const COPIES: usize = 20;

/// The name of the series of the largest section.
pub const LARGEST: &str = "configuration: bytes of the largest section";
/// The name of the series of the whole text.
pub const TEXT: &str = "configuration: bytes of all sections";
/// The name of the series of the check's time.
pub const CHECK_TIME: &str = "configuration: check, us";
/// The name of the series of the snapshot's memory.
pub const SNAPSHOT: &str = "configuration: snapshot, bytes";
/// The name of the series of an edit's patch.
pub const PATCH: &str = "configuration: bytes of an edit's difference";

/// Measures documents of several sizes.
pub fn measure() -> Vec<Series> {
    let names = [LARGEST, TEXT, CHECK_TIME, SNAPSHOT, PATCH];
    let mut series = names.map(|name| Series::new(name, Axis::Databases)).to_vec();
    for size in SIZES {
        for (series, value) in series.iter_mut().zip(measure_document(size)) {
            series.push(size, value);
        }
    }
    for (series, value) in series.iter_mut().zip(measure_document(CHECK)) {
        series.check = Some(Point { size: f64::from(CHECK), value });
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
        bytes_per_value(COPIES, snapshot),
        patch_bytes(&texts[0].text),
    ]
}

/// Gets the bytes of the difference that a granted key makes.
fn patch_bytes(text: &str) -> f64 {
    let granted = edit::grant_key(text, "workspace-0", "second", &hash_key("a key"));
    let granted = granted.expect("the workspace is there");
    let patch = Patch::between(text, BodyHash::of(text), &granted);
    codec::encode(&patch).map_or(0.0, |frame| frame.len() as f64)
}

/// Makes a document with today's proportions: 8 workspaces for 3 databases of 3 instances.
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
    for at in 0..count {
        let hash = hex(&hash_key(&format!("key {at}")).0);
        let _ = writeln!(text, "- name: workspace-{at}\n  weight: 2\n  keys:");
        let _ = writeln!(text, "    - {{name: first, sha256: {hash}}}\n  kinds:");
        for kind in KINDS {
            let _ = writeln!(text, "    - {{name: {kind}, weight: 3}}");
        }
    }
    text
}

fn rates_text(count: usize) -> String {
    let line = |at| format!("- {{workspace: workspace-{at}, rate: 700/s, burst: 1400}}\n");
    (0..count).map(line).collect()
}

fn upstreams_text(count: usize) -> String {
    let mut text = String::new();
    for at in 0..count {
        let _ =
            writeln!(text, "- name: database-{at}\n  slots: 2\n  connections: 16\n  instances:");
        for instance in 0..3 {
            let address = format!("10.{instance}.{}.{}:5432", at / 250, at % 250);
            let zone = (at + instance) % 8;
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
    for at in 0..databases * ROUTES {
        let _ = writeln!(text, "- name: route-{at}\n  class: class-{at}");
        let _ = writeln!(text, "  database: database-{}\n  access: read", at / ROUTES);
        let _ = writeln!(text, "  kind: {}\n  audience: keyed\n  deadline: 800ms", KINDS[at % 5]);
    }
    text
}

//! Configuration sections of the size that a fleet of a given size needs.

use std::fmt::Write as _;

/// The number of databases per VM; the target size is 670 databases on 420 VMs.
const DATABASES_PER_VM: f64 = 670.0 / 420.0;

/// The number of workspaces per database.
const WORKSPACES_PER_DATABASE: usize = 3;

/// The names of the sections, in the order of the document.
pub const SECTIONS: [&str; 4] = ["rates", "routes", "upstreams", "workspaces"];

/// Returns the text of a section for a fleet of `vms` VMs after `edits` edits, each of which
/// changed one entry.
pub fn section(name: &str, vms: usize, edits: u64) -> String {
    let databases = (vms as f64 * DATABASES_PER_VM).ceil() as usize;
    let workspaces = databases * WORKSPACES_PER_DATABASE;
    let mut text = String::new();
    match name {
        "rates" => (0..workspaces).for_each(|number| {
            let rate = 100 + edits_of(number, workspaces, edits);
            let _ = writeln!(text, "- {{ workspace: workspace-{number}, rate: {rate}/s, burst: 200 }}");
        }),
        "routes" => (0..databases * 2).for_each(|number| {
            let cost = 1 + edits_of(number, databases * 2, edits);
            let _ = writeln!(text, "- {{ name: route-{number}, class: class-{number}, database: database-{}, access: read, kind: read, audience: keyed, deadline: 2s, cost: {cost} }}", number / 2);
        }),
        "upstreams" => (0..databases).for_each(|number| {
            let slots = 2 + edits_of(number, databases, edits);
            let _ = writeln!(text, "- name: database-{number}\n  acknowledge: replicated\n  slots: {slots}\n  connections: 16\n  instances:");
            for instance in 0..3 {
                let _ = writeln!(text, "    - {{ name: i{instance}, address: \"10.{instance}.{}.{}:5432\", region: r{instance}, zone: r{instance}-a }}", number / 250, number % 250);
            }
        }),
        _ => (0..workspaces).for_each(|number| {
            let weight = 1 + edits_of(number, workspaces, edits);
            let _ = writeln!(text, "- name: workspace-{number}\n  weight: {weight}\n  keys:\n    - {{ name: first, sha256: {:064x} }}", number * 7_919);
        }),
    }
    text
}

/// Returns how many of the edits changed entry `number` of `count`.
fn edits_of(number: usize, count: usize, edits: u64) -> u64 {
    let count = count as u64;
    let entry = |edit: u64| edit.wrapping_mul(2_654_435_761) % count;
    (1..=edits).filter(|edit| entry(*edit) == number as u64).count() as u64
}

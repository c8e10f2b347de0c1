//! Plays a case against the project's program: the platform, the instances and the requesters are
//! stand-ins, the VMs are processes of the program.
//!
//! Usage: standin CASE PROGRAM FOLDER RECORD. Exits with 1 if the rule was broken, with 0 if it held
//! and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod caller;
mod evacuated;
mod fleet;
mod group;
mod json;
mod lapse;
mod platform;
mod record;
mod restored;
mod store;

use std::path::Path;
use std::sync::Arc;

use record::Record;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken,
    Failed,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, record] = &arguments[..] else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(record)) else { std::process::exit(2) };
    let record = Arc::new(record);
    record.line(&format!("case {case}, disruption = {trouble}"));
    let (program, folder) = (Path::new(program), Path::new(folder));
    let outcome = match case.as_str() {
        "evacuated" => evacuated::play(program, folder, &record, trouble),
        "lapse" => lapse::play(program, folder, &record, trouble),
        "restored" => restored::play(program, folder, &record, trouble),
        _ => Outcome::Failed,
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::Failed => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    std::process::exit(code);
}

//! The cases of the second review that are scripts: `review-2 CASE PROGRAM RECORD`.
//!
//! Each starts the program as separate processes with stand-ins of the platform on loopback. It
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod cases;
mod fleet;
mod group;
mod http;
mod json;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Adds a line to the record, with the time since the start in seconds.
pub fn record(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().expect("no thread has failed");
        let _ = writeln!(file, "{:8.3} {line}", start.elapsed().as_secs_f64());
    }
}

/// `Outcome` is the result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, path] = arguments.as_slice() else {
        eprintln!("review-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let Ok(file) = File::create(path) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = cases::run(case, &PathBuf::from(program), &folder, trouble);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held"),
        Outcome::Broken => (1, "the rule was broken"),
        Outcome::NotRun => (2, "the case could not run"),
    };
    record(text);
    println!("{text}");
    ExitCode::from(code)
}

//! The cases of the third review that are scripts. `cases NAME FOLDER` plays one and writes
//! `record.txt` into the folder.

mod entries;
mod fleet;
mod foreign;
mod group;
mod http;
mod json;
mod limit;
mod load;
mod names;
mod platform;
mod rows;
mod statements;
mod store;
mod values;

use std::path::Path;
use std::path::PathBuf;
use std::process::exit;

use fleet::Vm;
use limit::Ends;
use load::Load;
use platform::Platform;

/// The number of VMs.
const VMS: usize = 3;

/// `Setting` is what each case gets.
pub struct Setting {
    /// The program under test.
    pub program: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    /// `false` if the case is played without its disruption.
    pub trouble: bool,
    /// The record, a line for each thing that was sent, answered or run.
    pub record: Vec<String>,
}

impl Setting {
    /// Adds a line to the record.
    pub fn note(&mut self, line: impl Into<String>) {
        self.record.push(line.into());
    }

    /// Starts the VMs; `None` unless all of them become ready.
    pub fn start_vms(&mut self, platform: &Platform) -> Option<Vec<Vm>> {
        let vm = |number| Vm::new(number, &self.program, &self.folder, platform.address);
        let mut vms: Vec<Vm> = (0..VMS).map(vm).collect();
        vms.iter_mut().for_each(Vm::start);
        let are_ready = vms.iter().all(Vm::wait_ready);
        if !are_ready {
            self.note("the VMs do not become ready");
        }
        are_ready.then_some(vms)
    }

    /// Records the ends of processes and what callers were answered.
    pub fn conclude(&mut self, platform: &Platform, vms: &[Vm], ends: Ends, load: Load) -> Verdict {
        self.record.extend(load.stop());
        self.record.extend(ends.lines.iter().cloned());
        for (vm, (count, most)) in vms.iter().zip(ends.counts.iter().zip(&ends.most)) {
            self.note(format!("{}: killed {count} times, {} MB at most", vm.name, most >> 20));
        }
        for (name, count) in &platform.group.lock().unwrap().ran {
            self.record.push(format!("{name} has run {count} statements"));
        }
        if ends.is_fault() { Verdict::Broken } else { Verdict::Held }
    }
}

/// `Verdict` is the outcome of a case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, target] = &arguments[..] else { exit(2) };
    let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let program = std::env::var("PROGRAM").unwrap_or("target/release/oleanderrudder".to_owned());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let program = PathBuf::from(program);
    let mut setting = Setting { program, folder, trouble, record: Vec::new() };
    let verdict = match name.as_str() {
        "entries" => entries::play(&mut setting),
        "foreign-primary" => foreign::play_primary(&mut setting),
        "foreign-replica" => foreign::play_replica(&mut setting),
        "names" => names::play(&mut setting),
        "rows" => rows::play(&mut setting),
        "statements" => statements::play(&mut setting),
        "values" => values::play(&mut setting),
        _ => Verdict::NotRun,
    };
    setting.note(format!("trouble: {trouble}; the rule: {verdict:?}"));
    let text = setting.record.join("\n") + "\n";
    let _ = std::fs::write(Path::new(target).join("record.txt"), text);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&setting.folder);
    }
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}

//! Helpers that run the tool against a store, and files for its arguments.

use std::path::PathBuf;

use clap::Parser as _;
use oleander_ctl::arguments::Arguments;
use oleander_ctl::commands;
use oleander_ctl::errors::Result;
use oleander_ctl::output::Output;
use oleander_standin::store::Store;

/// Returns the path of an example document.
pub fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

/// Writes a temporary file and returns its path; each test uses names of its own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns a path as a command-line argument.
pub fn text(path: &std::path::Path) -> &str {
    path.to_str().unwrap()
}

/// Runs the tool against the store.
pub async fn run(store: &Store, words: &[&str]) -> Result<Output> {
    let url = format!("http://{}", store.address());
    let line = ["oleanderctl", "--store", &url].into_iter().chain(words.iter().copied());
    commands::run(Arguments::try_parse_from(line).unwrap()).await
}

/// Publishes all sections of an example, each after the sections that it refers to.
pub async fn publish_example(store: &Store, name: &str) {
    let path = example(name);
    for section in ["workspaces", "rates", "upstreams", "routes"] {
        run(store, &["apply", "--section", section, text(&path)]).await.unwrap();
    }
}

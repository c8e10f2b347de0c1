//! A store and a run of the tool against it.

use std::path::PathBuf;

use clap::Parser as _;
use oleander_ctl::arguments::Arguments;
use oleander_ctl::commands;
use oleander_ctl::errors::Result;
use oleander_ctl::output::Output;
use oleander_standin::store::Store;

/// Gets the path of an example document.
pub fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

/// Writes a file for one test and gets its path.
pub fn file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Gets a path as an argument.
pub fn text(path: &std::path::Path) -> &str {
    path.to_str().unwrap()
}

/// Runs the tool against the store.
pub async fn run(store: &Store, words: &[&str]) -> Result<Output> {
    let url = format!("http://{}", store.address());
    let line = ["oleanderctl", "--store", &url].into_iter().chain(words.iter().copied());
    commands::run(Arguments::try_parse_from(line).unwrap()).await
}

/// Publishes all sections of an example, in the order in which references allow it.
pub async fn publish_example(store: &Store, name: &str) {
    let path = example(name);
    for section in ["workspaces", "rates", "upstreams", "routes"] {
        run(store, &["apply", "--section", section, text(&path)]).await.unwrap();
    }
}

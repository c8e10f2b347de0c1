//! `oleanderctl` is the operators' command line.

fn main() {}

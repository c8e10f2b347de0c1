//! `oleanderctl` is the operators' command-line tool.

use std::process::ExitCode;

use clap::Parser as _;
use oleander_ctl::arguments::Arguments;
use oleander_ctl::commands;
use oleander_ctl::output;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let form = arguments.output;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("oleanderctl: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(commands::run(arguments)) {
        Ok(output) => output::print_output(&output, form),
        Err(error) => output::print_error(&error, form),
    }
}

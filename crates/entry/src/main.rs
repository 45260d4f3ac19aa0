//! The daemon of an entry VM: one process, all alike, that keeps nothing.

mod clock;
mod duty;
mod follow;
mod gateway;
mod http;
mod member;
mod metrics;
mod node;
mod owner;
mod peer;
mod planner;
mod run;
mod server;
mod settings;
mod store;
mod trace;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};

fn main() -> ExitCode {
    let path = Arg::new("settings")
        .long("settings")
        .env("CORIANDERFORK_BOOT")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("The settings file, INI");
    let command = Command::new("corianderfork-entry")
        .about("Takes jobs from callers and runs them on the pools' workers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(path);
    let matches = command.get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::FAILURE };
    match settings::Settings::read(path) {
        Ok(settings) => run::run(settings, path),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

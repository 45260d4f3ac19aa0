//! The daemon of an entry VM; see the library of the same name.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use corianderfork_entry::settings::Settings;

fn main() -> ExitCode {
    let path = Arg::new("settings")
        .long("settings")
        .env(corianderfork_adapter::SETTINGS)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("The settings file, INI");
    let command = Command::new("corianderfork-entry")
        .about("Takes jobs from callers and runs them on the pools' workers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(path);
    let matches = command.get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::FAILURE };
    match Settings::read(path) {
        Ok(settings) => corianderfork_entry::run(settings, path),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

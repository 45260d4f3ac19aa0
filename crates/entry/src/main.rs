//! The executable of the entry daemon; see the library of the same name.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use corianderfork_entry::settings::Settings;

fn main() -> ExitCode {
    let path = Arg::new("settings")
        .long("settings")
        .env(corianderfork_adapter::SETTINGS_VAR)
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Path of the settings file (INI)");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    let command = Command::new("corianderfork-entry")
        .about("Takes jobs from callers and runs them on the pools' workers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(path)
        .arg(check);
    let matches = command.get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::FAILURE };
    match Settings::read(path) {
        Ok(_) if matches.get_flag("check") => {
            println!("the settings are in order");
            ExitCode::SUCCESS
        }
        Ok(settings) => corianderfork_entry::run(settings, path),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

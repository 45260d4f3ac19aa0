//! The executable of the entry daemon; see the library of the same name.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use corianderfork_entry::settings::Settings;

/// The environment variable that holds the VM's memory.
const MEMORY_VAR: &str = "ENTRY_MEMORY_MB";

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
    // The platform fills in nothing where it doesn't know it.
    let memory = Arg::new("memory-mb").long("memory-mb").env(MEMORY_VAR).help(
        "The VM's memory in MiB, where the settings don't say it; ignored if it is no number",
    );
    let command = Command::new("corianderfork-entry")
        .about("Takes jobs from callers and runs them on the pools' workers")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(path)
        .arg(memory)
        .arg(check);
    let matches = command.get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else { return ExitCode::FAILURE };
    let memory = matches.get_one::<String>("memory-mb").and_then(|text| text.parse::<f64>().ok());
    let memory_mb = memory.map_or(0, |megabytes| megabytes as u64);
    match Settings::read(path).map(|settings| settings.or_memory(memory_mb)) {
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

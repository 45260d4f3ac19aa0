//! The controller daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, crate_version, value_parser};
use corianderfork_controller::{Settings, daemon};

fn command() -> Command {
    Command::new("corianderfork-controller")
        .about("Manages copies, placement and waves while it holds the lease")
        .version(crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The settings file, in INI format"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .help("Log filter that overrides the settings: a level or MODULE=LEVEL,…"),
        )
}

fn run() -> miette::Result<()> {
    let matches = command().get_matches();
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings = Settings::read(&path).map_err(|error| miette::miette!("{error}"))?;
    if matches.get_flag("check") {
        println!("the settings are in order");
        return Ok(());
    }
    let filter = matches.get_one::<String>("log").unwrap_or(&settings.process.log);
    corianderfork_runtime::log::set_up(settings.process.log_format, filter)
        .map_err(|error| miette::miette!("{error}"))?;
    daemon::run(settings).map_err(|error| miette::miette!("{error}"))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

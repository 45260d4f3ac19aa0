//! The proxy daemon. See the library of this crate.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};
use corianderfork_proxy::settings::Settings;
use corianderfork_runtime::log;

fn main() -> ExitCode {
    let args = Command::new("corianderfork-proxy")
        .about("Forwards requests of callers to backend servers")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("The INI file with this process's settings"),
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
        .get_matches();
    let path = args.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let filter = args.get_one::<String>("log").cloned();
    match start(&path, args.get_flag("check"), filter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn start(path: &std::path::Path, check_only: bool, filter: Option<String>) -> miette::Result<()> {
    let settings = Settings::read(path).map_err(|error| miette::miette!("{error}"))?;
    if check_only {
        println!("the settings are in order");
        return Ok(());
    }
    let filter = filter.unwrap_or_else(|| settings.process.log.clone());
    log::set_up(settings.process.log_format, &filter)
        .map_err(|error| miette::miette!("{error}"))?;
    let ready = |bound: corianderfork_proxy::run::Bound| {
        println!("ready callers {} peers {}", bound.callers, bound.peers);
    };
    corianderfork_proxy::run(settings, ready).map_err(|error| miette::miette!("{error}"))
}

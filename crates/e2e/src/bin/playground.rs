//! Starts the whole system on loopback, calls it while a rack is maintained and a
//! proxy is killed, and prints a table of the results.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use corianderfork_e2e::config::User;
use corianderfork_e2e::playground;

fn main() -> ExitCode {
    let args = Command::new("playground")
        .about("The whole system on loopback: serve, maintain a rack, kill a proxy, count")
        .arg(
            Arg::new("user")
                .long("user")
                .default_value("gourmoti")
                .value_parser(["gourmoti", "indus"])
                .help("Whose fleet"),
        )
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Exit non-zero if anything was doubled, lost or crossed"),
        )
        .get_matches();
    let name = args.get_one::<String>("user").map_or("gourmoti", String::as_str);
    let report = playground::run(User::from_name(name).unwrap_or_default());
    println!("{report}");
    if args.get_flag("once") && !report.is_clean() {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

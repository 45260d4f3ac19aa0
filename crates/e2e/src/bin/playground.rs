//! Starts the whole system on loopback, puts it to work while a rack is
//! maintained and a proxy is killed, and ends with a table.

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
    let table = playground::run(User::find(name).unwrap_or_default());
    println!("{table}");
    if args.get_flag("once") && !table.is_clean() {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

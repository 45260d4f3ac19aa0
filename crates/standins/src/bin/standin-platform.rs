//! A stand-in for the platform.

use std::error::Error;
use std::net::TcpListener;
use std::{fs, thread};

use clap::{Arg, Command, value_parser};
use corianderfork_standins::platform::{self, Config};

fn main() -> Result<(), Box<dyn Error>> {
    let number = |name, default| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let args = Command::new("standin-platform")
        .about("Stands in for the platform; prints `ready <ip:port>`")
        .arg(Arg::new("listen").long("listen").default_value("127.0.0.1:0"))
        .arg(Arg::new("vms").long("vms").default_value("").help("A file or a comma list"))
        .arg(number("reboot-ms", "2000"))
        .arg(number("list-lag-ms", "0"))
        .arg(number("usage-lag-ms", "2000"))
        .get_matches();
    let text = |name| args.get_one::<String>(name).cloned().unwrap_or_default();
    let ms = |name| args.get_one::<u64>(name).copied().unwrap_or_default();
    let vms = text("vms");
    let vms = fs::read_to_string(&vms).unwrap_or(vms);
    let names = vms.split([',', '\n']).map(str::trim).filter(|name| !name.is_empty());
    let config = Config {
        reboot_ms: ms("reboot-ms"),
        list_lag_ms: ms("list-lag-ms"),
        usage_lag_ms: ms("usage-lag-ms"),
        vms: names.map(str::to_owned).collect(),
    };
    let server = platform::start(TcpListener::bind(text("listen"))?, config)?;
    println!("ready {}", server.address());
    loop {
        thread::park();
    }
}

//! A stand-in for the backend servers of a whole fleet.

use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::thread;

use clap::{Arg, ArgMatches, Command};
use corianderfork_standins::{backend::Host, runner::Config};

fn main() -> Result<(), Box<dyn Error>> {
    let arg = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    let platform = Arg::new("platform").long("platform").help("The platform's ip:port");
    let args = Command::new("standin-backend")
        .about("Stands in for backend servers; prints `ready <admin ip:port>`")
        .arg(platform)
        .arg(arg("admin", "127.0.0.1:0"))
        .arg(arg("host", "127.0.0.1"))
        .arg(arg("runners", "").help("Runners from the start: vm/service,…"))
        .arg(arg("run-ms", "5"))
        .arg(arg("warm-ms", "200"))
        .arg(arg("linger-ms", "1000"))
        .arg(arg("slots", "8"))
        .arg(arg("queue", "4"))
        .arg(arg("connections", "64"))
        .arg(arg("pad", "64"))
        .arg(arg("seed", "1"))
        .get_matches();
    let config = Config {
        host: text(&args, "host").parse()?,
        slots: text(&args, "slots").parse()?,
        queue: text(&args, "queue").parse()?,
        connections: text(&args, "connections").parse()?,
        run_ms: text(&args, "run-ms").parse()?,
        warm_ms: text(&args, "warm-ms").parse()?,
        linger_ms: text(&args, "linger-ms").parse()?,
        pad: text(&args, "pad").parse()?,
        seed: text(&args, "seed").parse()?,
    };
    let host = Host::new(config);
    for runner in text(&args, "runners").split(',').filter(|r| !r.is_empty()) {
        let (vm, service) = runner.split_once('/').ok_or("write a runner as vm/service")?;
        host.open(vm, service)?;
    }
    if let Some(platform) = args.get_one::<String>("platform") {
        host.follow(platform.parse::<SocketAddr>()?);
    }
    let admin = host.serve_admin(TcpListener::bind(text(&args, "admin"))?)?;
    println!("ready {}", admin.address());
    loop {
        thread::park();
    }
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

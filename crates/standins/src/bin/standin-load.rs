//! A stand-in for callers.

use std::error::Error;
use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use corianderfork_standins::load::{self, Config, Load};

fn main() -> Result<(), Box<dyn Error>> {
    let arg = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default)
    };
    let args = Command::new("standin-load")
        .about("A bounded load of lookups and transfers; prints a summary as JSON")
        .arg(Arg::new("targets").long("targets").required(true).help("ip:port,…"))
        .arg(Arg::new("services").long("services").required(true).help("name,…"))
        .arg(arg("transfers", "20%"))
        .arg(arg("rate", "100").help("Calls a second"))
        .arg(arg("seconds", "5"))
        .arg(arg("seed", "1"))
        .arg(arg("workers", "32").help("Callers at work at once"))
        .arg(arg("timeout-ms", "5000").help("For one attempt"))
        .arg(arg("attempts", "3"))
        .arg(arg("body", "128").help("Bytes of a transfer's body"))
        .arg(Arg::new("history").long("history").help("The file for the history"))
        .get_matches();
    let percent: f64 = text(&args, "transfers").trim_end_matches('%').parse()?;
    let load = Load {
        services: list(&args, "services"),
        transfers: (percent * 10.0) as u32,
        rate: text(&args, "rate").parse()?,
        length: Duration::from_secs_f64(text(&args, "seconds").parse()?),
        workers: text(&args, "workers").parse()?,
        seed: text(&args, "seed").parse()?,
    };
    let config = Config {
        targets: list(&args, "targets"),
        timeout: Duration::from_millis(text(&args, "timeout-ms").parse()?),
        attempts: text(&args, "attempts").parse()?,
        body: text(&args, "body").parse()?,
    };
    let history: Box<dyn Write + Send> = match args.get_one::<String>("history") {
        Some(path) => Box::new(File::create(path)?),
        None => Box::new(io::sink()),
    };
    let history = Mutex::new(history);
    let summary = load.run(&config, &|call| load::write(&history, call));
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}

fn text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}

fn list(args: &ArgMatches, name: &str) -> Vec<String> {
    text(args, name).split(',').filter(|s| !s.is_empty()).map(str::to_owned).collect()
}

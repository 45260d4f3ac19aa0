//! A TCP proxy that injects faults on demand.

use std::error::Error;
use std::net::TcpListener;
use std::thread;

use clap::{Arg, Command};
use corianderfork_standins::fault::Proxy;

fn main() -> Result<(), Box<dyn Error>> {
    let args = Command::new("standin-fault")
        .about("Fails on demand between two ends; prints `ready <listen> admin <admin>`")
        .arg(Arg::new("listen").long("listen").default_value("127.0.0.1:0"))
        .arg(Arg::new("to").long("to").required(true).help("The server's ip:port"))
        .arg(Arg::new("admin").long("admin").default_value("127.0.0.1:0"))
        .get_matches();
    let text = |name| args.get_one::<String>(name).cloned().unwrap_or_default();
    let listener = TcpListener::bind(text("listen"))?;
    let listen = listener.local_addr()?;
    let admin = Proxy::start(listener, text("to").parse()?, TcpListener::bind(text("admin"))?)?;
    println!("ready {listen} admin {}", admin.address());
    loop {
        thread::park();
    }
}

//! `corianderctl`: the operators' command line.

use std::io::{self, IsTerminal};
use std::process::ExitCode;
use std::sync::Arc;

use corianderfork_cli::context::SystemClock;
use corianderfork_cli::run::{Environment, run};
use corianderfork_provider::http::{Client, Config};

fn main() -> ExitCode {
    let clock = SystemClock::default();
    let mut environment = Environment {
        connect: &|address, timeout| {
            let config = Config::new(address).timeout(timeout).caller("corianderctl");
            Arc::new(Client::new(config))
        },
        clock: &clock,
        is_terminal: io::stdout().is_terminal(),
        out: &mut io::stdout(),
        err: &mut io::stderr(),
    };
    ExitCode::from(run(std::env::args_os(), &mut environment).number())
}

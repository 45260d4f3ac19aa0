//! One run of the program, from its arguments to its exit code.

use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::ArgMatches;
use clap::error::ErrorKind;
use clap_complete::Shell;
use corianderfork_model::Name;
use corianderfork_provider::store::Store;
use uuid::Uuid;

use crate::apply::{self, Request};
use crate::command::{self, Options, Output};
use crate::context::{Clock, Context};
use crate::error::{Error, Kind};
use crate::exit::Code;
use crate::report::Report;
use crate::{check, drain, show, watch, wave};

/// The part of the timeout that one call may take: after a write whose answer
/// was lost, the rest is left to read back.
const CALL_SHARE: u32 = 3;
/// Clears a terminal.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Connects to the platform at an address, with a timeout a call.
pub type Connect<'a> = &'a dyn Fn(SocketAddr, Duration) -> Arc<dyn Store>;

/// What a run works with besides its arguments.
pub struct Setup<'a> {
    /// How to reach the platform.
    pub connect: Connect<'a>,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// Whether answers go to a terminal.
    pub terminal: bool,
    /// Where answers go.
    pub out: &'a mut dyn Write,
    /// Where errors and notes go.
    pub err: &'a mut dyn Write,
}

/// Why a run ended early.
enum Stop {
    Usage(clap::Error),
    Failed(Error),
}

impl From<Error> for Stop {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Runs a command line, the program's name first.
pub fn run<A>(arguments: A, setup: &mut Setup<'_>) -> Code
where
    A: IntoIterator,
    A::Item: Into<OsString> + Clone,
{
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&error, setup),
    };
    let Some((name, arguments)) = matches.subcommand() else { return Code::Usage };
    let options = Options::new(arguments);
    match dispatch(name, arguments, &options, setup) {
        Ok(()) => Code::Done,
        Err(Stop::Usage(error)) => usage(&error, setup),
        Err(Stop::Failed(error)) => fail(error, &options, setup),
    }
}

/// `--help` and `--version` come this way too, and are no mistake.
fn usage(error: &clap::Error, setup: &mut Setup<'_>) -> Code {
    let rendered = error.render();
    if !error.use_stderr() {
        return match write(setup.out, &rendered.to_string()) {
            Ok(()) => Code::Done,
            Err(_) => Code::Output,
        };
    }
    let _ = write(setup.err, &rendered.to_string());
    Code::Usage
}

fn fail(error: Error, options: &Options, setup: &mut Setup<'_>) -> Code {
    if error.is_closed_output() {
        return Code::Done;
    }
    let code = error.code();
    let written = match options.output {
        Output::Json => write(setup.out, &format!("{}\n", error.json())),
        Output::Table => write(setup.err, &format!("{:?}\n", miette::Report::new(error))),
    };
    // What happened to the fleet says more than a closed output does.
    drop(written);
    code
}

fn dispatch(
    name: &str,
    arguments: &ArgMatches,
    options: &Options,
    setup: &mut Setup<'_>,
) -> Result<(), Stop> {
    match name {
        "check" => print(&check::run(text(arguments, "file"))?, options, setup)?,
        "completions" => completions(arguments, setup)?,
        _ => with_platform(name, arguments, options, setup)?,
    }
    Ok(())
}

fn with_platform(
    name: &str,
    arguments: &ArgMatches,
    options: &Options,
    setup: &mut Setup<'_>,
) -> Result<(), Stop> {
    let Some(platform) = options.platform else {
        let what = "name the platform with --platform IP:PORT or CORIANDERFORK_PLATFORM\n";
        return Err(Stop::Usage(clap::Error::raw(ErrorKind::MissingRequiredArgument, what)));
    };
    let store = (setup.connect)(platform, options.timeout / CALL_SHARE);
    let clock = setup.clock;
    let deadline = clock.now() + options.timeout;
    let context = Context { store: &*store, clock, by: &options.by, deadline };
    if name == "watch" {
        let count = arguments.get_one("count").copied();
        let mut print = |report: &Report| refresh(report, options, setup);
        return Ok(watch::run(&context, count, &mut print)?);
    }
    let report = answer(name, arguments, &context)?;
    Ok(print(&report, options, setup)?)
}

fn wave_order(arguments: &ArgMatches) -> wave::Order<'_> {
    match arguments.subcommand() {
        Some(("resume", _)) => wave::Order::Resume,
        Some(("halt", more)) => wave::Order::Halt { reason: text(more, "reason") },
        Some((_, more)) => wave::Order::Start {
            vms: more.get_many::<Name>("vms").unwrap_or_default().cloned().collect(),
            step: more.get_one("step").copied().unwrap_or_default(),
            within: more.get_one("within").map(|seconds| Duration::from_secs(*seconds)),
            reason: text(more, "reason"),
        },
        None => wave::Order::Resume,
    }
}

fn answer(name: &str, arguments: &ArgMatches, context: &Context<'_>) -> Result<Report, Error> {
    match name {
        "apply" => apply::run(context, &request(arguments)),
        "drain" => drain::drain(context, vm(arguments), text(arguments, "reason")),
        "wave" => wave::run(context, &wave_order(arguments)),
        "undrain" => drain::undrain(context, vm(arguments)),
        "explain" => show::explain(context),
        "history" => show::audit(context),
        _ => shown(text(arguments, "what"), context),
    }
}

fn shown(what: &str, context: &Context<'_>) -> Result<Report, Error> {
    match what {
        "config" => show::config(context),
        "pools" => show::pools(context),
        "vms" => show::vms(context),
        "services" => show::services(context),
        "waves" => show::waves(context),
        "members" => show::members(context),
        _ => show::audit(context),
    }
}

fn request(arguments: &ArgMatches) -> Request<'_> {
    Request {
        path: text(arguments, "file"),
        note: text(arguments, "note"),
        expect: arguments.get_one("expect").copied(),
        token: Uuid::now_v7().to_string(),
    }
}

fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

fn vm(arguments: &ArgMatches) -> &Name {
    arguments.get_one("vm").expect("the grammar requires it")
}

fn completions(arguments: &ArgMatches, setup: &mut Setup<'_>) -> Result<(), Error> {
    let shell = *arguments.get_one::<Shell>("shell").expect("the grammar requires it");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command::command(), command::NAME, &mut script);
    write(setup.out, &String::from_utf8_lossy(&script))
}

fn print(report: &Report, options: &Options, setup: &mut Setup<'_>) -> Result<(), Error> {
    match options.output {
        Output::Json => write(setup.out, &format!("{}\n", report.json)),
        Output::Table => {
            // The notes are beside the answer: without them it still stands.
            for note in &report.notes {
                let _ = write(setup.err, &format!("{note}\n"));
            }
            write(setup.out, &report.text)
        }
    }
}

/// Prints a live table in place of the last one, or below it.
fn refresh(report: &Report, options: &Options, setup: &mut Setup<'_>) -> Result<(), Error> {
    if options.output == Output::Json {
        return print(report, options, setup);
    }
    let text = match setup.terminal {
        true => format!("{CLEAR}{}", report.text),
        false => format!("{}\n", report.text),
    };
    write(setup.out, &text)
}

fn write(to: &mut dyn Write, text: &str) -> Result<(), Error> {
    let written = to.write_all(text.as_bytes()).and_then(|()| to.flush());
    written.map_err(|error: io::Error| Kind::Output(error).into())
}

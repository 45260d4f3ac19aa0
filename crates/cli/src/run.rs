//! Runs a command line, from its arguments to its exit code.

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

/// The timeout divided by this is the timeout of one call, so that time is left
/// to read back after a write whose response was lost.
const CALL_TIMEOUT_DIVISOR: u32 = 3;
/// The escape sequence that clears a terminal.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Connects to the platform at an address, with a timeout per call.
pub type Connect<'a> = &'a dyn Fn(SocketAddr, Duration) -> Arc<dyn Store>;

/// The environment of a run.
pub struct Environment<'a> {
    /// Connects to the platform.
    pub connect: Connect<'a>,
    /// The clock.
    pub clock: &'a dyn Clock,
    /// Whether `out` is a terminal.
    pub is_terminal: bool,
    /// The output for results.
    pub out: &'a mut dyn Write,
    /// The output for errors and notes.
    pub err: &'a mut dyn Write,
}

/// Why a run failed.
enum Failure {
    Usage(clap::Error),
    Command(Error),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Command(error)
    }
}

/// Runs a command line, whose first argument is the program's name.
pub fn run<A>(arguments: A, environment: &mut Environment<'_>) -> Code
where
    A: IntoIterator,
    A::Item: Into<OsString> + Clone,
{
    let matches = match command::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => return print_usage(&error, environment),
    };
    let Some((name, arguments)) = matches.subcommand() else { return Code::Usage };
    let options = Options::new(arguments);
    match dispatch(name, arguments, &options, environment) {
        Ok(()) => Code::Done,
        Err(Failure::Usage(error)) => print_usage(&error, environment),
        Err(Failure::Command(error)) => print_error(error, &options, environment),
    }
}

/// Prints a usage error. `--help` and `--version` also arrive here, and succeed.
fn print_usage(error: &clap::Error, environment: &mut Environment<'_>) -> Code {
    let rendered = error.render();
    if !error.use_stderr() {
        return match write(environment.out, &rendered.to_string()) {
            Ok(()) => Code::Done,
            Err(_) => Code::Output,
        };
    }
    let _ = write(environment.err, &rendered.to_string());
    Code::Usage
}

fn print_error(error: Error, options: &Options, environment: &mut Environment<'_>) -> Code {
    if error.is_closed_output() {
        return Code::Done;
    }
    let code = error.code();
    let result = match options.output {
        Output::Json => write(environment.out, &format!("{}\n", error.json())),
        Output::Table => write(environment.err, &format!("{:?}\n", miette::Report::new(error))),
    };
    // The exit code of the error takes precedence over a failure to print it.
    drop(result);
    code
}

fn dispatch(
    name: &str,
    arguments: &ArgMatches,
    options: &Options,
    environment: &mut Environment<'_>,
) -> Result<(), Failure> {
    match name {
        "check" => print(&check::run(text(arguments, "file"))?, options, environment)?,
        "completions" => print_completions(arguments, environment)?,
        _ => with_platform(name, arguments, options, environment)?,
    }
    Ok(())
}

fn with_platform(
    name: &str,
    arguments: &ArgMatches,
    options: &Options,
    environment: &mut Environment<'_>,
) -> Result<(), Failure> {
    let Some(platform) = options.platform else {
        let message = "name the platform with --platform IP:PORT or CORIANDERFORK_PLATFORM\n";
        return Err(Failure::Usage(clap::Error::raw(ErrorKind::MissingRequiredArgument, message)));
    };
    let store = (environment.connect)(platform, options.timeout / CALL_TIMEOUT_DIVISOR);
    let clock = environment.clock;
    let deadline = clock.now() + options.timeout;
    let context = Context { store: &*store, clock, operator: &options.operator, deadline };
    if name == "watch" {
        let count = arguments.get_one("count").copied();
        let mut print = |report: &Report| refresh(report, options, environment);
        return Ok(watch::run(&context, count, &mut print)?);
    }
    let report = execute(name, arguments, &context)?;
    Ok(print(&report, options, environment)?)
}

fn wave_order(arguments: &ArgMatches) -> wave::Order<'_> {
    match arguments.subcommand() {
        Some(("resume", _)) => wave::Order::Resume,
        Some(("halt", arguments)) => wave::Order::Halt { reason: text(arguments, "reason") },
        Some((_, arguments)) => wave::Order::Start {
            vms: arguments.get_many::<Name>("vms").unwrap_or_default().cloned().collect(),
            step: arguments.get_one("step").copied().unwrap_or_default(),
            within: arguments.get_one("within").map(|seconds| Duration::from_secs(*seconds)),
            reason: text(arguments, "reason"),
        },
        None => wave::Order::Resume,
    }
}

fn execute(name: &str, arguments: &ArgMatches, context: &Context<'_>) -> Result<Report, Error> {
    match name {
        "apply" => apply::run(context, &apply_request(arguments)),
        "drain" => drain::drain(context, vm(arguments), text(arguments, "reason")),
        "wave" => wave::run(context, &wave_order(arguments)),
        "undrain" => drain::undrain(context, vm(arguments)),
        "explain" => show::explain(context),
        "history" => show::audit(context),
        _ => show_records(text(arguments, "what"), context),
    }
}

fn show_records(what: &str, context: &Context<'_>) -> Result<Report, Error> {
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

fn apply_request(arguments: &ArgMatches) -> Request<'_> {
    Request {
        path: text(arguments, "file"),
        note: text(arguments, "note"),
        expected_revision: arguments.get_one("expect").copied(),
        token: Uuid::now_v7().to_string(),
    }
}

fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

fn vm(arguments: &ArgMatches) -> &Name {
    arguments.get_one("vm").expect("clap requires the argument")
}

fn print_completions(
    arguments: &ArgMatches,
    environment: &mut Environment<'_>,
) -> Result<(), Error> {
    let shell = *arguments.get_one::<Shell>("shell").expect("clap requires the argument");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command::command(), command::NAME, &mut script);
    write(environment.out, &String::from_utf8_lossy(&script))
}

fn print(
    report: &Report,
    options: &Options,
    environment: &mut Environment<'_>,
) -> Result<(), Error> {
    match options.output {
        Output::Json => write(environment.out, &format!("{}\n", report.json)),
        Output::Table => {
            // The notes are optional: the result is valid without them.
            for note in &report.notes {
                let _ = write(environment.err, &format!("{note}\n"));
            }
            write(environment.out, &report.text)
        }
    }
}

/// Prints a report of `watch`, on a terminal in place of the previous one.
fn refresh(
    report: &Report,
    options: &Options,
    environment: &mut Environment<'_>,
) -> Result<(), Error> {
    if options.output == Output::Json {
        return print(report, options, environment);
    }
    let text = match environment.is_terminal {
        true => format!("{CLEAR}{}", report.text),
        false => format!("{}\n", report.text),
    };
    write(environment.out, &text)
}

fn write(output: &mut dyn Write, text: &str) -> Result<(), Error> {
    let result = output.write_all(text.as_bytes()).and_then(|()| output.flush());
    result.map_err(|error: io::Error| Kind::Output(error).into())
}

//! Definition of the command line's arguments.

use std::net::SocketAddr;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use corianderfork_model::Name;

use crate::exit;

/// The name of the program.
pub const NAME: &str = "corianderctl";
/// The maximum length in bytes of a note, a reason or an operator's name: it is
/// stored in one record with a configuration, which may have the maximum size.
pub const MAX_TEXT: usize = 1_024;

const TABLE: &str = "table";
const JSON: &str = "json";
/// The arguments of `show`.
const SHOW_ARGUMENTS: [&str; 7] =
    ["config", "pools", "vms", "services", "waves", "audit", "members"];

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// The options of every command.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address of the platform.
    pub platform: Option<SocketAddr>,
    /// The output format.
    pub output: Output,
    /// How long a command may take to find out the outcome of a change.
    pub timeout: Duration,
    /// The operator's name.
    pub operator: String,
}

/// Returns the definition of the command line.
///
/// ```
/// corianderfork_cli::command::command().debug_assert();
/// ```
pub fn command() -> Command {
    Command::new(NAME)
        .about("Manages a fleet: checks and applies its configuration, shows its state")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(options())
        .subcommands([check(), apply(), show(), explain(), drain(), undrain(), wave(), watch()])
        .subcommands([history(), completions()])
}

fn options() -> [Arg; 4] {
    [
        Arg::new("platform")
            .long("platform")
            .global(true)
            .env("CORIANDERFORK_PLATFORM")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help("The address of the platform's service"),
        Arg::new("output")
            .long("output")
            .global(true)
            .default_value(TABLE)
            .value_parser([TABLE, JSON])
            .help("Tables for readers, or JSON for scripts"),
        Arg::new("timeout")
            .long("timeout")
            .global(true)
            .default_value("10")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .help("How long to wait for the outcome of a change; one call may take a third of it"),
        Arg::new("by")
            .long("by")
            .global(true)
            .env("USER")
            .default_value("unknown")
            .value_name("NAME")
            .value_parser(parse_text)
            .help("The operator's name, for the audit trail"),
    ]
}

fn file_arg() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("The configuration, in INI")
}

fn check() -> Command {
    Command::new("check").about("Checks a configuration, without the platform").arg(file_arg())
}

fn apply() -> Command {
    Command::new("apply")
        .about("Puts a configuration in force")
        .long_about(
            "Checks a configuration and puts it in force by one compare-and-swap.\n\n\
             It replaces the revision given by --expect, or by the first line that `show config` \
             prints; a file without either is accepted only while there is no configuration yet. If \
             another revision is in force, nothing is changed and the differences are shown.",
        )
        .arg(file_arg())
        .arg(
            Arg::new("note")
                .long("note")
                .default_value("")
                .value_parser(parse_text)
                .help("The reason, for the audit trail"),
        )
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .value_parser(value_parser!(u64))
                .help("The revision that it replaces; 0 if none is in force yet"),
        )
}

fn show() -> Command {
    Command::new("show").about("Shows records of the platform's service").arg(
        Arg::new("what")
            .value_name("WHAT")
            .required(true)
            .value_parser(PossibleValuesParser::new(SHOW_ARGUMENTS))
            .help("What to show"),
    )
}

fn explain() -> Command {
    Command::new("explain").about("Shows which rule made the last decision, and why")
}

fn vm_arg() -> Arg {
    Arg::new("vm").value_name("VM").required(true).value_parser(parse_name).help("The VM")
}

fn drain() -> Command {
    Command::new("drain").about("Drains a VM until `undrain`").args([vm_arg(), reason_arg()])
}

fn reason_arg() -> Arg {
    Arg::new("reason")
        .long("reason")
        .default_value("")
        .value_parser(parse_text)
        .help("The reason, for other operators and the audit trail")
}

fn wave() -> Command {
    let vms = Arg::new("vms")
        .value_name("VM")
        .num_args(0..)
        .value_parser(parse_name)
        .help("The VMs to maintain; by default all of the fleet");
    let step = Arg::new("step")
        .long("step")
        .value_name("COUNT")
        .value_parser(value_parser!(u32).range(1..=10_000))
        .help("The maximum number of VMs out of service at once");
    let within = Arg::new("within")
        .long("within")
        .value_name("SECONDS")
        .value_parser(value_parser!(u64).range(1..=31_536_000))
        .help("How long it may take, by default a day; copies are moved out of the way if needed");
    let start = Command::new("start").about("Drains, reboots and readmits VMs, within all budgets");
    let resume = Command::new("resume").about("Resumes a halted wave");
    let halt = Command::new("halt").about("Halts the wave: no further VM is drained");
    Command::new("wave").about("Controls maintenance waves").subcommand_required(true).subcommands(
        [start.args([vms, step, within, reason_arg()]), resume, halt.arg(reason_arg())],
    )
}

fn undrain() -> Command {
    Command::new("undrain").about("Returns a drained VM to its pool").arg(vm_arg())
}

fn watch() -> Command {
    Command::new("watch").about("Shows the state of the fleet until interrupted").arg(
        Arg::new("count")
            .long("count")
            .value_name("N")
            .value_parser(value_parser!(u64).range(1..))
            .help("Exits after this many refreshes"),
    )
}

fn history() -> Command {
    Command::new("history").about("Shows the audit trail; the same as `show audit`")
}

fn completions() -> Command {
    Command::new("completions").about("Prints completions for a shell").arg(
        Arg::new("shell")
            .value_name("SHELL")
            .required(true)
            .value_parser(value_parser!(Shell))
            .help("The shell"),
    )
}

fn parse_text(text: &str) -> Result<String, String> {
    match text.len() {
        0..=MAX_TEXT => Ok(text.to_owned()),
        len => Err(format!("has {len} bytes; shorten it to {MAX_TEXT}")),
    }
}

fn parse_name(text: &str) -> Result<Name, corianderfork_model::name::Error> {
    Name::new(text)
}

impl Options {
    /// Returns the options in the matches of [`command`] or of a subcommand.
    pub fn new(matches: &ArgMatches) -> Self {
        let json = matches.get_one::<String>("output").is_some_and(|output| output == JSON);
        let seconds = matches.get_one::<u64>("timeout").copied().unwrap_or_default();
        let operator = matches.get_one::<String>("by").filter(|name| !name.is_empty());
        Self {
            platform: matches.get_one("platform").copied(),
            output: if json { Output::Json } else { Output::Table },
            timeout: Duration::from_secs(seconds),
            operator: operator.map_or_else(|| "unknown".to_owned(), String::clone),
        }
    }
}

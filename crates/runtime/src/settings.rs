//! A process's settings: INI, checked whole before anything starts.
//!
//! A [`File`] is read key by key; what is wrong is collected, and
//! [`File::finish`] reports all of it at once, unknown keys included.
//!
//! ```
//! use corianderfork_runtime::settings::File;
//!
//! let mut file = File::parse("[process]\nname = e1\nlisten = 127.0.0.1:0\n")?;
//! assert_eq!(file.name("process", "name").as_str(), "e1");
//! let error = file.finish().expect_err("`listen` was not asked for");
//! assert!(error.to_string().contains("unknown key `listen`"));
//! # Ok::<(), corianderfork_runtime::settings::Error>(())
//! ```

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use corianderfork_model::Name;
use corianderfork_rules::nearest;
use ini::Ini;

use crate::log::Format;

/// The section every daemon has.
const PROCESS: &str = "process";

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    #[error("the settings `{path}` cannot be read: {why}; name a readable file")]
    Unreadable {
        /// The path.
        path: String,
        /// The system's reason.
        why: String,
    },
    /// The text is not INI.
    #[error("line {line}, column {column}: {why}; write `[section]` lines and `key = value` lines")]
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// What is wrong.
        why: String,
    },
    /// Keys are missing, unknown or wrong: all of them.
    #[error("the settings are wrong:\n{}", .0.iter().map(|problem| format!("  - {problem}")).collect::<Vec<_>>().join("\n"))]
    Invalid(Vec<String>),
}

/// Settings being read.
#[derive(Clone, Debug)]
pub struct File {
    sections: BTreeMap<String, BTreeMap<String, String>>,
    known: BTreeMap<String, Vec<String>>,
    problems: Vec<String>,
}

/// What every daemon is told.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Process {
    /// The name of the entry VM.
    pub name: Name,
    /// Where it stands.
    pub data_centre: Name,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Where peers reach the process.
    pub peers: SocketAddr,
    /// How log lines are written.
    pub log_format: Format,
    /// What is logged.
    pub log: String,
}

impl File {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read or is not INI.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
            path: path.display().to_string(),
            why: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Reads settings from a text.
    ///
    /// # Errors
    ///
    /// Fails if it is not INI.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|error| Error::Syntax {
            line: error.line + 1,
            column: error.col + 1,
            why: error.msg.to_string(),
        })?;
        let mut file =
            Self { sections: BTreeMap::new(), known: BTreeMap::new(), problems: Vec::new() };
        for (section, properties) in &ini {
            file.take(section.unwrap_or_default(), properties);
        }
        Ok(file)
    }

    fn take(&mut self, section: &str, properties: &ini::Properties) {
        for (key, value) in properties.iter() {
            if section.is_empty() {
                self.problems.push(format!("`{key}` stands before any section; move it into one"));
                continue;
            }
            let rows = self.sections.entry(section.to_owned()).or_default();
            if rows.insert(key.to_owned(), value.to_owned()).is_some() {
                self.problems.push(format!("`{key}` stands twice in [{section}]; keep one"));
            }
        }
    }

    fn find(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.entry(section.to_owned()).or_default().push(key.to_owned());
        self.sections.get_mut(section)?.remove(key)
    }

    /// A value with a default.
    pub fn get_or<T: FromStr<Err: Display>>(&mut self, section: &str, key: &str, default: T) -> T {
        let Some(text) = self.find(section, key) else { return default };
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                self.problems.push(format!("[{section}] {key} = `{text}`: {error}"));
                default
            }
        }
    }

    /// A value that must be there; `placeholder` stands for it until
    /// [`File::finish`] fails.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
        placeholder: T,
    ) -> T {
        let there = self.sections.get(section).is_some_and(|rows| rows.contains_key(key));
        if !there {
            self.problems.push(format!("[{section}] has no `{key}`; add `{key} = …`"));
        }
        self.get_or(section, key, placeholder)
    }

    /// A name that must be there.
    ///
    /// # Panics
    ///
    /// Never: the placeholder is a name.
    pub fn name(&mut self, section: &str, key: &str) -> Name {
        self.required(section, key, Name::new("missing").expect("a name"))
    }

    /// An address that must be there.
    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        self.required(section, key, SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0))
    }

    /// A number within bounds.
    pub fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        bounds: RangeInclusive<u64>,
    ) -> u64 {
        let value = self.get_or(section, key, default);
        if bounds.contains(&value) {
            return value;
        }
        let (least, most) = (bounds.start(), bounds.end());
        self.problems
            .push(format!("[{section}] {key} = {value} is out of bounds; write {least} to {most}"));
        default
    }

    /// A duration in milliseconds within bounds.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        bounds: RangeInclusive<u64>,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(section, key, default, bounds))
    }

    /// The `[process]` section that every daemon has.
    pub fn process(&mut self) -> Process {
        let format = self.get_or(PROCESS, "log_format", "json".to_owned());
        let log_format = match format.as_str() {
            "json" => Format::Json,
            "text" => Format::Text,
            _ => {
                let problem = format!("[{PROCESS}] log_format = `{format}`; write json or text");
                self.problems.push(problem);
                Format::Json
            }
        };
        Process {
            name: self.name(PROCESS, "name"),
            data_centre: self.name(PROCESS, "data_centre"),
            platform: self.address(PROCESS, "platform"),
            peers: self.address(PROCESS, "peers"),
            log_format,
            log: self.get_or(PROCESS, "log", "info".to_owned()),
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// Fails with all that is missing, wrong or unknown.
    pub fn finish(mut self) -> Result<(), Error> {
        for (section, rows) in &self.sections {
            let Some(known) = self.known.get(section) else {
                let help = nearest::help(section, self.known.keys().map(String::as_str));
                self.problems.push(format!("unknown section [{section}]; {help}"));
                continue;
            };
            for key in rows.keys() {
                let help = nearest::help(key, known.iter().map(String::as_str));
                self.problems.push(format!("unknown key `{key}` in [{section}]; {help}"));
            }
        }
        if self.problems.is_empty() { Ok(()) } else { Err(Error::Invalid(self.problems)) }
    }
}

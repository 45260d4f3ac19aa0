//! The settings of a process: an INI file that is validated completely at startup.
//!
//! The caller reads each key from a [`File`]. Problems are collected, and
//! [`File::finish`] reports all of them at once, including unknown keys.
//!
//! ```
//! use corianderfork_runtime::settings::File;
//!
//! let mut file = File::parse("[process]\nname = e1\nlisten = 127.0.0.1:0\n")?;
//! assert_eq!(file.name("process", "name").as_str(), "e1");
//! let error = file.finish().expect_err("`listen` was not read");
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

/// The section that all daemons have.
const PROCESS: &str = "process";

/// The reason why settings are unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The file cannot be read.
    #[error("the settings `{path}` cannot be read: {reason}; name a readable file")]
    Unreadable {
        /// The path.
        path: String,
        /// The error of the system.
        reason: String,
    },
    /// The text is not INI.
    #[error(
        "line {line}, column {column}: {reason}; write `[section]` lines and `key = value` lines"
    )]
    Syntax {
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1.
        column: usize,
        /// The error of the parser.
        reason: String,
    },
    /// All keys that are missing, unknown or invalid.
    #[error("the settings are invalid:\n{}", .0.iter().map(|problem| format!("  - {problem}")).collect::<Vec<_>>().join("\n"))]
    Invalid(Vec<String>),
}

/// A settings file that is being read.
#[derive(Clone, Debug)]
pub struct File {
    /// The values that have not been read yet, by section and key.
    sections: BTreeMap<String, BTreeMap<String, String>>,
    /// The keys that have been read, by section.
    known: BTreeMap<String, Vec<String>>,
    problems: Vec<String>,
}

/// The settings that all daemons have.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Process {
    /// The name of the entry VM.
    pub name: Name,
    /// The data centre of the entry VM.
    pub data_centre: Name,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The address for requests of peers.
    pub peers: SocketAddr,
    /// The format of log lines.
    pub log_format: Format,
    /// The log filter.
    pub log: String,
}

impl File {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not INI.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::Unreadable {
            path: path.display().to_string(),
            reason: error.to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses settings from `text`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not INI.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let ini = Ini::load_from_str(text).map_err(|error| Error::Syntax {
            line: error.line + 1,
            column: error.col + 1,
            reason: error.msg.to_string(),
        })?;
        let mut file =
            Self { sections: BTreeMap::new(), known: BTreeMap::new(), problems: Vec::new() };
        for (section, properties) in &ini {
            file.add_section(section.unwrap_or_default(), properties);
        }
        Ok(file)
    }

    fn add_section(&mut self, section: &str, properties: &ini::Properties) {
        for (key, value) in properties.iter() {
            if section.is_empty() {
                self.problems.push(format!("`{key}` is outside of any section; move it into one"));
                continue;
            }
            let values = self.sections.entry(section.to_owned()).or_default();
            if values.insert(key.to_owned(), value.to_owned()).is_some() {
                self.problems.push(format!("`{key}` is set twice in [{section}]; keep one"));
            }
        }
    }

    /// Removes and returns a value, and marks its key as known.
    fn take(&mut self, section: &str, key: &str) -> Option<String> {
        self.known.entry(section.to_owned()).or_default().push(key.to_owned());
        self.sections.get_mut(section)?.remove(key)
    }

    /// Returns whether a key has a value.
    pub fn has(&self, section: &str, key: &str) -> bool {
        let value = self.sections.get(section).and_then(|values| values.get(key));
        value.is_some_and(|value| !value.is_empty())
    }

    /// Reads a value, or returns `default` if it is missing, empty or invalid. A template leaves a value
    /// empty that it is given none for.
    pub fn get_or<T: FromStr<Err: Display>>(&mut self, section: &str, key: &str, default: T) -> T {
        let Some(text) = self.take(section, key).filter(|text| !text.is_empty()) else {
            return default;
        };
        match text.parse() {
            Ok(value) => value,
            Err(error) => {
                self.problems.push(format!("[{section}] {key} = `{text}`: {error}"));
                default
            }
        }
    }

    /// Reads a required value. If it is missing or invalid, returns `placeholder`,
    /// and [`File::finish`] will fail.
    pub fn required<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        key: &str,
        placeholder: T,
    ) -> T {
        if !self.has(section, key) {
            self.problems.push(format!("[{section}] has no `{key}`; add `{key} = …`"));
        }
        self.get_or(section, key, placeholder)
    }

    /// Reads a required name.
    ///
    /// # Panics
    ///
    /// Never, because the placeholder is a valid name.
    pub fn name(&mut self, section: &str, key: &str) -> Name {
        self.required(section, key, Name::new("missing").expect("a name"))
    }

    /// Reads a required address.
    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        self.required(section, key, SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0))
    }

    /// Reads a number within `bounds`.
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
        let (min, max) = (bounds.start(), bounds.end());
        self.problems
            .push(format!("[{section}] {key} = {value} is out of bounds; write {min} to {max}"));
        default
    }

    /// Reads a duration in milliseconds within `bounds`.
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

    /// Reads the `[process]` section.
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

    /// Checks that all keys were valid and known.
    ///
    /// # Errors
    ///
    /// Returns all missing, invalid and unknown keys.
    pub fn finish(mut self) -> Result<(), Error> {
        for (section, values) in &self.sections {
            let Some(known) = self.known.get(section) else {
                let help = nearest::help(section, self.known.keys().map(String::as_str));
                self.problems.push(format!("unknown section [{section}]; {help}"));
                continue;
            };
            for key in values.keys() {
                let help = nearest::help(key, known.iter().map(String::as_str));
                self.problems.push(format!("unknown key `{key}` in [{section}]; {help}"));
            }
        }
        if self.problems.is_empty() { Ok(()) } else { Err(Error::Invalid(self.problems)) }
    }
}

//! The result of a successful command.

use serde::Serialize;
use serde_json::Value;

/// The result of a command as text and as JSON.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The text for people.
    pub text: String,
    /// The JSON for scripts.
    pub json: Value,
    /// Additional notes for people, printed on the standard error output.
    pub notes: Vec<String>,
}

impl Report {
    /// Creates a report without notes.
    pub fn new(text: String, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).expect("the fields are strings and numbers");
        Self { text, json, notes: Vec::new() }
    }

    /// Adds a note, if there is one.
    #[must_use]
    pub fn note(mut self, note: Option<String>) -> Self {
        self.notes.extend(note);
        self
    }
}

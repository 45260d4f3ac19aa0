//! Renders diagnostics together with the source lines that they point at.

use std::fmt;

use miette::{LabeledSpan, NamedSource, SourceCode};

use crate::diagnostic::{Diagnostic, Severity};

/// The diagnostics of one file, rendered by `miette`.
///
/// ```
/// use corianderfork_config::Report;
///
/// let text = "[fleet]\nversion = 1\nnmae = clubs\n";
/// let diagnostics = corianderfork_config::parse(text).expect_err("an invalid text");
/// let report = Report::new("fleet.ini", text, diagnostics);
/// let printed = format!("{:?}", miette::Report::new(report));
/// assert!(printed.contains("did you mean `name`?"));
/// ```
#[derive(Debug)]
pub struct Report {
    file: String,
    source: NamedSource<String>,
    labels: Vec<Label>,
}

/// One diagnostic, pointing into the source of its [`Report`].
#[derive(Debug)]
struct Label(Diagnostic);

impl Report {
    /// Creates a report of the diagnostics of `text`, the content of `file`.
    pub fn new(file: &str, text: &str, diagnostics: Vec<Diagnostic>) -> Self {
        let labels = diagnostics.into_iter().map(Label).collect();
        Self { file: file.to_owned(), source: NamedSource::new(file, text.to_owned()), labels }
    }

    fn count(&self, severity: Severity) -> usize {
        self.labels.iter().filter(|label| label.0.severity == severity).count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        let advice = self.count(Severity::Advice);
        write!(f, "{}: mistakes {errors}, warnings {warnings}, notes {advice}", self.file)
    }
}

impl std::error::Error for Report {}

impl miette::Diagnostic for Report {
    fn severity(&self) -> Option<miette::Severity> {
        let rejected = self.count(Severity::Error) > 0;
        Some(if rejected { miette::Severity::Error } else { miette::Severity::Warning })
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn miette::Diagnostic> + 'a>> {
        Some(Box::new(self.labels.iter().map(|label| label as &dyn miette::Diagnostic)))
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { line, column, message, .. } = &self.0;
        write!(f, "line {line}, column {column}: {message}")
    }
}

impl std::error::Error for Label {}

impl miette::Diagnostic for Label {
    fn severity(&self) -> Option<miette::Severity> {
        Some(match self.0.severity {
            Severity::Error => miette::Severity::Error,
            Severity::Warning => miette::Severity::Warning,
            Severity::Advice => miette::Severity::Advice,
        })
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.0.help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new(Some("here".to_owned()), self.0.offset, self.0.len);
        Some(Box::new(std::iter::once(label)))
    }
}

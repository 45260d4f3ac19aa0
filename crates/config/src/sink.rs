//! Collects diagnostics.

use crate::diagnostic::{Diagnostic, Kind, MAX_LISTED, Severity};

/// A range of bytes in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub start: usize,
    pub len: usize,
}

impl Span {
    /// Returns the span of `len` bytes that begins `start` bytes into this one.
    pub(crate) fn subspan(self, start: usize, len: usize) -> Self {
        Self { start: self.start + start, len }
    }
}

/// Collects the errors, warnings and advice of one text.
pub(crate) struct Sink<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
    diagnostics: Vec<Diagnostic>,
    errors: usize,
    /// The number of warnings and advice.
    warnings: usize,
}

impl<'a> Sink<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        let later_starts = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let line_starts = std::iter::once(0).chain(later_starts).collect();
        Self { text, line_starts, diagnostics: Vec::new(), errors: 0, warnings: 0 }
    }

    pub(crate) fn error(&mut self, span: Span, kind: impl Into<Kind>, help: impl Into<String>) {
        self.push(span, Severity::Error, kind.into(), help.into());
    }

    pub(crate) fn warn(&mut self, span: Span, kind: impl Into<Kind>, help: impl Into<String>) {
        self.push(span, Severity::Warning, kind.into(), help.into());
    }

    pub(crate) fn advise(&mut self, span: Span, kind: impl Into<Kind>, help: impl Into<String>) {
        self.push(span, Severity::Advice, kind.into(), help.into());
    }

    /// Returns the number of diagnostics of any severity so far.
    pub(crate) fn count(&self) -> usize {
        self.errors + self.warnings
    }

    /// Returns the line number of the byte at `offset`, starting at 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    pub(crate) fn has_errors(&self) -> bool {
        self.errors > 0
    }

    /// Returns the diagnostics in the order of the text, followed by the numbers
    /// of those that are not listed.
    pub(crate) fn into_diagnostics(mut self) -> Vec<Diagnostic> {
        self.diagnostics.sort_by_key(|diagnostic| diagnostic.offset);
        let end = Span { start: self.text.len(), len: 0 };
        let totals = [(self.errors, Severity::Error), (self.warnings, Severity::Warning)];
        for (total, severity) in totals.into_iter().filter(|(total, _)| *total > MAX_LISTED) {
            let help = "fix those above first".to_owned();
            let unlisted =
                self.diagnostic(end, severity, Kind::NotListed(total - MAX_LISTED), help);
            self.diagnostics.push(unlisted);
        }
        self.diagnostics
    }

    /// Adds a diagnostic, or only counts it beyond [`MAX_LISTED`]: a text in
    /// another format has an error in every line, and listing them all would take
    /// more memory than the text. Errors and warnings are limited separately, so
    /// that warnings do not displace errors.
    fn push(&mut self, span: Span, severity: Severity, kind: Kind, help: String) {
        let total = match severity {
            Severity::Error => &mut self.errors,
            Severity::Warning | Severity::Advice => &mut self.warnings,
        };
        *total += 1;
        if *total <= MAX_LISTED {
            let diagnostic = self.diagnostic(span, severity, kind, help);
            self.diagnostics.push(diagnostic);
        }
    }

    fn diagnostic(&self, span: Span, severity: Severity, kind: Kind, help: String) -> Diagnostic {
        // The renderer slices the text by offset and length, which must be in range.
        let end = self.text.floor_char_boundary(span.start + span.len);
        let line = self.line(span.start);
        let before = &self.text[self.line_starts[line - 1]..span.start];
        Diagnostic {
            line,
            column: before.chars().count() + 1,
            offset: span.start,
            len: end.saturating_sub(span.start),
            severity,
            message: kind.to_string(),
            kind,
            help,
        }
    }
}

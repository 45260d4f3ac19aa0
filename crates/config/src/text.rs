//! Parses INI text into sections and keys with their positions.

use ini::{Ini, ParseOption};

use crate::diagnostic::Kind;
use crate::sink::{Sink, Span};

/// A piece of the text and its byte offset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Piece<'a> {
    pub text: &'a str,
    pub start: usize,
}

impl Piece<'_> {
    pub(crate) fn span(&self) -> Span {
        Span { start: self.start, len: self.text.len() }
    }
}

/// A key and its value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub key: Piece<'a>,
    pub value: Piece<'a>,
}

/// A section with its keys, in the order of the text.
#[derive(Clone, Debug)]
pub(crate) struct Section<'a> {
    /// The text between the brackets, such as `rack.k1`.
    pub title: Piece<'a>,
    pub entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// Returns the part before the dot: `rack` of `[rack.k1]`.
    pub(crate) fn kind(&self) -> &'a str {
        self.title.text.split_once('.').map_or(self.title.text, |(kind, _)| kind)
    }

    /// Returns the part after the dot: `k1` of `[rack.k1]`.
    pub(crate) fn name(&self) -> Option<Piece<'a>> {
        let (kind, text) = self.title.text.split_once('.')?;
        Some(Piece { text, start: self.title.start + kind.len() + 1 })
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Entry<'a>> {
        self.entries.iter().find(|entry| entry.key.text == key)
    }

    /// Returns the span that a diagnostic of `key` marks: the value, else the key,
    /// or the section's title if the key is absent.
    pub(crate) fn span_of(&self, key: &str) -> Span {
        match self.get(key) {
            Some(entry) if !entry.value.text.is_empty() => entry.value.span(),
            Some(entry) => entry.key.span(),
            None => self.title.span(),
        }
    }
}

/// Reads the sections of `text` and reports invalid lines to `sink`.
///
/// The INI library is given one line at a time: it reports no positions and stops
/// at the first error, so with the whole text an operator would see only one
/// error per run, and not where it is.
pub(crate) fn read<'a>(text: &'a str, sink: &mut Sink<'_>) -> Vec<Section<'a>> {
    let mut sections: Vec<Section<'a>> = Vec::new();
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        let trimmed = trim(line);
        let piece = Piece { text: trimmed, start: start + offset(line, trimmed) };
        start += line.len();
        match read_line(piece) {
            Ok(Line::Blank) => {}
            Ok(Line::Title(title)) => sections.push(Section { title, entries: Vec::new() }),
            Ok(Line::Entry(entry)) => match sections.last_mut() {
                Some(section) => section.entries.push(entry),
                None => {
                    let kind = Kind::KeyOutsideSection(entry.key.text.to_owned());
                    sink.error(piece.span(), kind, "write `[fleet]` above it");
                }
            },
            Err(reason) => {
                sink.error(
                    piece.span(),
                    Kind::Syntax(reason),
                    "write `[section]` or `key = value`",
                );
            }
        }
    }
    sections
}

enum Line<'a> {
    /// An empty line or a comment.
    Blank,
    Title(Piece<'a>),
    Entry(Entry<'a>),
}

/// Parses one line by the INI library and locates the parsed parts in it.
fn read_line(line: Piece<'_>) -> Result<Line<'_>, String> {
    if line.text.is_empty() {
        return Ok(Line::Blank);
    }
    let options = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(line.text, options).map_err(|error| error.msg.to_string())?;
    if let Some(name) = ini.sections().flatten().next() {
        let content = line.text.strip_prefix('[').and_then(|rest| rest.strip_suffix(']'));
        let Some(content) = content.filter(|content| trim(content) == name) else {
            return Err("something follows the `]`".to_owned());
        };
        let title = trim(content);
        return Ok(Line::Title(Piece {
            text: title,
            start: line.start + offset(line.text, title),
        }));
    }
    let Some((key, value)) = ini.general_section().iter().next() else {
        return Ok(Line::Blank);
    };
    let mismatch = || "it has a backslash before the `=`, or a lone carriage return".to_owned();
    locate_entry(line, key, value).map(Line::Entry).ok_or_else(mismatch)
}

/// Locates the key and the value in the line. Returns `None` if the library read
/// them differently.
fn locate_entry<'a>(line: Piece<'a>, key: &str, value: &str) -> Option<Entry<'a>> {
    let (left, right) = line.text.split_once(['=', ':'])?;
    let piece = |text: &'a str| Piece { text, start: line.start + offset(line.text, text) };
    let found = Entry { key: piece(trim(left)), value: piece(trim(right)) };
    (found.key.text == key && found.value.text == value).then_some(found)
}

/// Strips white space and the byte order mark that some editors put first.
fn trim(text: &str) -> &str {
    text.trim_matches(|c: char| c.is_whitespace() || c == '\u{feff}')
}

/// Returns the byte offset of `part` within `whole`, of which it is a slice.
fn offset(whole: &str, part: &str) -> usize {
    part.as_ptr() as usize - whole.as_ptr() as usize
}

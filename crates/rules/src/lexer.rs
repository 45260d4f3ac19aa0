//! Splits a text into tokens.

use std::ops::Range;

use crate::error::{Error, Kind, MAX_LEN};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenKind {
    /// A word, name or number.
    Word,
    /// `(`
    Open,
    /// `)`
    Close,
    /// `,`
    Comma,
    /// `;`
    Semicolon,
    /// `..`
    Dots,
    /// `<`, `<=`, `>`, `>=`, `==` or `!=`.
    Compare,
}

/// A token and its position.
#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub kind: TokenKind,
    pub span: Range<usize>,
}

pub(crate) fn split(text: &str) -> Result<Vec<Token>, Error> {
    if text.len() > MAX_LEN {
        let help = "split the rule in two";
        return Err(Error::new(Kind::TooLong(text.len()), 0..text.len(), help));
    }
    let mut tokens = Vec::new();
    let mut start = 0;
    while let Some(c) = text[start..].chars().next() {
        if c.is_whitespace() {
            start += c.len_utf8();
            continue;
        }
        let (kind, len) = next_token(&text[start..], c).map_err(|help| {
            Error::new(Kind::UnexpectedCharacter(c), start..start + c.len_utf8(), help)
        })?;
        tokens.push(Token { kind, span: start..start + len });
        start += len;
    }
    Ok(tokens)
}

/// Returns the kind and length of the token at the start of `rest`, or the remedy
/// if there is none.
fn next_token(rest: &str, first: char) -> Result<(TokenKind, usize), &'static str> {
    let kind = match first {
        '(' => Some(TokenKind::Open),
        ')' => Some(TokenKind::Close),
        ',' => Some(TokenKind::Comma),
        ';' => Some(TokenKind::Semicolon),
        _ => None,
    };
    if let Some(kind) = kind {
        return Ok((kind, 1));
    }
    match first {
        '.' if rest.starts_with("..") => Ok((TokenKind::Dots, 2)),
        '<' | '>' if rest[1..].starts_with('=') => Ok((TokenKind::Compare, 2)),
        '<' | '>' => Ok((TokenKind::Compare, 1)),
        '=' | '!' if rest[1..].starts_with('=') => Ok((TokenKind::Compare, 2)),
        '=' => Err("write `==` to compare"),
        '!' => Err("write `not`, or `!=` to compare"),
        '&' => Err("write `and`"),
        '|' => Err("write `or`"),
        c if is_word_char(c) => Ok((TokenKind::Word, word_len(rest))),
        _ => Err("remove it"),
    }
}

fn is_word_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}

/// Returns the length of the word or number, including its fraction and `%`.
fn word_len(rest: &str) -> usize {
    let word_end =
        |from: usize| rest[from..].find(|c| !is_word_char(c)).map_or(rest.len(), |n| from + n);
    let mut end = word_end(0);
    let is_integer = rest[..end].trim_start_matches('-').bytes().all(|b| b.is_ascii_digit());
    let mut after = rest[end..].chars();
    if is_integer && after.next() == Some('.') && after.next().is_some_and(|c| c.is_ascii_digit()) {
        end = word_end(end + 1);
    }
    end + usize::from(rest[end..].starts_with('%'))
}

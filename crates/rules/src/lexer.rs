//! Text to tokens.

use std::ops::Range;

use crate::error::{Error, Kind, MAX_LEN};

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Token {
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

/// A token and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Lexeme {
    pub token: Token,
    pub at: Range<usize>,
}

/// Splits `text` into tokens.
pub(crate) fn split(text: &str) -> Result<Vec<Lexeme>, Error> {
    if text.len() > MAX_LEN {
        let help = "split the rule in two";
        return Err(Error::new(Kind::TooLong(text.len()), 0..text.len(), help));
    }
    let mut lexemes = Vec::new();
    let mut start = 0;
    while let Some(c) = text[start..].chars().next() {
        if c.is_whitespace() {
            start += c.len_utf8();
            continue;
        }
        let (token, len) = next(&text[start..], c).map_err(|help| {
            Error::new(Kind::UnexpectedCharacter(c), start..start + c.len_utf8(), help)
        })?;
        lexemes.push(Lexeme { token, at: start..start + len });
        start += len;
    }
    Ok(lexemes)
}

/// The token that `rest` begins with and its length, or what to do about it.
fn next(rest: &str, first: char) -> Result<(Token, usize), &'static str> {
    let single = match first {
        '(' => Some(Token::Open),
        ')' => Some(Token::Close),
        ',' => Some(Token::Comma),
        ';' => Some(Token::Semicolon),
        _ => None,
    };
    if let Some(token) = single {
        return Ok((token, 1));
    }
    match first {
        '.' if rest.starts_with("..") => Ok((Token::Dots, 2)),
        '<' | '>' if rest[1..].starts_with('=') => Ok((Token::Compare, 2)),
        '<' | '>' => Ok((Token::Compare, 1)),
        '=' | '!' if rest[1..].starts_with('=') => Ok((Token::Compare, 2)),
        '=' => Err("write `==` to compare"),
        '!' => Err("write `not`, or `!=` to compare"),
        '&' => Err("write `and`"),
        '|' => Err("write `or`"),
        c if is_word(c) => Ok((Token::Word, word_len(rest))),
        _ => Err("remove it"),
    }
}

fn is_word(c: char) -> bool {
    c.is_ascii_alphanumeric() || c == '-' || c == '_'
}

/// The length of the word or number, with its fraction and its `%`.
fn word_len(rest: &str) -> usize {
    let run = |from: usize| rest[from..].find(|c| !is_word(c)).map_or(rest.len(), |n| from + n);
    let mut end = run(0);
    let whole = rest[..end].trim_start_matches('-').bytes().all(|b| b.is_ascii_digit());
    let mut after = rest[end..].chars();
    if whole && after.next() == Some('.') && after.next().is_some_and(|c| c.is_ascii_digit()) {
        end = run(end + 1);
    }
    end + usize::from(rest[end..].starts_with('%'))
}

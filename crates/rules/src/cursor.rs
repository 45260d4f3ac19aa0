//! A cursor over the tokens of a text.

use std::ops::Range;

use corianderfork_model::Fleet;

use crate::error::{Error, Kind};
use crate::lexer::{self, Token, TokenKind};
use crate::nearest;

/// Reads the tokens of `text` from left to right.
pub(crate) struct Cursor<'a> {
    text: &'a str,
    pub fleet: &'a Fleet,
    tokens: Vec<Token>,
    position: usize,
}

/// The text of a token and its position.
#[derive(Clone, Debug)]
pub(crate) struct Word<'a> {
    pub text: &'a str,
    pub span: Range<usize>,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str, fleet: &'a Fleet) -> Result<Self, Error> {
        Ok(Self { text, fleet, tokens: lexer::split(text)?, position: 0 })
    }

    pub(crate) fn is_at_end(&self) -> bool {
        self.position >= self.tokens.len()
    }

    /// Returns the text of the next token, or an empty text at the end.
    pub(crate) fn peek(&self) -> &'a str {
        self.tokens.get(self.position).map_or("", |token| &self.text[token.span.clone()])
    }

    /// Returns the position of the next token, or of the end.
    pub(crate) fn span(&self) -> Range<usize> {
        let end = self.text.trim_end().len();
        self.tokens.get(self.position).map_or(end..end, |token| token.span.clone())
    }

    /// Consumes the next token if its text is `text`. Returns whether it did.
    pub(crate) fn eat(&mut self, text: &str) -> bool {
        let found = self.peek() == text;
        self.position += usize::from(found);
        found
    }

    /// Consumes the next token, which must be `text`.
    pub(crate) fn expect(&mut self, text: &str, expected: &'static str) -> Result<(), Error> {
        if self.eat(text) { Ok(()) } else { Err(self.unexpected(expected)) }
    }

    /// Consumes the next token, which must be of `kind`.
    pub(crate) fn expect_kind(
        &mut self,
        kind: TokenKind,
        expected: &'static str,
    ) -> Result<Word<'a>, Error> {
        match self.tokens.get(self.position) {
            Some(token) if token.kind == kind => {
                let span = token.span.clone();
                self.position += 1;
                Ok(Word { text: &self.text[span.clone()], span })
            }
            _ => Err(self.unexpected(expected)),
        }
    }

    /// Consumes the next token, which must be a word, name or number.
    pub(crate) fn word(&mut self, expected: &'static str) -> Result<Word<'a>, Error> {
        self.expect_kind(TokenKind::Word, expected)
    }

    /// Returns the error for a next token other than the expected one.
    pub(crate) fn unexpected(&self, expected: &'static str) -> Error {
        let kind = if self.is_at_end() {
            Kind::UnexpectedEnd(expected)
        } else {
            Kind::Unexpected { found: self.peek().to_owned(), expected }
        };
        Error::new(kind, self.span(), format!("write {expected} here"))
    }
}

impl Word<'_> {
    /// Returns the error for a word that is not in `known`.
    pub(crate) fn unknown_word<'b>(&self, known: impl IntoIterator<Item = &'b str>) -> Error {
        let kind = Kind::UnknownWord(self.text.to_owned());
        Error::new(kind, self.span.clone(), nearest::help(self.text, known))
    }

    /// Returns `found`, the result of the lookup of this name, or an error that
    /// suggests a name from `known`.
    pub(crate) fn resolve<'b, I>(
        &self,
        category: &'static str,
        found: Option<I>,
        known: impl IntoIterator<Item = &'b str>,
    ) -> Result<I, Error> {
        found.ok_or_else(|| {
            let kind = Kind::UnknownName { category, name: self.text.to_owned() };
            Error::new(kind, self.span.clone(), nearest::help(self.text, known))
        })
    }
}

//! The tokens of one text, read from the left.

use std::ops::Range;

use corianderfork_model::Fleet;

use crate::error::{Error, Kind};
use crate::lexer::{self, Lexeme, Token};
use crate::nearest;

/// Reads the tokens of `text`.
pub(crate) struct Cursor<'a> {
    text: &'a str,
    pub fleet: &'a Fleet,
    lexemes: Vec<Lexeme>,
    next: usize,
}

/// A word and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Word<'a> {
    pub text: &'a str,
    pub at: Range<usize>,
}

impl<'a> Cursor<'a> {
    pub(crate) fn new(text: &'a str, fleet: &'a Fleet) -> Result<Self, Error> {
        Ok(Self { text, fleet, lexemes: lexer::split(text)?, next: 0 })
    }

    pub(crate) fn is_done(&self) -> bool {
        self.next >= self.lexemes.len()
    }

    /// The next token's text, or the empty text at the end.
    pub(crate) fn peek(&self) -> &'a str {
        self.lexemes.get(self.next).map_or("", |lexeme| &self.text[lexeme.at.clone()])
    }

    /// Where the next token stands.
    pub(crate) fn at(&self) -> Range<usize> {
        let end = self.text.trim_end().len();
        self.lexemes.get(self.next).map_or(end..end, |lexeme| lexeme.at.clone())
    }

    /// Takes the next token if it reads `text`.
    pub(crate) fn takes(&mut self, text: &str) -> bool {
        let found = self.peek() == text;
        self.next += usize::from(found);
        found
    }

    /// Takes the next token, which has to read `text`.
    pub(crate) fn expect(&mut self, text: &str, expected: &'static str) -> Result<(), Error> {
        if self.takes(text) { Ok(()) } else { Err(self.unexpected(expected)) }
    }

    /// Takes the next token if it is of `token`.
    pub(crate) fn take(&mut self, token: Token, expected: &'static str) -> Result<Word<'a>, Error> {
        match self.lexemes.get(self.next) {
            Some(lexeme) if lexeme.token == token => {
                let at = lexeme.at.clone();
                self.next += 1;
                Ok(Word { text: &self.text[at.clone()], at })
            }
            _ => Err(self.unexpected(expected)),
        }
    }

    /// Takes a word, name or number.
    pub(crate) fn word(&mut self, expected: &'static str) -> Result<Word<'a>, Error> {
        self.take(Token::Word, expected)
    }

    /// The mistake of another token than the one due.
    pub(crate) fn unexpected(&self, expected: &'static str) -> Error {
        let kind = if self.is_done() {
            Kind::UnexpectedEnd(expected)
        } else {
            Kind::Unexpected { found: self.peek().to_owned(), expected }
        };
        Error::new(kind, self.at(), format!("write {expected} here"))
    }
}

impl Word<'_> {
    /// The mistake of a word that is none of `known`.
    pub(crate) fn unknown<'b>(&self, known: impl IntoIterator<Item = &'b str>) -> Error {
        let kind = Kind::UnknownWord(self.text.to_owned());
        Error::new(kind, self.at.clone(), nearest::help(self.text, known))
    }

    /// The id that `find` has for this name.
    pub(crate) fn resolve<'b, I>(
        &self,
        category: &'static str,
        find: Option<I>,
        known: impl IntoIterator<Item = &'b str>,
    ) -> Result<I, Error> {
        find.ok_or_else(|| {
            let kind = Kind::UnknownName { category, name: self.text.to_owned() };
            Error::new(kind, self.at.clone(), nearest::help(self.text, known))
        })
    }
}

//! Small keys for strings that are compared often.

use std::collections::HashMap;

/// The key of a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Symbol(u32);

/// The strings with a key. They are labels and racks, of which there are few; none is removed.
#[derive(Debug, Default)]
pub(super) struct Symbols {
    by_text: HashMap<String, Symbol>,
}

impl Symbols {
    /// Returns the key of a string, if it has one.
    pub fn get(&self, text: &str) -> Option<Symbol> {
        self.by_text.get(text).copied()
    }

    /// Returns the key of a string, and adds one if it has none.
    pub fn intern(&mut self, text: &str) -> Symbol {
        if let Some(symbol) = self.get(text) {
            return symbol;
        }
        // The default key stands for no string.
        let symbol = Symbol(u32::try_from(self.by_text.len() + 1).unwrap_or(u32::MAX));
        self.by_text.insert(text.to_owned(), symbol);
        symbol
    }
}

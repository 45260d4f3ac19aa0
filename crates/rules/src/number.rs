//! Parses numbers with units.

use crate::cursor::Word;
use crate::error::{Error, Kind};

/// A number with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Number {
    /// An integer without a unit.
    Plain(i64),
    /// Tenths of a percent.
    PerMille(i64),
    /// A duration in seconds.
    Seconds(i64),
}

/// More digits than any valid number has.
const MAX_DIGITS: usize = 9;

impl Number {
    pub(crate) fn parse(word: &Word<'_>) -> Result<Self, Error> {
        Self::from_text(word.text).ok_or_else(|| {
            let kind = Kind::InvalidNumber(word.text.to_owned());
            let help = "write a number such as `10`, `12.5%`, `90s` or `5m`";
            Error::new(kind, word.span.clone(), help)
        })
    }

    fn from_text(text: &str) -> Option<Self> {
        if let Some(percent) = text.strip_suffix('%') {
            return parse_per_mille(percent).map(Self::PerMille);
        }
        for (unit, seconds) in [('s', 1), ('m', 60), ('h', 3_600)] {
            if let Some(count) = text.strip_suffix(unit) {
                return parse_integer(count).map(|n| Self::Seconds(n * seconds));
            }
        }
        parse_integer(text).map(Self::Plain)
    }
}

fn parse_integer(text: &str) -> Option<i64> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    let is_valid_len = (1..=MAX_DIGITS).contains(&digits.len());
    if is_valid_len && digits.bytes().all(|b| b.is_ascii_digit()) {
        text.parse().ok()
    } else {
        None
    }
}

/// Parses a percentage with at most one decimal place, without its `%`.
fn parse_per_mille(text: &str) -> Option<i64> {
    let (percent, tenth) = text.split_once('.').unwrap_or((text, "0"));
    let tenth = if tenth.len() == 1 { parse_integer(tenth)? } else { return None };
    let sign = if percent.starts_with('-') { -1 } else { 1 };
    Some(parse_integer(percent)? * 10 + sign * tenth)
}

/// Returns `n` if it is between `min` and `max`. The error shows the bounds as
/// percentages if `word` is one.
pub(crate) fn check_bounds(n: i64, min: i64, max: i64, word: &Word<'_>) -> Result<i64, Error> {
    if (min..=max).contains(&n) {
        return Ok(n);
    }
    let percent = word.text.ends_with('%');
    let show = |n: i64| if percent { format!("{}%", n / 10) } else { n.to_string() };
    let kind = Kind::OutOfBounds { found: word.text.to_owned(), min: show(min), max: show(max) };
    let help = format!("write a number from {} to {}", show(min), show(max));
    Err(Error::new(kind, word.span.clone(), help))
}

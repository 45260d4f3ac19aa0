//! Numbers with their units.

use crate::cursor::Word;
use crate::error::{Error, Kind};

/// A number as a text has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Number {
    /// A plain whole number.
    Plain(i64),
    /// Tenths of a percent.
    PerMille(i64),
    /// A time in seconds.
    Seconds(i64),
}

/// More digits than any bound allows.
const MAX_DIGITS: usize = 9;

impl Number {
    /// The number that `word` is.
    pub(crate) fn read(word: &Word<'_>) -> Result<Self, Error> {
        Self::from_text(word.text).ok_or_else(|| {
            let kind = Kind::InvalidNumber(word.text.to_owned());
            let help = "write a number such as `10`, `12.5%`, `90s` or `5m`";
            Error::new(kind, word.at.clone(), help)
        })
    }

    fn from_text(text: &str) -> Option<Self> {
        if let Some(percent) = text.strip_suffix('%') {
            return per_mille(percent).map(Self::PerMille);
        }
        for (unit, seconds) in [('s', 1), ('m', 60), ('h', 3_600)] {
            if let Some(count) = text.strip_suffix(unit) {
                return whole(count).map(|n| Self::Seconds(n * seconds));
            }
        }
        whole(text).map(Self::Plain)
    }
}

fn whole(text: &str) -> Option<i64> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    let fits = (1..=MAX_DIGITS).contains(&digits.len());
    if fits && digits.bytes().all(|b| b.is_ascii_digit()) { text.parse().ok() } else { None }
}

/// Percent with at most one decimal, in per mille.
fn per_mille(text: &str) -> Option<i64> {
    let (percent, tenth) = text.split_once('.').unwrap_or((text, "0"));
    let tenth = if tenth.len() == 1 { whole(tenth)? } else { return None };
    let sign = if percent.starts_with('-') { -1 } else { 1 };
    Some(whole(percent)? * 10 + sign * tenth)
}

/// The bounds of a number and how they are written.
pub(crate) fn within(n: i64, min: i64, max: i64, word: &Word<'_>) -> Result<i64, Error> {
    if (min..=max).contains(&n) {
        return Ok(n);
    }
    let percent = word.text.ends_with('%');
    let show = |n: i64| if percent { format!("{}%", n / 10) } else { n.to_string() };
    let kind = Kind::OutOfBounds { found: word.text.to_owned(), min: show(min), max: show(max) };
    let help = format!("write a number from {} to {}", show(min), show(max));
    Err(Error::new(kind, word.at.clone(), help))
}

//! Lists and ranges of VM names: `v01, v[05..08]`.

use crate::diagnostic::Kind;
use crate::sink::Span;
use crate::text::Piece;

/// The most VMs of one fleet. A short range can name more than memory holds.
pub(crate) const MAX_VMS: usize = 20_000;

/// A name, and the part of the text that names it.
pub(crate) struct Named {
    pub name: String,
    pub at: Span,
}

/// What is wrong with a list, where, and what to do about it.
pub(crate) struct Mistake {
    pub at: Span,
    pub kind: Kind,
    pub help: &'static str,
}

/// The names of `list`, `room` at most.
pub(crate) fn expand(list: Piece<'_>, room: usize) -> Result<Vec<Named>, Mistake> {
    let mut names = Vec::new();
    let mut start = 0;
    for part in list.text.split(',') {
        let blanks = part.len() - part.trim_start().len();
        let part_start = start + blanks;
        start += part.len() + 1;
        let part = part.trim();
        let at = list.span().within(part_start, part.len());
        let expanded = one(part, room - names.len()).map_err(|kind| {
            let help = match kind {
                Kind::TooManyVms(_) => "split the fleet in two",
                _ => "write names and ranges such as `v01, v[05..08]`",
            };
            Mistake { at, kind, help }
        })?;
        names.extend(expanded.into_iter().map(|name| Named { name, at }));
    }
    Ok(names)
}

/// One name, or the names of one range.
fn one(part: &str, room: usize) -> Result<Vec<String>, Kind> {
    let wrong = || Kind::Range(part.to_owned());
    if room == 0 {
        return Err(Kind::TooManyVms(MAX_VMS));
    }
    let Some((prefix, rest)) = part.split_once('[') else {
        return if part.is_empty() { Err(wrong()) } else { Ok(vec![part.to_owned()]) };
    };
    let (range, suffix) = rest.split_once(']').ok_or_else(wrong)?;
    let (first, last) = range.split_once("..").ok_or_else(wrong)?;
    let width = first.len();
    let (first, last) = (number(first).ok_or_else(wrong)?, number(last).ok_or_else(wrong)?);
    if first > last {
        return Err(wrong());
    }
    if last - first >= room {
        return Err(Kind::TooManyVms(MAX_VMS));
    }
    Ok((first..=last).map(|n| format!("{prefix}{n:0width$}{suffix}")).collect())
}

fn number(text: &str) -> Option<usize> {
    const MAX_DIGITS: usize = 9;
    let fits = (1..=MAX_DIGITS).contains(&text.len());
    if fits && text.bytes().all(|b| b.is_ascii_digit()) { text.parse().ok() } else { None }
}

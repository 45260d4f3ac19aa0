//! Parses lists and ranges of VM names, such as `v01, v[05..08]`.

use crate::diagnostic::Kind;
use crate::sink::Span;
use crate::text::Piece;

/// The maximum number of VMs of one fleet. Without a limit, a short range could
/// expand to more names than fit in memory.
pub(crate) const MAX_VMS: usize = 20_000;

/// A VM name, and the part of the text that it comes from.
pub(crate) struct VmName {
    pub name: String,
    pub span: Span,
}

/// An error in a list, with its position and a remedy.
pub(crate) struct Error {
    pub span: Span,
    pub kind: Kind,
    pub help: &'static str,
}

/// Returns the names in `list`, of which there may be at most `limit`.
pub(crate) fn expand(list: Piece<'_>, limit: usize) -> Result<Vec<VmName>, Error> {
    let mut names = Vec::new();
    let mut start = 0;
    for part in list.text.split(',') {
        let indent = part.len() - part.trim_start().len();
        let part_start = start + indent;
        start += part.len() + 1;
        let part = part.trim();
        let span = list.span().subspan(part_start, part.len());
        let expanded = expand_part(part, limit - names.len()).map_err(|kind| {
            let help = match kind {
                Kind::TooManyVms(_) => "split the fleet in two",
                _ => "write names and ranges such as `v01, v[05..08]`",
            };
            Error { span, kind, help }
        })?;
        names.extend(expanded.into_iter().map(|name| VmName { name, span }));
    }
    Ok(names)
}

/// Returns the names in one part of a list: a single name or a range.
fn expand_part(part: &str, limit: usize) -> Result<Vec<String>, Kind> {
    let invalid = || Kind::InvalidVmRange(part.to_owned());
    if limit == 0 {
        return Err(Kind::TooManyVms(MAX_VMS));
    }
    let Some((prefix, rest)) = part.split_once('[') else {
        return if part.is_empty() { Err(invalid()) } else { Ok(vec![part.to_owned()]) };
    };
    let (range, suffix) = rest.split_once(']').ok_or_else(invalid)?;
    let (first, last) = range.split_once("..").ok_or_else(invalid)?;
    let width = first.len();
    let (first, last) =
        (parse_number(first).ok_or_else(invalid)?, parse_number(last).ok_or_else(invalid)?);
    if first > last {
        return Err(invalid());
    }
    if last - first >= limit {
        return Err(Kind::TooManyVms(MAX_VMS));
    }
    Ok((first..=last).map(|n| format!("{prefix}{n:0width$}{suffix}")).collect())
}

fn parse_number(text: &str) -> Option<usize> {
    const MAX_DIGITS: usize = 9;
    let has_valid_length = (1..=MAX_DIGITS).contains(&text.len());
    if has_valid_length && text.bytes().all(|b| b.is_ascii_digit()) {
        text.parse().ok()
    } else {
        None
    }
}

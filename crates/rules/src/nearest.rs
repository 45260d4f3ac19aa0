//! Suggests the known word nearest to an unknown one.

/// One edit per this many characters counts as a typing error.
const CHARS_PER_EDIT: usize = 3;
/// Longer words are not compared: the cost grows with the square of the length.
const MAX_LEN: usize = 64;

/// Returns the candidate that `word` is likely a misspelling of, if any.
///
/// ```
/// use corianderfork_rules::nearest;
///
/// assert_eq!(nearest::find("licenses", ["licences", "slots"]), Some("licences"));
/// assert_eq!(nearest::find("wheel", ["licences", "slots"]), None);
/// ```
pub fn find<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    if word.len() > MAX_LEN {
        return None;
    }
    let max_edits = (word.chars().count() / CHARS_PER_EDIT).max(1);
    candidates
        .into_iter()
        .filter(|candidate| {
            candidate.len() <= MAX_LEN && candidate.len().abs_diff(word.len()) <= 4 * max_edits
        })
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .filter(|(edits, _)| *edits <= max_edits)
        .min_by_key(|(edits, _)| *edits)
        .map(|(_, candidate)| candidate)
}

/// Returns a help text that suggests the candidate nearest to `word`, or else
/// lists the candidates.
///
/// ```
/// use corianderfork_rules::nearest;
///
/// assert_eq!(nearest::help("trnsfer", ["lookup", "transfer"]), "did you mean `transfer`?");
/// assert_eq!(nearest::help("x", ["lookup", "transfer"]), "known: lookup, transfer");
/// assert_eq!(nearest::help("x", []), "none is declared");
/// ```
pub fn help<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> String {
    const SHOWN: usize = 12;
    let candidates: Vec<_> = candidates.into_iter().collect();
    if let Some(suggestion) = find(word, candidates.iter().copied()) {
        return format!("did you mean `{suggestion}`?");
    }
    match candidates.len() {
        0 => "none is declared".to_owned(),
        n if n <= SHOWN => format!("known: {}", candidates.join(", ")),
        n => format!("known: {} and {} more", candidates[..SHOWN].join(", "), n - SHOWN),
    }
}

/// Returns the number of insertions, deletions, replacements and swaps of
/// neighbours that turn `a` into `b` (optimal string alignment distance).
fn edit_distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut row_before_previous: Vec<usize> = Vec::new();
    let mut previous_row: Vec<usize> = (0..=b.len()).collect();
    for i in 0..a.len() {
        let mut row = vec![i + 1];
        for j in 0..b.len() {
            let replacement = previous_row[j] + usize::from(!a[i].eq_ignore_ascii_case(&b[j]));
            let mut cost = replacement.min(previous_row[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && a[i] == b[j - 1] && a[i - 1] == b[j] {
                cost = cost.min(row_before_previous[j - 1] + 1);
            }
            row.push(cost);
        }
        row_before_previous = std::mem::replace(&mut previous_row, row);
    }
    previous_row[b.len()]
}

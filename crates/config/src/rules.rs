//! Reads the ordered rules.

use corianderfork_model::Fleet;
use corianderfork_rules::lint::lint;
use corianderfork_rules::{Error, List, Rule, action, condition, list};

use crate::diagnostic::Kind;
use crate::keys::Keys;
use crate::sink::{Sink, Span};
use crate::text::{Piece, Section};

/// Reads the rules of `sections` in their order. Returns `None` if any is invalid.
pub(crate) fn read(
    fleet: &Fleet,
    sections: &[&Section<'_>],
    end: Span,
    sink: &mut Sink<'_>,
) -> Option<List> {
    let rules: Vec<_> = sections.iter().map(|section| rule(fleet, section, sink)).collect();
    let Some(last) = rules.last() else {
        sink.error(end, Kind::NoRule, "add `[rule.otherwise]` with `when = always`");
        return None;
    };
    // Reports a missing fallback also when other rules are invalid.
    if let Some(last) = last.as_ref().filter(|rule| !rule.when().is_always()) {
        let span = sections[sections.len() - 1].span_of("when");
        let help = "add a last rule with `when = always`";
        sink.error(span, Kind::NoFallback(last.name().to_string()), help);
        return None;
    }
    let rules = rules.into_iter().collect::<Option<Vec<_>>>()?;
    match List::new(rules) {
        Ok(list) => Some(list),
        Err(error) => {
            report_list_error(&error, end, sink);
            None
        }
    }
}

fn rule(fleet: &Fleet, section: &Section<'_>, sink: &mut Sink<'_>) -> Option<Rule> {
    let mut keys = Keys { section, sink };
    let name = keys.section_name();
    let (when, then) = (keys.required("when"), keys.required("then"));
    let when = when.and_then(|piece| valid(condition::parse(piece.text, fleet), piece, sink));
    let then = then.and_then(|piece| valid(action::parse(piece.text, fleet), piece, sink));
    Some(Rule::new(name?, when?, then?))
}

/// Returns the parsed value, or reports the error at its position in `piece`.
fn valid<T>(result: Result<T, Error>, piece: Piece<'_>, sink: &mut Sink<'_>) -> Option<T> {
    result
        .map_err(|error| {
            let span = piece.span().subspan(error.offset(), error.len());
            sink.error(span, error.kind().clone(), error.help());
        })
        .ok()
}

/// Reports an error of the whole list that the checks of single rules cannot find.
fn report_list_error(error: &list::Error, end: Span, sink: &mut Sink<'_>) {
    let (kind, help) = match error {
        list::Error::TooMany(count) => (Kind::TooManyRules(*count), "combine some of them by `or`"),
        list::Error::NoFallback(name) => {
            (Kind::NoFallback(name.to_string()), "add a last rule with `when = always`")
        }
        _ => (Kind::NoRule, "add `[rule.otherwise]` with `when = always`"),
    };
    sink.error(end, kind, help);
}

/// Warns of rules that never match. Overlaps are reported as advice, and only if
/// there are no errors.
pub(crate) fn report_lints(list: &List, sections: &[&Section<'_>], sink: &mut Sink<'_>) {
    for finding in lint(list) {
        let span = sections[finding.rule].span_of("when");
        let help = finding.kind.help();
        let never_matches = finding.kind.never_matches();
        let kind = Kind::Lint { name: finding.name.to_string(), kind: finding.kind };
        if never_matches {
            sink.warn(span, kind, help);
        } else if !sink.has_errors() {
            sink.advise(span, kind, help);
        }
    }
}

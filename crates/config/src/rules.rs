//! The ordered rules.

use corianderfork_model::Fleet;
use corianderfork_rules::lint::lint;
use corianderfork_rules::{Error, List, Rule, action, condition, list};

use crate::diagnostic::Kind;
use crate::keys::Keys;
use crate::sink::{Sink, Span};
use crate::text::{Piece, Section};

/// Reads the rules of `sections`, in their order. `None` if any is wrong.
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
    // The last resort is missed also where other rules are wrong.
    if let Some(last) = last.as_ref().filter(|rule| !rule.when().is_always()) {
        let at = sections[sections.len() - 1].span_of("when");
        let help = "add a last rule with `when = always`";
        sink.error(at, Kind::NoLastResort(last.name().to_string()), help);
        return None;
    }
    let rules = rules.into_iter().collect::<Option<Vec<_>>>()?;
    match List::new(rules) {
        Ok(list) => Some(list),
        Err(error) => {
            refused(&error, end, sink);
            None
        }
    }
}

fn rule(fleet: &Fleet, section: &Section<'_>, sink: &mut Sink<'_>) -> Option<Rule> {
    let mut keys = Keys { section, sink };
    let name = keys.section_name();
    let (when, then) = (keys.required("when"), keys.required("then"));
    let when = when.and_then(|piece| wrong(condition::parse(piece.text, fleet), piece, sink));
    let then = then.and_then(|piece| wrong(action::parse(piece.text, fleet), piece, sink));
    Some(Rule::new(name?, when?, then?))
}

fn wrong<T>(read: Result<T, Error>, piece: Piece<'_>, sink: &mut Sink<'_>) -> Option<T> {
    read.map_err(|error| {
        let at = piece.span().within(error.offset(), error.len());
        sink.error(at, error.kind().clone(), error.help());
    })
    .ok()
}

/// What the list itself refuses and no check before it found.
fn refused(error: &list::Error, end: Span, sink: &mut Sink<'_>) {
    let (kind, help) = match error {
        list::Error::TooMany(count) => (Kind::TooManyRules(*count), "join some by `or`"),
        list::Error::NoFallback(name) => {
            (Kind::NoLastResort(name.to_string()), "add a last rule with `when = always`")
        }
        _ => (Kind::NoRule, "add `[rule.otherwise]` with `when = always`"),
    };
    sink.error(end, kind, help);
}

/// Warns of rules that never match; and of overlaps, unless there is worse.
pub(crate) fn warn(list: &List, sections: &[&Section<'_>], sink: &mut Sink<'_>) {
    for finding in lint(list) {
        let at = sections[finding.rule].span_of("when");
        let help = finding.kind.help();
        let is_never = finding.kind.never_matches();
        let kind = Kind::Lint { name: finding.name.to_string(), kind: finding.kind };
        if is_never {
            sink.warn(at, kind, help);
        } else if !sink.has_errors() {
            sink.advise(at, kind, help);
        }
    }
}

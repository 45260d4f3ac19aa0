//! Parses the whole text into a checked configuration.

use std::collections::HashSet;
use std::time::Duration;

use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Name};
use corianderfork_rules::Situation;

use crate::diagnostic::{Diagnostic, Kind};
use crate::keys::Keys;
use crate::sink::{Sink, Span};
use crate::text::{self, Section};
use crate::topology::RackReader;
use crate::{
    Configuration, MAX_BYTES, Settings, VERSION, budget, rules, schema, services, topology,
};

/// The largest offset from UTC, in minutes (14 hours).
const MAX_UTC_OFFSET_MINUTES: i16 = 14 * 60;
/// One day: an older value is not worth acting on.
const MAX_STALE_SECONDS: u32 = 86_400;

pub(crate) fn parse(text: &str) -> Result<Configuration, Vec<Diagnostic>> {
    let mut sink = Sink::new(text);
    let start = Span { start: 0, len: text.chars().next().map_or(0, char::len_utf8) };
    let stored = stored_len(text);
    if stored > MAX_BYTES {
        let help = "name VMs by ranges such as `v[01..40]`, or split the fleet in two";
        sink.error(start, Kind::TooLarge(stored), help);
        return Err(sink.into_diagnostics());
    }
    let sections = text::read(text, &mut sink);
    if sections.is_empty() {
        // Replaces the syntax errors, one per line, which would not help.
        let mut sink = Sink::new(text);
        sink.error(start, Kind::NotIni, "begin with `[fleet]` and `version = 1`");
        return Err(sink.into_diagnostics());
    }
    let sections = schema::check(sections, &mut sink);
    build(&sections, start, Span { start: text.len(), len: 0 }, sink)
}

/// Returns the length of `text` in bytes when it is escaped as a JSON string.
fn stored_len(text: &str) -> usize {
    const UNICODE_ESCAPE: usize = 6; // such as \u001b
    text.bytes()
        .map(|byte| match byte {
            b'\n' | b'\r' | b'\t' | b'"' | b'\\' => 2,
            0..=0x1f => UNICODE_ESCAPE,
            _ => 1,
        })
        .sum()
}

fn build(
    sections: &[Section<'_>],
    start: Span,
    end: Span,
    mut sink: Sink<'_>,
) -> Result<Configuration, Vec<Diagnostic>> {
    let settings = settings(sections, start, &mut sink);
    let declarations = declarations(sections, &mut sink);
    budget::check(&declarations, sections, &mut sink);
    let fleet = declarations.fleet;
    let rule_sections: Vec<_> = sections_of_kind(sections, "rule").collect();
    let rules = rules::read(&fleet, &rule_sections, end, &mut sink);
    if let Some(rules) = &rules {
        rules::report_lints(rules, &rule_sections, &mut sink);
    }
    let has_errors = sink.has_errors();
    let diagnostics = sink.into_diagnostics();
    match (settings, rules) {
        (Some(settings), Some(rules)) if !has_errors => {
            Ok(Configuration { fleet, rules, settings, warnings: diagnostics })
        }
        _ => Err(diagnostics),
    }
}

fn sections_of_kind<'k, 'a>(
    sections: &'k [Section<'a>],
    kind: &'k str,
) -> impl Iterator<Item = &'k Section<'a>> {
    sections.iter().filter(move |section| section.kind() == kind)
}

fn settings(sections: &[Section<'_>], start: Span, sink: &mut Sink<'_>) -> Option<Settings> {
    let Some(section) = sections_of_kind(sections, "fleet").next() else {
        let help = "begin with `[fleet]`, `version = 1` and `name = …`";
        sink.error(start, Kind::MissingSection("fleet"), help);
        return None;
    };
    let mut keys = Keys { section, sink };
    check_version(&mut keys);
    let name: Option<Name> = keys.name("name");
    let utc_offset_minutes =
        keys.number("utc_offset_minutes", -MAX_UTC_OFFSET_MINUTES, MAX_UTC_OFFSET_MINUTES, 0);
    let default = u32::try_from(Situation::STALE_AFTER.as_secs()).unwrap_or(MAX_STALE_SECONDS);
    let stale_seconds = keys.number("stale_after_seconds", 1, MAX_STALE_SECONDS, default);
    let stale_after = Duration::from_secs(stale_seconds.into());
    Some(Settings { name: name?, utc_offset_minutes, stale_after })
}

fn check_version(keys: &mut Keys<'_, '_, '_>) {
    let Some(piece) = keys.required("version") else { return };
    let version = keys.number("version", 1, u32::MAX, VERSION);
    if version != VERSION {
        let help = format!("write `version = {VERSION}`, or use a program that reads {version}");
        keys.sink.error(piece.span(), Kind::UnsupportedVersion(version), help);
    }
}

/// The fleet, and which parts of it were read without a diagnostic. Only these
/// are checked against each other, so that one mistake is not reported again for
/// everything that depends on it.
pub(crate) struct Declarations {
    pub fleet: Fleet,
    /// Whether all racks were read without a diagnostic.
    pub racks_valid: bool,
    /// The services that were read without a diagnostic.
    pub valid_services: HashSet<ServiceId>,
}

/// Reads all sections but `fleet` and the rules. Sections are read before those
/// that refer to them.
fn declarations(sections: &[Section<'_>], sink: &mut Sink<'_>) -> Declarations {
    let mut fleet = Fleet::default();
    for section in sections_of_kind(sections, "weights") {
        services::weights(&mut fleet, Keys { section, sink });
    }
    for section in sections_of_kind(sections, "data_centre") {
        topology::data_centre(&mut fleet, Keys { section, sink });
    }
    for section in sections_of_kind(sections, "pool") {
        topology::pool(&mut fleet, Keys { section, sink });
    }
    for section in sections_of_kind(sections, "team") {
        services::team(&mut fleet, Keys { section, sink });
    }
    let before = sink.count();
    let mut rack_reader = RackReader::default();
    for section in sections_of_kind(sections, "rack") {
        rack_reader.read(&mut fleet, section, sink);
    }
    let racks_valid = sink.count() == before;
    let mut valid_services = HashSet::new();
    for section in sections_of_kind(sections, "service") {
        let before = sink.count();
        let service = services::service(&mut fleet, section, sink);
        valid_services.extend(service.filter(|_| sink.count() == before));
    }
    Declarations { fleet, racks_valid, valid_services }
}

//! The whole text to a whole configuration.

use std::collections::HashSet;
use std::time::Duration;

use corianderfork_model::service::ServiceId;
use corianderfork_model::{Fleet, Name};
use corianderfork_rules::Situation;

use crate::diagnostic::{Diagnostic, Kind};
use crate::keys::Keys;
use crate::sink::{Sink, Span};
use crate::text::{self, Section};
use crate::topology::Racks;
use crate::{
    Configuration, MAX_BYTES, Settings, VERSION, budget, rules, schema, services, topology,
};

/// The widest offset from UTC, in minutes: 14 hours.
const MAX_OFFSET: i16 = 14 * 60;
/// A day: no older value is worth acting on.
const MAX_STALE: u32 = 86_400;

pub(crate) fn parse(text: &str) -> Result<Configuration, Vec<Diagnostic>> {
    let mut sink = Sink::new(text);
    let start = Span { start: 0, len: text.chars().next().map_or(0, char::len_utf8) };
    let stored = stored_len(text);
    if stored > MAX_BYTES {
        let help = "name VMs by ranges such as `v[01..40]`, or split the fleet in two";
        sink.error(start, Kind::TooLarge(stored), help);
        return Err(sink.into_found());
    }
    let sections = text::read(text, &mut sink);
    if sections.is_empty() {
        // One mistake a line would say nothing more.
        let mut sink = Sink::new(text);
        sink.error(start, Kind::NotIni, "begin with `[fleet]` and `version = 1`");
        return Err(sink.into_found());
    }
    let sections = schema::check(sections, &mut sink);
    whole(&sections, start, Span { start: text.len(), len: 0 }, sink)
}

/// The bytes of `text` as a JSON string.
fn stored_len(text: &str) -> usize {
    const UNICODE: usize = 6; // \u001b
    text.bytes()
        .map(|byte| match byte {
            b'\n' | b'\r' | b'\t' | b'"' | b'\\' => 2,
            0..=0x1f => UNICODE,
            _ => 1,
        })
        .sum()
}

fn whole(
    sections: &[Section<'_>],
    start: Span,
    end: Span,
    mut sink: Sink<'_>,
) -> Result<Configuration, Vec<Diagnostic>> {
    let settings = settings(sections, start, &mut sink);
    let declared = declared(sections, &mut sink);
    budget::check(&declared, sections, &mut sink);
    let fleet = declared.fleet;
    let rule_sections: Vec<_> = of_kind(sections, "rule").collect();
    let list = rules::read(&fleet, &rule_sections, end, &mut sink);
    if let Some(list) = &list {
        rules::warn(list, &rule_sections, &mut sink);
    }
    let refused = sink.has_errors();
    let found = sink.into_found();
    match (settings, list) {
        (Some(settings), Some(rules)) if !refused => {
            Ok(Configuration { fleet, rules, settings, warnings: found })
        }
        _ => Err(found),
    }
}

fn of_kind<'k, 'a>(
    sections: &'k [Section<'a>],
    kind: &'k str,
) -> impl Iterator<Item = &'k Section<'a>> {
    sections.iter().filter(move |section| section.kind() == kind)
}

fn settings(sections: &[Section<'_>], start: Span, sink: &mut Sink<'_>) -> Option<Settings> {
    let Some(section) = of_kind(sections, "fleet").next() else {
        let help = "begin with `[fleet]`, `version = 1` and `name = …`";
        sink.error(start, Kind::MissingSection("fleet"), help);
        return None;
    };
    let mut keys = Keys { section, sink };
    version(&mut keys);
    let name: Option<Name> = keys.name("name");
    let utc_offset_minutes = keys.number("utc_offset_minutes", -MAX_OFFSET, MAX_OFFSET, 0);
    let default = u32::try_from(Situation::STALE_AFTER.as_secs()).unwrap_or(MAX_STALE);
    let stale = keys.number("stale_after_seconds", 1, MAX_STALE, default);
    let stale_after = Duration::from_secs(stale.into());
    Some(Settings { name: name?, utc_offset_minutes, stale_after })
}

fn version(keys: &mut Keys<'_, '_, '_>) {
    let Some(piece) = keys.required("version") else { return };
    let version = keys.number("version", 1, u32::MAX, VERSION);
    if version != VERSION {
        let help = format!("write `version = {VERSION}`, or use a program that reads {version}");
        keys.sink.error(piece.span(), Kind::Version(version), help);
    }
}

/// The fleet, and which parts of it are sound enough to check against others.
/// A mistake in one key must not be blamed on all that depends on it.
pub(crate) struct Declared {
    pub fleet: Fleet,
    /// Whether every rack was read without a mistake.
    pub racks_sound: bool,
    /// The services that were read without a mistake.
    pub sound: HashSet<ServiceId>,
}

/// Everything but the rules; what is referred to comes before what refers.
fn declared(sections: &[Section<'_>], sink: &mut Sink<'_>) -> Declared {
    let mut fleet = Fleet::default();
    for section in of_kind(sections, "weights") {
        services::weights(&mut fleet, Keys { section, sink });
    }
    for section in of_kind(sections, "data_centre") {
        topology::data_centre(&mut fleet, Keys { section, sink });
    }
    for section in of_kind(sections, "pool") {
        topology::pool(&mut fleet, Keys { section, sink });
    }
    for section in of_kind(sections, "team") {
        services::team(&mut fleet, Keys { section, sink });
    }
    let before = sink.count();
    let mut racks = Racks::default();
    for section in of_kind(sections, "rack") {
        racks.rack(&mut fleet, section, sink);
    }
    let racks_sound = sink.count() == before;
    let mut sound = HashSet::new();
    for section in of_kind(sections, "service") {
        let before = sink.count();
        let service = services::service(&mut fleet, section, sink);
        sound.extend(service.filter(|_| sink.count() == before));
    }
    Declared { fleet, racks_sound, sound }
}

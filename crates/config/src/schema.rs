//! The known sections and their keys.

use corianderfork_rules::nearest;

use crate::diagnostic::Kind;
use crate::sink::Sink;
use crate::text::{Piece, Section};

/// A kind of section.
struct SectionKind {
    kind: &'static str,
    /// Whether the title has a name after the kind, as in `[rack.k1]`.
    has_name: bool,
    keys: &'static [&'static str],
}

const SECTION_KINDS: [SectionKind; 8] = [
    SectionKind {
        kind: "fleet",
        has_name: false,
        keys: &["version", "name", "utc_offset_minutes", "stale_after_seconds"],
    },
    SectionKind { kind: "weights", has_name: false, keys: &["moves", "buffer", "roll_out"] },
    SectionKind { kind: "data_centre", has_name: true, keys: &["region"] },
    SectionKind {
        kind: "rack",
        has_name: true,
        keys: &["data_centre", "pool", "vms", "cores", "memory_gb", "accelerators", "kind"],
    },
    SectionKind { kind: "pool", has_name: true, keys: &["maintenance_days", "lends"] },
    SectionKind {
        kind: "team",
        has_name: true,
        keys: &["quota_cores", "quota_memory_gb", "quota_accelerators"],
    },
    SectionKind {
        kind: "service",
        has_name: true,
        keys: &[
            "pool",
            "team",
            "class",
            "cores",
            "memory_gb",
            "accelerators",
            "min_copies",
            "max_copies",
            "unavailable",
            "outlasts",
            "licences",
            "slots",
            "connections",
            "run_ms",
            "warm_ms",
        ],
    },
    SectionKind { kind: "rule", has_name: true, keys: &["when", "then"] },
];

/// Reports unknown and duplicate sections and keys. Returns the known sections
/// without duplicates.
pub(crate) fn check<'a>(sections: Vec<Section<'a>>, sink: &mut Sink<'_>) -> Vec<Section<'a>> {
    let mut first_starts = std::collections::HashMap::new();
    let mut known = Vec::new();
    for mut section in sections {
        let Some(kind) = find_kind(&section, sink) else { continue };
        check_keys(&mut section, kind, sink);
        let first = *first_starts.entry(section.title.text).or_insert(section.title.start);
        if first == section.title.start {
            known.push(section);
            continue;
        }
        let name = section.title.text.to_owned();
        let error = Kind::Duplicate { what: "section", name, first_line: sink.line(first) };
        sink.error(section.title.span(), error, "merge the two, or rename one");
    }
    known
}

/// Returns the kind of a section, or reports an invalid title.
fn find_kind(section: &Section<'_>, sink: &mut Sink<'_>) -> Option<&'static SectionKind> {
    let (kind, span) = (section.kind(), section.title.span());
    let Some(found) = SECTION_KINDS.iter().find(|known| known.kind == kind) else {
        let help = nearest::help(kind, SECTION_KINDS.iter().map(|known| known.kind));
        sink.error(span, Kind::UnknownSection(section.title.text.to_owned()), help);
        return None;
    };
    let name = section.name().map_or("", |name| name.text);
    if found.has_name && name.is_empty() {
        sink.error(
            span,
            Kind::MissingSectionName(kind.to_owned()),
            format!("write `[{kind}.NAME]`"),
        );
        return None;
    }
    if !found.has_name && section.title.text != kind {
        sink.error(span, Kind::UnexpectedSectionName(kind.to_owned()), format!("write `[{kind}]`"));
        return None;
    }
    Some(found)
}

/// Reports unknown and duplicate keys. An unknown key is replaced by the known
/// one that it resembles: otherwise a misspelt required key would be reported a
/// second time as missing.
fn check_keys(section: &mut Section<'_>, kind: &SectionKind, sink: &mut Sink<'_>) {
    for i in 0..section.entries.len() {
        let Piece { text: key, start } = section.entries[i].key;
        let span = section.entries[i].key.span();
        if !kind.keys.contains(&key) {
            let error =
                Kind::UnknownKey { section: section.title.text.to_owned(), key: key.to_owned() };
            sink.error(span, error, nearest::help(key, kind.keys.iter().copied()));
            let known = nearest::find(key, kind.keys.iter().copied());
            if let Some(text) = known.filter(|known| section.get(known).is_none()) {
                section.entries[i].key = Piece { text, start };
            }
            continue;
        }
        if let Some(first) = section.entries[..i].iter().find(|other| other.key.text == key) {
            let first_line = sink.line(first.key.start);
            let error = Kind::Duplicate { what: "key", name: key.to_owned(), first_line };
            sink.error(span, error, "keep one of the two");
        }
    }
}

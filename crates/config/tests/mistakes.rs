//! Each error is reported once, at its position and with a remedy.

mod common;

use common::{INDUS, diagnostics, single_diagnostic};
use corianderfork_config::diagnostic::{Budget, Kind, MAX_LISTED};
use corianderfork_config::{MAX_BYTES, Severity, parse};
use proptest::prelude::*;

#[test]
fn parse_many_errors() {
    let text = INDUS
        .replacen("version = 1", "version = 1\ncolour = red", 1)
        .replacen("cores = 16", "cores = many", 1)
        .replacen("[pool.records]", "[pol.records]", 1)
        .replacen("load(move)", "load(mve)", 1)
        .replacen("when = store_down", "when store_down", 1);
    let found = parse(&text).expect_err("errors");
    let lines: Vec<_> = text.lines().collect();
    for (part, help) in [
        ("colour", "known: version, name, utc_offset_minutes, stale_after_seconds"),
        ("many", "write a number with at most three decimals"),
        ("pol.records", "did you mean `pool`?"),
        ("mve", "did you mean `move`?"),
        ("when store_down", "write `[section]` or `key = value`"),
    ] {
        let diagnostic = found
            .iter()
            .find(|diagnostic| diagnostic.help == help)
            .unwrap_or_else(|| panic!("{found:#?}"));
        assert_eq!(&text[diagnostic.offset..diagnostic.offset + diagnostic.len], part);
        assert!(lines[diagnostic.line - 1][diagnostic.column - 1..].starts_with(part));
    }
    assert!(found.is_sorted_by_key(|diagnostic| diagnostic.offset));
}

#[test]
fn parse_unknown_key() {
    let (kind, help) = single_diagnostic("licences = 15", "licenses = 15");
    assert!(matches!(kind, Kind::UnknownKey { key, .. } if key == "licenses"));
    assert_eq!(help, "did you mean `licences`?");
}

#[test]
fn parse_error_not_reported_for_dependents() {
    // One error was reported many times: the budgets that depend on an unreadable
    // pool or licence count were checked against its placeholder value.
    let text = INDUS.replace("pool = records\nvms", "pool = recrds\nvms");
    let found = parse(&text).expect_err("unknown pool");
    assert_eq!(found.len(), 6, "{found:#?}");
    assert!(
        found.iter().all(|diagnostic| matches!(diagnostic.kind, Kind::UnknownReference { .. }))
    );
    assert!(matches!(
        single_diagnostic("licences = 15", "licences = many").0,
        Kind::InvalidNumber { .. }
    ));
}

#[test]
fn parse_misspelt_last_key() {
    // Rendering failed on a span beyond the end of the text: a misspelt last key was
    // marked with the length of the longer key that it was read as.
    check_spans("[service.x]\nlicenc=").expect("within the text");
}

#[test]
fn parse_missing_key_or_section() {
    let (kind, _) = single_diagnostic("min_copies = 8\n", "");
    assert!(matches!(kind, Kind::MissingKey { key: "min_copies", .. }));
    let (kind, _) = single_diagnostic("min_copies = 8", "min_copies =");
    assert!(matches!(kind, Kind::MissingKey { key: "min_copies", .. }));
    let (kind, _) = single_diagnostic("[weights]", "[weights.own]");
    assert_eq!(kind, Kind::UnexpectedSectionName("weights".to_owned()));
    let (kind, _) = single_diagnostic("[weights]\n", "[team.]\n[weights]\n");
    assert_eq!(kind, Kind::MissingSectionName("team".to_owned()));
    let text = INDUS.replacen("[fleet]", "[weights]", 1);
    assert_eq!(parse(&text).expect_err("no fleet")[0].kind, Kind::MissingSection("fleet"));
}

#[test]
fn parse_invalid_numbers() {
    for (from, to, upper_bound) in [
        ("cores = 16", "cores = 2000", Some("1024")),
        ("cores = 16", "cores = -1", None),
        ("cores = 16", "cores = 0", Some("1024")),
        ("cores = 16", "cores = 1.2345", None),
        ("cores = 16", "cores = 99999999999999999999", None),
        ("memory_gb = 32", "memory_gb = 1e9", None),
        ("slots = 8", "slots = 0", Some("1024")),
        ("slots = 8", "slots = -8", Some("1024")),
        ("slots = 8", "slots = 99999999999999999999", Some("1024")),
        ("connections = 64", "connections = 65536", Some("65535")),
        ("unavailable = 10%", "unavailable = 101%", Some("100%")),
        ("unavailable = 10%", "unavailable = 10", None),
        ("utc_offset_minutes = 300", "utc_offset_minutes = 841", Some("840")),
        ("maintenance_days = 42", "maintenance_days = 0", Some("365")),
        ("run_ms = 60", "run_ms = soon", None),
    ] {
        match (single_diagnostic(from, to).0, upper_bound) {
            (Kind::OutOfBounds { max, .. }, Some(bound)) => assert_eq!(max, bound, "{to}"),
            (Kind::InvalidNumber { .. }, None) => {}
            (kind, _) => panic!("{to}: {kind:?}"),
        }
    }
}

#[test]
fn parse_duplicates() {
    let duplicate = |from: &str, to: &str| match single_diagnostic(from, to).0 {
        Kind::Duplicate { what, name, first_line } => (what, name, first_line),
        kind => panic!("{kind:?}"),
    };
    let line = |part: &str| INDUS.lines().position(|line| line == part).expect("a line") + 1;
    let (g1, version) = (line("vms = g[01..04]"), line("version = 1"));
    assert_eq!(duplicate("vms = g[05..08]", "vms = g[04..08]"), ("VM", "g04".to_owned(), g1));
    let duplicate_key = ("key", "version".to_owned(), version);
    assert_eq!(duplicate("version = 1", "version = 1\nversion = 1"), duplicate_key);
    let duplicate_rule = "[rule.open]\nwhen = wave\nthen = hold\n\n[rule.open]";
    assert_eq!(duplicate("[rule.open]", duplicate_rule).0, "section");
}

#[test]
fn parse_unknown_references() {
    for (from, to, help) in [
        ("pool = switching", "pool = swiching", "did you mean `switching`?"),
        ("data_centre = johar", "data_centre = joha", "did you mean `johar`?"),
        ("team = counter", "team = couter", "did you mean `counter`?"),
        ("class = later", "class = latter", "did you mean `later`?"),
        ("outlasts = rack", "outlasts = rock", "did you mean `rack`?"),
        ("lends = yes", "lends = si", "known: yes, no"),
    ] {
        assert_eq!(single_diagnostic(from, to).1, help, "{to}");
    }
    let (kind, _) = single_diagnostic("pool.switching", "pool.switching!\n[pool.switching");
    assert!(matches!(kind, Kind::Syntax(_)), "{kind:?}");
    assert!(matches!(
        single_diagnostic("region = lahore", "region = la hore").0,
        Kind::InvalidName(_)
    ));
}

#[test]
fn parse_vm_ranges() {
    for invalid in ["g[01..]", "g[04..01]", "g[01-04]", "g[01..04", "g01,,g02", "[..]"] {
        let (kind, _) = single_diagnostic("vms = g[01..04]", &format!("vms = {invalid}"));
        assert!(matches!(kind, Kind::InvalidVmRange(_)), "{invalid}: {kind:?}");
    }
    let (kind, _) = single_diagnostic("vms = g[01..04]", "vms = g[1..999999999]");
    assert!(matches!(kind, Kind::TooManyVms(_)));
    let config = parse(&INDUS.replacen("g[01..04]", "x1, y[08..11]b", 1)).expect("a valid list");
    assert!(config.fleet.find_vm("y09b").is_some());
    assert_eq!(config.fleet.vms().len(), 61);
}

#[test]
fn parse_impossible_budgets() {
    let budget = |from: &str, to: &str| match single_diagnostic(from, to).0 {
        Kind::Budget(budget) => budget,
        kind => panic!("{kind:?}"),
    };
    use Budget::*;
    let counts = "min_copies = 8\nmax_copies = 15";
    assert!(matches!(budget(counts, "min_copies = 9\nmax_copies = 8"), MinAboveMax { .. }));
    assert!(matches!(budget("max_copies = 15", "max_copies = 16"), TooFewLicences { .. }));
    let single = "min_copies = 1\nmax_copies = 1";
    assert!(matches!(budget(counts, single), SingleCopy { .. }));
    let large = "cores = 17\nmemory_gb = 10";
    assert!(matches!(budget("cores = 6\nmemory_gb = 10", large), CopyTooLarge { .. }));
    let empty_pool = "[pool.empty]\n[service.settlement]\npool = empty";
    assert!(matches!(
        budget("[service.settlement]\npool = switching", empty_pool),
        EmptyPool { .. }
    ));
    assert!(matches!(
        budget("quota_cores = 480", "quota_cores = 50"),
        QuotaExceeded { resource: "cores", .. }
    ));
    let text = INDUS.replace("data_centre = johar", "data_centre = gulberg");
    let text = text.replace("data_centre = cantt", "data_centre = gulberg");
    let found = parse(&text).expect_err("one data centre");
    assert_eq!(found.len(), 2, "{found:#?}");
    assert!(matches!(&found[0].kind, Kind::Budget(SingleDomain { domain: "data centre", .. })));
}

#[test]
fn parse_too_many_copies_for_pool() {
    // 36 VMs hold two copies each.
    let counts = "min_copies = 73\nmax_copies = 80";
    let text = INDUS.replacen("min_copies = 8\nmax_copies = 15", counts, 1);
    let found = parse(&text.replacen("licences = 15", "licences = 80", 1))
        .expect_err("more copies than fit");
    let fit = found.iter().find_map(|diagnostic| match &diagnostic.kind {
        Kind::Budget(Budget::CopiesDoNotFit { fit, .. }) => Some(*fit),
        _ => None,
    });
    assert_eq!(fit, Some(72));
    // The copies of each service fit, but not those of all together.
    let text = INDUS.replace("min_copies = 8\nmax_copies = 15", "min_copies = 60\nmax_copies = 80");
    let found = parse(&text.replace("licences = 15", "licences = 80")).expect_err("too small");
    let is_pool_too_small = |kind: &Kind| matches!(kind, Kind::Budget(Budget::PoolTooSmall { .. }));
    assert!(found.iter().any(|diagnostic| is_pool_too_small(&diagnostic.kind)), "{found:#?}");
}

#[test]
fn parse_invalid_rules() {
    let (kind, _) = single_diagnostic("when = always", "when = hour < 24");
    assert_eq!(kind, Kind::NoFallback("otherwise".to_owned()));
    let (head, _) = INDUS.split_once("[rule.").expect("rules");
    assert_eq!(parse(head).expect_err("no rule")[0].kind, Kind::NoRule);
    let text = INDUS.replacen("when = store_down", "when = hour > 5 and hour < 3", 1);
    let warnings = parse(&text).expect("only a warning").warnings;
    let warning =
        warnings.iter().find(|diagnostic| diagnostic.severity == Severity::Warning).expect("one");
    assert!(warning.message.contains("`store_down` never matches"), "{warning}");
}

#[test]
fn parse_fixed_copies() {
    let text = INDUS.replacen("min_copies = 8", "min_copies = 15", 1);
    let warnings = parse(&text).expect("only a warning").warnings;
    let is_fixed = |kind: &Kind| matches!(kind, Kind::Budget(Budget::FixedCopies { .. }));
    assert!(warnings.iter().any(|diagnostic| is_fixed(&diagnostic.kind)));
}

#[test]
fn parse_other_formats() {
    let only_kind = |text: &str| {
        let found = parse(text).expect_err("no configuration");
        assert_eq!(found.len(), 1, "{found:#?}");
        found[0].kind.clone()
    };
    assert_eq!(only_kind(""), Kind::NotIni);
    assert_eq!(only_kind("{\"fleet\": {\"version\": 1}}"), Kind::NotIni);
    assert_eq!(only_kind("\u{0}\u{1}\n\u{7f}\u{ffff}"), Kind::NotIni);
    // Each line break takes two bytes in the store.
    assert_eq!(only_kind(&"\n".repeat(MAX_BYTES / 2 + 1)), Kind::TooLarge(MAX_BYTES / 2 * 2 + 2));
    let lines = "x\n".repeat(5_000);
    let found = parse(&format!("[fleet]\n{lines}")).expect_err("errors");
    assert_eq!(found.len(), MAX_LISTED + 1);
    assert!(matches!(found[MAX_LISTED].kind, Kind::NotListed(n) if n >= 5_000 - MAX_LISTED));
    assert!(matches!(
        single_diagnostic("version = 1", "version = 2").0,
        Kind::UnsupportedVersion(2)
    ));
}

#[test]
fn parse_crlf_and_byte_order_mark() {
    let windows = format!("\u{feff}{}", INDUS.replace('\n', "\r\n"));
    let (crlf, lf) = (parse(&windows).expect("valid"), parse(INDUS).expect("valid"));
    assert_eq!((crlf.fleet, crlf.rules, crlf.settings), (lf.fleet, lf.rules, lf.settings));
}

proptest! {
    #![proptest_config(common::cases(256))]

    #[test]
    fn parse_arbitrary_text(text in "(?s).{0,200}") {
        check_spans(&text)?;
    }

    #[test]
    fn parse_arbitrary_edit(at in 0..INDUS.len(), len in 0..40usize, new in "[\\[\\]=.;%a-z0-9é\n]{0,12}") {
        let end = (at + len).min(INDUS.len());
        let text = format!("{}{new}{}", &INDUS[..at], &INDUS[end..]);
        check_spans(&text)?;
        prop_assert_eq!(parse(&text), parse(&text));
    }
}

/// Checks that every span is within the text and can be rendered.
fn check_spans(text: &str) -> Result<(), TestCaseError> {
    let found = parse(text).map_or_else(|found| found, |config| config.warnings);
    for diagnostic in &found {
        prop_assert!(
            text.get(diagnostic.offset..diagnostic.offset + diagnostic.len).is_some(),
            "{diagnostic:?}"
        );
        prop_assert!(!diagnostic.help.is_empty());
    }
    let report = corianderfork_config::Report::new("any.ini", text, found);
    let printed = format!("{:?}", miette::Report::new(report));
    prop_assert!(printed.contains("any.ini"));
    Ok(())
}

#[test]
fn parse_error_position() {
    let found = diagnostics("slots = 8", "slots = lots");
    let line = INDUS.lines().position(|line| line == "slots = 8").expect("a line") + 1;
    assert_eq!((found[0].line, found[0].column, found[0].len), (line, 9, 4));
}

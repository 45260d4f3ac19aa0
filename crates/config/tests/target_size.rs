//! The target size fits the store and is accepted.

use std::fmt::Write;

use corianderfork_config::{MAX_BYTES, diff, parse};

const VMS: usize = 2_900;
const PER_RACK: usize = 4;
const POOLS: usize = 34;
const TEAMS: usize = 570;
const DATA_CENTRES: usize = 5;

/// A fleet of the target size: each team has one service.
fn target() -> String {
    let mut text = "[fleet]\nversion = 1\nname = target\n".to_owned();
    let mut add = |section: std::fmt::Arguments<'_>| text.write_fmt(section).expect("a string");
    for i in 0..DATA_CENTRES {
        add(format_args!("[data_centre.d{i}]\nregion = r{}\n", i % 2));
    }
    for i in 0..POOLS {
        add(format_args!("[pool.p{i}]\n"));
    }
    for i in 0..VMS / PER_RACK {
        let (first, last) = (i * PER_RACK, i * PER_RACK + PER_RACK - 1);
        let (data_centre, pool) = (i % DATA_CENTRES, i % POOLS);
        add(format_args!("[rack.k{i}]\ndata_centre = d{data_centre}\npool = p{pool}\n"));
        add(format_args!("vms = v[{first:04}..{last:04}]\ncores = 64\nmemory_gb = 256\n"));
    }
    for i in 0..TEAMS {
        let pool = i % POOLS;
        add(format_args!("[team.t{i}]\nquota_cores = 100\nquota_memory_gb = 400\n"));
        add(format_args!("[service.s{i}]\npool = p{pool}\nteam = t{i}\ncores = 8\n"));
        add(format_args!("memory_gb = 16\nmin_copies = 4\nlicences = 10\noutlasts = rack\n"));
    }
    text + "[rule.otherwise]\nwhen = always\nthen = headroom all 20%\n"
}

#[test]
fn parse_target() {
    let text = target();
    assert!(text.len() * 4 < MAX_BYTES, "{} bytes", text.len());
    let parsed = parse(&text).expect("sound");
    assert_eq!(parsed.fleet.vms().len(), VMS);
    assert_eq!(parsed.fleet.pools().len(), POOLS);
    assert_eq!(parsed.fleet.teams().len(), TEAMS);
    assert!(parsed.warnings.is_empty(), "{:?}", parsed.warnings);
    assert_eq!(parsed.rules.rules()[0].then().len(), TEAMS);
}

#[test]
fn diff_target() {
    let old = target();
    let new = old.replacen("licences = 10", "licences = 12", 1);
    assert_eq!(diff(&old, &old), []);
    assert_eq!(diff(&old, &new).len(), 1);
}

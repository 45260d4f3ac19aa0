//! A configuration of the target fleet size is valid and fits in the store.

use std::fmt::Write;

use corianderfork_config::{MAX_BYTES, diff, parse};

const VMS: usize = 2_900;
const VMS_PER_RACK: usize = 4;
const POOLS: usize = 34;
const TEAMS: usize = 570;
const DATA_CENTRES: usize = 5;

/// Returns a configuration of the target size, with one service per team.
fn target_text() -> String {
    let mut text = "[fleet]\nversion = 1\nname = target\n".to_owned();
    let mut push =
        |section: std::fmt::Arguments<'_>| text.write_fmt(section).expect("writing to a string");
    for i in 0..DATA_CENTRES {
        push(format_args!("[data_centre.d{i}]\nregion = r{}\n", i % 2));
    }
    for i in 0..POOLS {
        push(format_args!("[pool.p{i}]\n"));
    }
    for i in 0..VMS / VMS_PER_RACK {
        let (first, last) = (i * VMS_PER_RACK, i * VMS_PER_RACK + VMS_PER_RACK - 1);
        let (data_centre, pool) = (i % DATA_CENTRES, i % POOLS);
        push(format_args!("[rack.k{i}]\ndata_centre = d{data_centre}\npool = p{pool}\n"));
        push(format_args!("vms = v[{first:04}..{last:04}]\ncores = 64\nmemory_gb = 256\n"));
    }
    for i in 0..TEAMS {
        let pool = i % POOLS;
        push(format_args!("[team.t{i}]\nquota_cores = 100\nquota_memory_gb = 400\n"));
        push(format_args!("[service.s{i}]\npool = p{pool}\nteam = t{i}\ncores = 8\n"));
        push(format_args!("memory_gb = 16\nmin_copies = 4\nlicences = 10\noutlasts = rack\n"));
    }
    text + "[rule.otherwise]\nwhen = always\nthen = headroom all 20%\n"
}

#[test]
fn parse_target_size() {
    let text = target_text();
    assert!(text.len() * 4 < MAX_BYTES, "{} bytes", text.len());
    let config = parse(&text).expect("a valid configuration");
    assert_eq!(config.fleet.vms().len(), VMS);
    assert_eq!(config.fleet.pools().len(), POOLS);
    assert_eq!(config.fleet.teams().len(), TEAMS);
    assert!(config.warnings.is_empty(), "{:?}", config.warnings);
    assert_eq!(config.rules.rules()[0].then().len(), TEAMS);
}

#[test]
fn diff_target_size() {
    let old = target_text();
    let new = old.replacen("licences = 10", "licences = 12", 1);
    assert_eq!(diff(&old, &old), []);
    assert_eq!(diff(&old, &new).len(), 1);
}

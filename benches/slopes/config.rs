//! The operators' configuration, which each process parses completely on each change.

use corianderfork::config;

use crate::fit::{Series, memory_kib, micros, print_retained};
use crate::fleet;

const SIZES: [usize; 4] = [340, 850, 1700, 2900];

pub fn series() -> Vec<Series> {
    let text = |vms| fleet::text(vms).len() as f64 / 1024.0;
    let parse = |vms| {
        let text = fleet::text(vms);
        micros(|| config::parse(&text)) / 1e3
    };
    let memory = |vms| memory_kib("configuration", vms);
    vec![
        Series::new("all", "configuration_text", ("vm", "KiB"), &SIZES, text),
        Series::new("all", "configuration_parse", ("vm", "ms"), &SIZES, parse),
        Series::new("all", "configuration_held", ("vm", "KiB"), &SIZES, memory),
    ]
}

pub fn print_memory(vms: usize) {
    let text = fleet::text(vms);
    print_retained(|| (config::parse(&text), text.clone()));
}

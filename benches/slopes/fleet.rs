//! Generated fleets of any size, in the shape of the target fleet.

use std::fmt::Write;

use corianderfork::config::{self, Configuration};

/// VMs per pool at the target size: 2,900 VMs in 34 pools.
const VMS_PER_POOL: usize = 85;
/// Services per pool.
const SERVICES_PER_POOL: usize = 5;
/// VMs per rack.
const VMS_PER_RACK: usize = 4;
/// Data centres at the target size.
const DATA_CENTRES: usize = 5;
/// VMs per team at the target size: 570 teams.
const VMS_PER_TEAM: usize = 5;

/// Returns the configuration of a fleet of `vms` VMs.
pub fn text(vms: usize) -> String {
    let mut text = String::from("[fleet]\nversion = 1\nname = slopes\n\n[weights]\nmoves = 1\n\n");
    let pools = vms.div_ceil(VMS_PER_POOL);
    for centre in 0..DATA_CENTRES {
        write!(text, "[data_centre.dc{centre}]\nregion = r{}\n\n", centre % 2).expect("memory");
    }
    for pool in 0..pools {
        write!(text, "[pool.p{pool}]\n\n").expect("memory");
    }
    for team in 0..vms.div_ceil(VMS_PER_TEAM) {
        write!(text, "[team.t{team}]\nquota_cores = 200\nquota_memory_gb = 800\n\n")
            .expect("memory");
    }
    for rack in 0..vms.div_ceil(VMS_PER_RACK) {
        push_rack(&mut text, rack, pools, vms);
    }
    for pool in 0..pools {
        push_services(&mut text, pool);
    }
    text.push_str("[rule.last]\nwhen = always\nthen = hold\n");
    text
}

fn push_rack(text: &mut String, rack: usize, pools: usize, vms: usize) {
    let first = rack * VMS_PER_RACK;
    let names: Vec<_> = (first..vms.min(first + VMS_PER_RACK)).map(|vm| format!("v{vm}")).collect();
    let (centre, pool) = (rack % DATA_CENTRES, rack % pools);
    write!(text, "[rack.r{rack}]\ndata_centre = dc{centre}\nvms = {}\n", names.join(", "))
        .expect("memory");
    write!(text, "cores = 64\nmemory_gb = 256\naccelerators = 1\npool = p{pool}\n\n")
        .expect("memory");
}

fn push_services(text: &mut String, pool: usize) {
    for service in 0..SERVICES_PER_POOL {
        write!(text, "[service.s{pool}-{service}]\npool = p{pool}\ncores = 8\nmemory_gb = 16\n")
            .expect("memory");
        text.push_str("min_copies = 8\nmax_copies = 14\nunavailable = 20%\noutlasts = rack\n");
        text.push_str("licences = 14\n\n");
    }
}

/// Returns the parsed configuration of a fleet of `vms` VMs.
pub fn parsed(vms: usize) -> Configuration {
    match config::parse(&text(vms)) {
        Ok(parsed) => parsed,
        Err(mistakes) => panic!("{}", mistakes[0]),
    }
}

//! Generated fleets of any size for whole-system benchmarks.

use std::fmt::Write;

const VMS_PER_RACK: usize = 4;
const DATA_CENTRES: usize = 3;

/// Returns the configuration of `vms` VMs with one pool per hundred VMs, five services
/// per pool and about one copy per VM.
pub fn text(vms: usize) -> String {
    let mut text =
        String::from("[fleet]\nversion = 1\nname = measured\n\n[weights]\nmoves = 1\n\n");
    let pools = vms.div_ceil(100);
    for centre in 0..DATA_CENTRES {
        write!(text, "[data_centre.dc{centre}]\nregion = r\n\n").expect("memory");
    }
    for pool in 0..pools {
        write!(text, "[pool.p{pool}]\n\n").expect("memory");
        let copies = (vms / pools / 6).max(2);
        for service in 0..5 {
            write!(text, "[service.s{pool}-{service}]\npool = p{pool}\ncores = 4\nmemory_gb = 8\n")
                .expect("memory");
            write!(text, "min_copies = {copies}\nmax_copies = {0}\nlicences = {0}\n", 2 * copies)
                .expect("memory");
            text.push_str("unavailable = 20%\noutlasts = vm\nrun_ms = 5\nwarm_ms = 100\n\n");
        }
    }
    for rack in 0..vms.div_ceil(VMS_PER_RACK) {
        let first = rack * VMS_PER_RACK;
        let names: Vec<_> =
            (first..vms.min(first + VMS_PER_RACK)).map(|vm| format!("v{vm}")).collect();
        let (centre, pool) = (rack % DATA_CENTRES, rack % pools);
        write!(text, "[rack.r{rack}]\ndata_centre = dc{centre}\nvms = {}\n", names.join(", "))
            .expect("memory");
        write!(text, "cores = 16\nmemory_gb = 32\npool = p{pool}\n\n").expect("memory");
    }
    text.push_str("[rule.last]\nwhen = always\nthen = normal\n");
    text
}

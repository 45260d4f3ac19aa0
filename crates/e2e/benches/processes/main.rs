//! Benchmarks of the processes' latency and resource use on one machine.
//!
//! ```sh
//! cargo build --release --workspace --bins
//! cargo bench -p corianderfork-e2e --bench processes
//! ```
//!
//! Prints a block of CSV per benchmark. Loads are bounded. Nothing else should run on
//! the machine, since bytes are counted over the whole loopback interface.

mod fleet;
mod latency;
mod outage;
mod usage;

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    let benchmarks: [(&str, fn()); 5] = [
        ("latency", latency::print),
        ("in_force", latency::print_in_force),
        ("entries", usage::print_by_entries),
        ("vms", usage::print_by_vms),
        ("outage", outage::print),
    ];
    for (name, print) in benchmarks {
        if selected.is_empty() || selected.iter().any(|other| other == name) {
            print();
        }
    }
}

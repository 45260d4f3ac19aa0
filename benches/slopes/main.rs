//! The cost of each role as the fleet grows, measured at several sizes on one machine and
//! fitted with a straight line.
//!
//! ```sh
//! cargo bench --bench slopes
//! ```
//!
//! Prints CSV: each point, then one line per slope with its spread, which is the largest
//! distance of a point from the line as a share of the largest value. Times are the
//! minimum of several rounds, since other work on the machine can only add to them.

mod claims;
mod config;
mod controller;
mod fit;
mod fleet;
mod gossip;
mod proxy;

use fit::Series;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, flag, what, size] = arguments.as_slice()
        && flag == fit::MEMORY_FLAG
    {
        print_memory(what, size.parse().expect("a size"));
        return;
    }
    let series: Vec<Series> = [
        config::series(),
        controller::series(),
        gossip::series(),
        proxy::series(),
        claims::series(),
    ]
    .into_iter()
    .flatten()
    .collect();
    println!("point,role,what,x,x_unit,value,unit");
    series.iter().for_each(Series::print_points);
    println!("slope,role,what,per,slope,intercept,unit,spread");
    series.iter().for_each(Series::print_slope);
}

fn print_memory(what: &str, size: usize) {
    match what {
        "configuration" => config::print_memory(size),
        "controller" => controller::print_memory(size),
        "router" => proxy::print_memory(size),
        "claims" => claims::print_memory(size),
        _ => panic!("unknown measurement: {what}"),
    }
}

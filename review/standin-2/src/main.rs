//! Stand-ins and scenarios of the second review.
//!
//! `review-lab case NAME DIR RECORD` plays a case; `review-lab search SEED KINDS DIR` random jobs and
//! faults. Both are run in the repository, after the build of the deploy file.

mod cases;
mod check;
mod daemon;
mod fuzz;
mod http;
mod lab;
mod store;
mod world;

/// No scenario takes longer; what it started is ended then.
const LIMIT: std::time::Duration = std::time::Duration::from_secs(112);

fn main() {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        daemon::kill_all();
        std::process::exit(2);
    });
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.first().map(String::as_str) {
        Some("search") if args.len() == 4 => {
            fuzz::run(args[1].parse().unwrap_or(1), &args[2], &args[3])
        }
        Some("case") if args.len() == 4 => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            let (dir, record) = (std::path::Path::new(&args[2]), std::path::Path::new(&args[3]));
            match args[1].as_str() {
                "budget" => cases::budget(dir, record, has_trouble),
                "crashes" => cases::crashes(dir, record, has_trouble),
                "gang" => cases::gang(dir, record, has_trouble),
                _ => 2,
            }
        }
        _ => 2,
    };
    std::process::exit(code);
}

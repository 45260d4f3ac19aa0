//! The cases of the third review, each with stand-ins of its own on loopback.
//!
//! `review-3 CASE FOLDER` runs a case from the repository's root and writes `record.txt` into FOLDER.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod daemon;
mod http;
mod record;
mod runner;
mod setup;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().unwrap_or_default();
    let record = match Record::new(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{folder}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "schedule" => cases::schedule(record.clone(), &root, trouble),
        "names" => cases::names(record.clone(), &root, trouble),
        "fleet" => cases::fleet(record.clone(), &root, trouble),
        "late" => cases::late(record.clone(), &root, trouble),
        "memory" => cases::memory(record.clone(), &root, trouble),
        "long" => cases::long(record.clone(), &root, trouble),
        "settings" => cases::settings(record.clone(), &root, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (code, text) = match outcome {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was BROKEN".to_owned()),
        Err(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.line(&text);
    ExitCode::from(code)
}

//! The `--check` option, which checks the settings without starting the daemon.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Valid settings.
const GOOD: &str = "\
[process]
name = vm-1
data_centre = dc-1
ip = 127.0.0.1

[listen]
callers = 127.0.0.1:18080
readiness = 127.0.0.1:18081
peers_port = 18082

[store]
address = 127.0.0.1:18083
";

/// Runs the daemon with `--check` on the given settings.
fn check(name: &str, settings: &str) -> Output {
    let path: PathBuf = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
    std::fs::write(&path, settings).expect("a temporary file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_corianderfork-entry"));
    let output = command.arg("--check").arg("--settings").arg(&path).output().expect("it runs");
    std::fs::remove_file(&path).expect("it is there");
    output
}

#[test]
fn check_valid_settings() {
    let output = check("good", GOOD);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout, b"the settings are in order\n");
}

#[test]
fn check_reports_all_mistakes() {
    // Failure: a supervisor restarts the daemon again and again. Settings with two mistakes
    // were rolled out; only the first mistake was reported, and only at startup, so the
    // second one was found by the next rollout.
    let settings = GOOD.replace("name = vm-1\n", "").replace("peers_port", "peer_port");
    let output = check("bad", &settings);
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("name"), "{stderr}");
    assert!(stderr.contains("peer_port"), "{stderr}");
}

//! Clients that keep to no limit, at a proxy.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use corianderfork_e2e::callers;
use corianderfork_e2e::config::SMALL;
use corianderfork_e2e::system::{Config, System};

/// The memory of the proxy's VM, in MiB.
const MEMORY_MB: usize = 64;
/// The number of clients.
const CLIENTS: usize = 16;
/// The part of an endless head that each client sends, in bytes.
const HEAD_BYTES: usize = 8 << 20;
/// The size of a write, in bytes.
const PIECE: usize = 64 << 10;
/// How long a client waits until the proxy takes bytes.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the most memory that a process has used, in bytes.
fn peak_memory(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") << 10
}

// Guards against a proxy that runs out of memory on heads that don't end.
#[test]
fn proxy_receives_heads_without_end() {
    let system = System::converged(Config::new(SMALL));
    let proxy = system.entries[0].proxy.as_ref().expect("a proxy").id();
    let target = system.targets()[0].parse().expect("an address");
    let piece = vec![b'x'; PIECE];
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let mut stream = TcpStream::connect(target).expect("a connection");
        stream.set_write_timeout(Some(TIMEOUT)).expect("a timeout");
        let start = b"GET /lookup HTTP/1.1\r\nHost: h\r\nFiller: ";
        let mut is_open = stream.write_all(start).is_ok();
        for _ in 0..HEAD_BYTES / PIECE {
            is_open = is_open && stream.write_all(&piece).is_ok();
        }
        clients.push(stream);
    }
    let answer = callers::lookup(target, "lookup", "ordinary");
    let memory = peak_memory(proxy);
    println!("{} KiB, answer {}", memory >> 10, answer.status);
    assert_eq!(answer.status, 200, "an ordinary request isn't served");
    assert!(memory <= MEMORY_MB << 20, "{} KiB of {MEMORY_MB} MiB", memory >> 10);
}

//! The body of a backend server's response, in a form that lets a caller verify
//! that it belongs to the caller's request and is complete.
//!
//! ```
//! use corianderfork_standins::{answer, history::Fault};
//!
//! let body = answer::body("r1", "transfer", "vm1", b"sent", 8);
//! assert_eq!(answer::check("r1", "transfer", b"sent", &body), None);
//! assert_eq!(answer::check("r2", "transfer", b"sent", &body), Some(Fault::Crossed));
//! assert_eq!(answer::check("r1", "transfer", b"sent", &body[..40]), Some(Fault::Truncated));
//! ```

use crate::history::Fault;

const END_MARKER: &str = "\nend\n";

/// Returns the response body for request `id` with the body `sent`, padded by
/// `pad` bytes.
pub fn body(id: &str, service: &str, vm: &str, sent: &[u8], pad: usize) -> Vec<u8> {
    let padding = "x".repeat(pad);
    let head = head(id, service, sent);
    format!("{head}vm {vm}\npad {pad}\n{padding}{END_MARKER}").into_bytes()
}

/// Returns the id of the request that `got` responds to, if it names one.
pub fn id(got: &[u8]) -> Option<&str> {
    let line = got.split(|byte| *byte == b'\n').next()?;
    std::str::from_utf8(line).ok()?.strip_prefix("id ")
}

/// Returns what is wrong with `got` as the response to request `id` with the
/// body `sent`.
pub fn check(id: &str, service: &str, sent: &[u8], got: &[u8]) -> Option<Fault> {
    let head = head(id, service, sent);
    let got = String::from_utf8_lossy(got);
    let Some(rest) = got.strip_prefix(&head) else {
        let is_truncated = head.starts_with(&*got);
        return Some(if is_truncated { Fault::Truncated } else { Fault::Crossed });
    };
    let mut lines = rest.splitn(3, '\n').skip(1);
    let pad = lines.next().and_then(|line| line.strip_prefix("pad ")?.parse::<usize>().ok());
    let tail = lines.next().and_then(|tail| tail.strip_suffix(END_MARKER));
    match (pad, tail) {
        (Some(pad), Some(padding)) if padding.len() == pad => None,
        _ => Some(Fault::Truncated),
    }
}

fn head(id: &str, service: &str, sent: &[u8]) -> String {
    format!("id {id}\nservice {service}\ndigest {:016x}\n", digest(sent))
}

/// Hashes with FNV-1a, which suffices to distinguish test bodies.
fn digest(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

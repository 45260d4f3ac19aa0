//! A small HTTP client. Each call has a connection of its own.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a request. Returns the status and the body, or `None` without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    within: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    let deadline = within.as_millis();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {deadline}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

//! Scripted backend servers, raw callers, and proxies as processes.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

pub mod fleet;
pub mod peer;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longer than anything here takes.
pub const GENEROUS: Duration = Duration::from_secs(20);

/// What a scripted server does with one request.
pub enum Act {
    /// Writes this and keeps the connection open.
    Say(String),
    /// Writes this and closes.
    SayAndClose(String),
    /// Writes this, then nothing, the connection left open.
    Hang(String),
}

/// What a scripted server saw.
#[derive(Debug, PartialEq, Eq)]
pub enum Saw {
    Connection,
    Request {
        head: String,
        body: String,
    },
    /// The other side closed the connection.
    Closed,
}

/// Serves each connection on a thread of its own, each request by the next act.
pub fn server(acts: Vec<Act>) -> (SocketAddr, Receiver<Saw>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (saw, seen) = channel();
    let acts = Arc::new(Mutex::new(VecDeque::from(acts)));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (saw, acts) = (saw.clone(), Arc::clone(&acts));
            thread::spawn(move || converse(&stream.unwrap(), &saw, &acts));
        }
    });
    (address, seen)
}

fn converse(mut stream: &TcpStream, saw: &Sender<Saw>, acts: &Mutex<VecDeque<Act>>) {
    let _ = saw.send(Saw::Connection);
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_request(&mut reader) {
        let _ = saw.send(Saw::Request { head, body });
        let act = acts.lock().unwrap().pop_front();
        match act {
            Some(Act::Say(text) | Act::Hang(text)) => stream.write_all(text.as_bytes()).unwrap(),
            Some(Act::SayAndClose(text)) => {
                stream.write_all(text.as_bytes()).unwrap();
                break;
            }
            None => break,
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = saw.send(Saw::Closed);
}

fn read_request(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head += &line;
    }
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}

/// A whole answer.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends `text` on a new connection and reads until the other side closes.
pub fn raw(to: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(GENEROUS)).unwrap();
    stream.write_all(text).unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

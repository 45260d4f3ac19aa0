//! Scripted backend servers, raw callers and proxy processes.
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

/// Longer than any step of a test takes.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// What a scripted server does with one request.
pub enum Action {
    /// Writes the text and keeps the connection open.
    Reply(String),
    /// Writes the text and closes the connection.
    ReplyAndClose(String),
    /// Writes the text and then nothing more; the connection stays open.
    Hang(String),
}

/// What a scripted server received.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    Connection,
    Request {
        head: String,
        body: String,
    },
    /// The connection was closed.
    Closed,
}

/// Starts a server that handles each connection on its own thread and each request with
/// the next action.
pub fn server(actions: Vec<Action>) -> (SocketAddr, Receiver<Event>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (events, received) = channel();
    let actions = Arc::new(Mutex::new(VecDeque::from(actions)));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (events, actions) = (events.clone(), Arc::clone(&actions));
            thread::spawn(move || serve_connection(&stream.unwrap(), &events, &actions));
        }
    });
    (address, received)
}

fn serve_connection(
    mut stream: &TcpStream,
    events: &Sender<Event>,
    actions: &Mutex<VecDeque<Action>>,
) {
    let _ = events.send(Event::Connection);
    let mut reader = BufReader::new(stream);
    while let Some((head, body)) = read_request(&mut reader) {
        let _ = events.send(Event::Request { head, body });
        let action = actions.lock().unwrap().pop_front();
        match action {
            Some(Action::Reply(text) | Action::Hang(text)) => {
                stream.write_all(text.as_bytes()).unwrap()
            }
            Some(Action::ReplyAndClose(text)) => {
                stream.write_all(text.as_bytes()).unwrap();
                break;
            }
            None => break,
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = events.send(Event::Closed);
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

/// Returns a complete response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends `text` on a new connection and reads until the other side closes.
pub fn send_raw(to: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    stream.write_all(text).unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out);
    String::from_utf8_lossy(&out).into_owned()
}

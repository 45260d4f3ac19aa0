//! A TCP proxy that fails on demand.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use crate::connections::Connections;
use crate::http::{Reply, Request, Response, Server, Service, lock, spawn};

const CHUNK: usize = 16 * 1024;
const ADMIN_CONNECTIONS: usize = 16;

/// The direction that has stopped, as seen from the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Freeze {
    /// Neither.
    #[default]
    None,
    /// Towards the server.
    To,
    /// From the server.
    From,
    /// Both.
    Both,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    cut: Option<bool>,
    /// Whether new connections are closed at once; open ones go on.
    refuse: Option<bool>,
    delay_ms: Option<u64>,
    freeze: Option<Freeze>,
    #[serde(default)]
    silent: bool,
}

#[derive(Debug, Default)]
struct State {
    cut: bool,
    refuse: bool,
    delay_ms: u64,
    freeze: Freeze,
    next: u64,
    silent_below: u64,
    open: Vec<(u64, TcpStream, TcpStream)>,
}

/// The proxy and its switches.
#[derive(Debug)]
pub struct Proxy {
    to: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Proxy {
    /// Forwards the connections of `listener` to `to`, with its switches on
    /// the listener `admin`.
    ///
    /// # Errors
    ///
    /// Fails if a listener's address can't be read.
    pub fn start(listener: TcpListener, to: SocketAddr, admin: TcpListener) -> io::Result<Server> {
        let proxy = Arc::new(Self { to, state: Mutex::default(), changed: Condvar::new() });
        let accepting = proxy.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = accepting.clone();
                // A broken connection concerns only its caller.
                spawn(move || drop(proxy.connect(stream)));
            }
        });
        Server::start(admin, ADMIN_CONNECTIONS, Arc::new(Connections::default()), proxy)
    }

    fn connect(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let is_refused = {
            let state = lock(&self.state);
            state.cut || state.refuse
        };
        if is_refused {
            return caller.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(self.to)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let mut state = lock(&self.state);
        let id = state.next;
        state.next += 1;
        state.open.push((id, caller.try_clone()?, server.try_clone()?));
        if state.cut {
            state.cut_open();
        }
        drop(state);
        let (from_caller, to_server) = (caller.try_clone()?, server.try_clone()?);
        let (there, back) = (self.clone(), self.clone());
        spawn(move || there.pump(id, Freeze::To, from_caller, to_server));
        spawn(move || back.pump(id, Freeze::From, server, caller));
        Ok(())
    }

    fn pump(&self, id: u64, way: Freeze, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = vec![0; CHUNK];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if !self.passes(id, way) {
                if read == 0 {
                    return;
                }
                continue;
            }
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
        self.forget(id, way);
    }

    /// Holds a chunk back as the switches say; false if its connection is
    /// silent, in which case the end of one side isn't told to the other.
    fn passes(&self, id: u64, way: Freeze) -> bool {
        let delay_ms = lock(&self.state).delay_ms;
        thread::sleep(Duration::from_millis(delay_ms));
        let mut state = lock(&self.state);
        while state.freeze == way || state.freeze == Freeze::Both {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        id >= state.silent_below
    }

    /// Drops the handles of a connection once its answers have ended. Those of
    /// a silent one are kept, or its ends would hear of a close.
    fn forget(&self, id: u64, way: Freeze) {
        if way == Freeze::From {
            let mut state = lock(&self.state);
            let silent_below = state.silent_below;
            state.open.retain(|(open, ..)| *open != id || *open < silent_below);
        }
    }

    fn change(&self, change: &Change) {
        let mut state = lock(&self.state);
        state.cut = change.cut.unwrap_or(state.cut);
        state.refuse = change.refuse.unwrap_or(state.refuse);
        state.delay_ms = change.delay_ms.unwrap_or(state.delay_ms);
        state.freeze = change.freeze.unwrap_or(state.freeze);
        if change.silent {
            state.silent_below = state.next;
        }
        if state.cut {
            state.cut_open();
        }
        drop(state);
        self.changed.notify_all();
    }
}

impl State {
    fn cut_open(&mut self) {
        for (_, caller, server) in self.open.drain(..) {
            let _ = caller.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        }
    }
}

impl Service for Proxy {
    fn call(&self, request: &Request) -> Reply {
        let change = serde_json::from_slice::<Change>(&request.body);
        Reply::Whole(match change {
            Ok(change) if request.path == "/_fault" => {
                self.change(&change);
                Response::json(200, &json!({}))
            }
            Ok(_) => Response { status: 404, ..Response::default() },
            Err(e) => Response::json(400, &json!({ "error": e.to_string() })),
        })
    }
}

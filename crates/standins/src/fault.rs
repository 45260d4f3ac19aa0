//! A TCP proxy that injects faults on demand.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;

use crate::connections::Connections;
use crate::http::{Reply, Request, Response, Server, Service, lock, spawn};

const CHUNK_BYTES: usize = 16 * 1024;
const MAX_ADMIN_CONNECTIONS: usize = 16;

/// The direction in which no data is forwarded, as seen from the caller.
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
struct Update {
    cut: Option<bool>,
    /// Whether new connections are closed at once. Open connections keep working.
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
    next_id: u64,
    silent_below: u64,
    open: Vec<(u64, TcpStream, TcpStream)>,
}

/// The proxy and its current faults.
#[derive(Debug)]
pub struct Proxy {
    upstream: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Proxy {
    /// Forwards the connections of `listener` to `upstream` and accepts fault
    /// updates on the listener `admin`.
    ///
    /// # Errors
    ///
    /// Fails if a listener's address can't be read.
    pub fn start(
        listener: TcpListener,
        upstream: SocketAddr,
        admin: TcpListener,
    ) -> io::Result<Server> {
        let proxy = Arc::new(Self { upstream, state: Mutex::default(), changed: Condvar::new() });
        let acceptor = proxy.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let proxy = acceptor.clone();
                // An error affects only this connection.
                spawn(move || drop(proxy.connect(stream)));
            }
        });
        Server::start(admin, MAX_ADMIN_CONNECTIONS, Arc::new(Connections::default()), proxy)
    }

    fn connect(self: &Arc<Self>, caller: TcpStream) -> io::Result<()> {
        let is_refused = {
            let state = lock(&self.state);
            state.cut || state.refuse
        };
        if is_refused {
            return caller.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(self.upstream)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let mut state = lock(&self.state);
        let id = state.next_id;
        state.next_id += 1;
        state.open.push((id, caller.try_clone()?, server.try_clone()?));
        if state.cut {
            state.close_all();
        }
        drop(state);
        let (from_caller, to_server) = (caller.try_clone()?, server.try_clone()?);
        let (to_proxy, from_proxy) = (self.clone(), self.clone());
        spawn(move || to_proxy.forward(id, Freeze::To, from_caller, to_server));
        spawn(move || from_proxy.forward(id, Freeze::From, server, caller));
        Ok(())
    }

    fn forward(&self, id: u64, direction: Freeze, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if !self.wait_to_forward(id, direction) {
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
        self.remove_closed(id, direction);
    }

    /// Delays a chunk as the current faults demand. Returns false if the
    /// connection is silent, in which case a close by one side is not forwarded
    /// to the other.
    fn wait_to_forward(&self, id: u64, direction: Freeze) -> bool {
        let delay_ms = lock(&self.state).delay_ms;
        thread::sleep(Duration::from_millis(delay_ms));
        let mut state = lock(&self.state);
        while state.freeze == direction || state.freeze == Freeze::Both {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        id >= state.silent_below
    }

    /// Drops the handles of a connection once the server has closed it. Those of a
    /// silent connection are kept, since dropping them would close it at both ends.
    fn remove_closed(&self, id: u64, direction: Freeze) {
        if direction == Freeze::From {
            let mut state = lock(&self.state);
            let silent_below = state.silent_below;
            state.open.retain(|(open, ..)| *open != id || *open < silent_below);
        }
    }

    fn apply(&self, update: &Update) {
        let mut state = lock(&self.state);
        state.cut = update.cut.unwrap_or(state.cut);
        state.refuse = update.refuse.unwrap_or(state.refuse);
        state.delay_ms = update.delay_ms.unwrap_or(state.delay_ms);
        state.freeze = update.freeze.unwrap_or(state.freeze);
        if update.silent {
            state.silent_below = state.next_id;
        }
        if state.cut {
            state.close_all();
        }
        drop(state);
        self.changed.notify_all();
    }
}

impl State {
    fn close_all(&mut self) {
        for (_, caller, server) in self.open.drain(..) {
            let _ = caller.shutdown(Shutdown::Both);
            let _ = server.shutdown(Shutdown::Both);
        }
    }
}

impl Service for Proxy {
    fn call(&self, request: &Request) -> Reply {
        let update = serde_json::from_slice::<Update>(&request.body);
        Reply::Whole(match update {
            Ok(update) if request.path == "/_fault" => {
                self.apply(&update);
                Response::json(200, &json!({}))
            }
            Ok(_) => Response { status: 404, ..Response::default() },
            Err(e) => Response::json(400, &json!({ "error": e.to_string() })),
        })
    }
}

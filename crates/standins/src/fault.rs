//! A TCP proxy that injects faults on demand.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
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
    /// The address of the callers that it is about; all callers if there is none.
    from: Option<IpAddr>,
    cut: Option<bool>,
    /// Whether new connections are closed at once. Open connections keep working.
    refuse: Option<bool>,
    delay_ms: Option<u64>,
    freeze: Option<Freeze>,
    #[serde(default)]
    silent: bool,
}

/// The faults of the connections of some callers.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    cut: bool,
    refuse: bool,
    delay_ms: u64,
    freeze: Freeze,
    silent_below: u64,
}

impl Faults {
    fn holds_back(&self, direction: Freeze) -> bool {
        self.freeze == direction || self.freeze == Freeze::Both
    }
}

/// An open connection.
#[derive(Debug)]
struct Open {
    id: u64,
    from: IpAddr,
    caller: TcpStream,
    server: TcpStream,
}

#[derive(Debug, Default)]
struct State {
    /// The faults of all connections.
    common: Faults,
    /// The further ones of connections by the address of the caller.
    by_caller: HashMap<IpAddr, Faults>,
    next_id: u64,
    open: Vec<Open>,
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
        let from = caller.peer_addr()?.ip();
        if lock(&self.state).faults(from).any(|faults| faults.cut || faults.refuse) {
            return caller.shutdown(Shutdown::Both);
        }
        let server = TcpStream::connect(self.upstream)?;
        caller.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let mut state = lock(&self.state);
        let id = state.next_id;
        state.next_id += 1;
        let (caller_end, server_end) = (caller.try_clone()?, server.try_clone()?);
        state.open.push(Open { id, from, caller: caller_end, server: server_end });
        state.close_cut();
        drop(state);
        let (from_caller, to_server) = (caller.try_clone()?, server.try_clone()?);
        let (to_proxy, from_proxy) = (self.clone(), self.clone());
        spawn(move || to_proxy.forward(id, from, Freeze::To, from_caller, to_server));
        spawn(move || from_proxy.forward(id, from, Freeze::From, server, caller));
        Ok(())
    }

    fn forward(
        &self,
        id: u64,
        caller: IpAddr,
        direction: Freeze,
        mut from: TcpStream,
        mut to: TcpStream,
    ) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if !self.wait_to_forward(id, caller, direction) {
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
    fn wait_to_forward(&self, id: u64, caller: IpAddr, direction: Freeze) -> bool {
        let delay_ms = lock(&self.state).faults(caller).map(|faults| faults.delay_ms).sum();
        thread::sleep(Duration::from_millis(delay_ms));
        let mut state = lock(&self.state);
        while state.faults(caller).any(|faults| faults.holds_back(direction)) {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        !state.is_silent(id, caller)
    }

    /// Drops the handles of a connection once the server has closed it. Those of a
    /// silent connection are kept, since dropping them would close it at both ends.
    fn remove_closed(&self, id: u64, direction: Freeze) {
        if direction == Freeze::From {
            let mut state = lock(&self.state);
            let is_silent =
                state.open.iter().any(|open| open.id == id && state.is_silent(id, open.from));
            state.open.retain(|open| open.id != id || is_silent);
        }
    }

    fn apply(&self, update: &Update) {
        let mut state = lock(&self.state);
        let next_id = state.next_id;
        let faults = match update.from {
            Some(from) => state.by_caller.entry(from).or_default(),
            None => &mut state.common,
        };
        faults.cut = update.cut.unwrap_or(faults.cut);
        faults.refuse = update.refuse.unwrap_or(faults.refuse);
        faults.delay_ms = update.delay_ms.unwrap_or(faults.delay_ms);
        faults.freeze = update.freeze.unwrap_or(faults.freeze);
        if update.silent {
            faults.silent_below = next_id;
        }
        state.close_cut();
        drop(state);
        self.changed.notify_all();
    }
}

impl State {
    /// Returns the faults of the connections of a caller.
    fn faults(&self, caller: IpAddr) -> impl Iterator<Item = &Faults> {
        std::iter::once(&self.common).chain(self.by_caller.get(&caller))
    }

    fn is_silent(&self, id: u64, caller: IpAddr) -> bool {
        self.faults(caller).any(|faults| id < faults.silent_below)
    }

    /// Closes the connections that are cut.
    fn close_cut(&mut self) {
        let open = std::mem::take(&mut self.open);
        let (cut, open) =
            open.into_iter().partition(|open| self.faults(open.from).any(|faults| faults.cut));
        self.open = open;
        for Open { caller, server, .. } in cut {
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

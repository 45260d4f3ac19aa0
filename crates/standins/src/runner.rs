//! One runner of a backend server, with its slots, queue, refusals and
//! misbehaviour.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use crate::behaviour::{Behaviour, Misbehaviour};
use crate::clock::mono_ms;
use crate::connections::Connections;
use crate::http::{Reply, Request, Response, Server, Service, lock};
use crate::ledger::Ledger;
use crate::{answer, http};

/// The longest run, as a multiple of the mean.
const MAX_RUN_FACTOR: f64 = 8.0;

/// The settings of all runners of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The address the runners listen on, each on its own port.
    pub host: IpAddr,
    /// The number of requests that run concurrently.
    pub slots: usize,
    /// The number of requests that may wait for a slot.
    pub queue: usize,
    /// The most open connections. Further ones are closed on accept.
    pub connections: usize,
    /// The mean duration of a run, in milliseconds.
    pub run_ms: f64,
    /// The time from opening until requests are accepted, in milliseconds.
    pub warm_ms: u64,
    /// The time from the stop until the listener may close, in milliseconds.
    pub linger_ms: u64,
    /// The padding of a response, in bytes.
    pub pad: usize,
    /// The seed for the durations of runs.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Self {
        let host = IpAddr::from([127, 0, 0, 1]);
        let (slots, queue, connections) = (8, 4, 64);
        let (run_ms, warm_ms, linger_ms, pad, seed) = (5.0, 200, 1000, 64, 1);
        Self { host, slots, queue, connections, run_ms, warm_ms, linger_ms, pad, seed }
    }
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    behaviour: Behaviour,
    running: usize,
    waiting: usize,
    /// Requests read whose reply isn't written yet, including refusals.
    unfinished: usize,
    leaving_since: Option<u64>,
    closed: bool,
    busy_ms: f64,
    /// The id and body of the latest response.
    last: Option<(String, Vec<u8>)>,
}

/// One service on one VM.
#[derive(Debug)]
pub struct Runner {
    vm: String,
    service: String,
    config: Config,
    opened_ms: u64,
    state: Mutex<State>,
    freed: Condvar,
    ledger: Arc<Ledger>,
}

/// A running runner with its listener.
#[derive(Debug)]
pub struct Handle {
    runner: Arc<Runner>,
    server: Server,
}

/// A runner's status as the admin listener returns it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[allow(missing_docs)]
pub struct Status {
    pub vm: String,
    pub service: String,
    pub address: SocketAddr,
    pub warm: bool,
    pub leaving: bool,
    pub in_flight: usize,
    pub max_connections: u64,
    pub refused_connections: u64,
}

impl Handle {
    /// Starts a runner on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(
        vm: &str,
        service: &str,
        config: &Config,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((config.host, 0))?;
        let bytes = vm.bytes().chain(service.bytes()).map(u64::from);
        let seed = bytes.fold(config.seed, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
        let state = State {
            rng: SmallRng::seed_from_u64(seed),
            behaviour: Behaviour::default(),
            running: 0,
            waiting: 0,
            unfinished: 0,
            leaving_since: None,
            closed: false,
            busy_ms: 0.0,
            last: None,
        };
        let runner = Arc::new(Runner {
            vm: vm.to_owned(),
            service: service.to_owned(),
            config: config.clone(),
            opened_ms: mono_ms(),
            state: Mutex::new(state),
            freed: Condvar::new(),
            ledger,
        });
        let connections = Arc::new(Connections::default());
        let server = Server::start(listener, config.connections, connections, runner.clone())?;
        Ok(Self { runner, server })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns whether it accepts requests.
    pub fn is_warm(&self) -> bool {
        self.runner.is_warm()
    }

    /// Sets its misbehaviour from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        lock(&self.runner.state).behaviour = behaviour;
    }

    /// Refuses new requests from now on.
    pub fn leave(&self) {
        lock(&self.runner.state).leaving_since.get_or_insert(mono_ms());
    }

    /// Closes it if `linger_ms` have passed since [`leave`](Self::leave) and nothing
    /// is in flight. Returns whether it closed.
    pub fn try_close(&self) -> bool {
        let mut state = lock(&self.runner.state);
        let close_at = state.leaving_since.map(|since| since + self.runner.config.linger_ms);
        let done = close_at.is_some_and(|at| at <= mono_ms()) && state.unfinished == 0;
        state.closed |= done;
        drop(state);
        if done {
            self.server.close();
        }
        done
    }

    /// Closes it at once. Requests in flight are lost and counted as cut.
    pub fn cut(&self) {
        let mut state = lock(&self.runner.state);
        state.closed = true;
        let in_flight = (state.running + state.waiting) as u64;
        drop(state);
        self.runner.ledger.update(|runs| runs.cut += in_flight);
        self.runner.freed.notify_all();
        self.server.close();
    }

    /// Returns the milliseconds its slots were busy since the last call.
    pub fn take_busy_ms(&self) -> f64 {
        std::mem::take(&mut lock(&self.runner.state).busy_ms)
    }

    /// Returns its current status.
    pub fn status(&self) -> Status {
        let state = lock(&self.runner.state);
        Status {
            vm: self.runner.vm.clone(),
            service: self.runner.service.clone(),
            address: self.address(),
            warm: self.runner.is_warm(),
            leaving: state.leaving_since.is_some(),
            in_flight: state.running + state.waiting,
            max_connections: self.server.connections().max_open(),
            refused_connections: self.server.connections().refused(),
        }
    }
}

impl Service for Runner {
    fn call(&self, request: &Request) -> Reply {
        lock(&self.state).unfinished += 1;
        let service = request.path.trim_start_matches('/').split('/').next();
        if service != Some(&self.service) {
            self.ledger.update(|runs| runs.refused.not_here += 1);
            return refuse(421, "not-here");
        }
        let Some(id) = request.header("request-id") else {
            return Reply::Whole(Response { status: 400, ..Response::default() });
        };
        let state = match self.acquire_slot() {
            Ok(state) => state,
            Err(reply) => return reply,
        };
        self.run(state, id, request)
    }

    fn finished(&self) {
        lock(&self.state).unfinished -= 1;
    }
}

impl Runner {
    fn is_warm(&self) -> bool {
        mono_ms() >= self.opened_ms + self.config.warm_ms
    }

    /// Acquires a slot, waiting for one if the queue has room.
    fn acquire_slot(&self) -> Result<MutexGuard<'_, State>, Reply> {
        let mut state = lock(&self.state);
        if state.closed {
            return Err(Reply::Cut);
        }
        if state.leaving_since.is_some() {
            self.ledger.update(|runs| runs.refused.leaving += 1);
            return Err(refuse(503, "leaving"));
        }
        if !self.is_warm() {
            self.ledger.update(|runs| runs.refused.cold += 1);
            return Err(refuse(503, "busy"));
        }
        if state.running + state.waiting >= self.config.slots + self.config.queue {
            self.ledger.update(|runs| runs.refused.busy += 1);
            return Err(refuse(503, "busy"));
        }
        state.waiting += 1;
        let in_flight = (state.running + state.waiting) as u64;
        self.ledger.update(|runs| runs.max_in_flight = runs.max_in_flight.max(in_flight));
        while state.running >= self.config.slots && !state.closed {
            state = self.freed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        if state.closed {
            return Err(Reply::Cut);
        }
        state.running += 1;
        Ok(state)
    }

    /// Runs a request in the slot just acquired.
    fn run(&self, mut state: MutexGuard<'_, State>, id: &str, request: &Request) -> Reply {
        // Recorded first, since a request cut off from here on may have run.
        self.ledger.record_run(id, request.header("idempotency-key"), &self.vm, &self.service);
        let misbehaviour = state.behaviour.take_next();
        let failing = state.behaviour.failing;
        let run_ms = if failing { 0.0 } else { state.next_run_ms(self.config.run_ms) };
        drop(state);
        thread::sleep(Duration::from_secs_f64(run_ms / 1000.0));

        let body = answer::body(id, &self.service, &self.vm, &request.body, self.config.pad);
        let mut state = lock(&self.state);
        state.running -= 1;
        state.busy_ms += run_ms;
        let response = (id.to_owned(), body);
        let previous = state.last.replace(response.clone()).filter(|last| last.0 != id);
        let closed = state.closed;
        drop(state);
        self.freed.notify_one();

        let (id, body) = match misbehaviour {
            Misbehaviour::Crossed => previous.unwrap_or_else(|| self.unrelated_response()),
            _ => response,
        };
        let status = if failing { 500 } else { 200 };
        let response = Response { status, headers: vec![("Request-Id", id)], body };
        match misbehaviour {
            _ if closed => Reply::Cut,
            Misbehaviour::None | Misbehaviour::Crossed => Reply::Whole(response),
            Misbehaviour::Truncated => Reply::Truncated(response),
            Misbehaviour::Silent => Reply::Silent,
            Misbehaviour::Die => Reply::Cut,
        }
    }

    /// Returns a response to a request that was never sent, for use while there is
    /// no response to another request.
    fn unrelated_response(&self) -> (String, Vec<u8>) {
        let id = "nobodys-request";
        (id.to_owned(), answer::body(id, &self.service, &self.vm, b"", self.config.pad))
    }
}

impl State {
    /// Returns the duration of the next run: half of the mean plus an exponential
    /// part with that half as its mean.
    fn next_run_ms(&mut self, mean: f64) -> f64 {
        let exponential = -(1.0 - self.rng.random::<f64>()).ln();
        let ms = mean / 2.0 * (1.0 + exponential);
        ms.min(mean * MAX_RUN_FACTOR) + self.behaviour.late_ms as f64
    }
}

fn refuse(status: u16, reason: &str) -> http::Reply {
    let headers = vec![("Not-Run", reason.to_owned())];
    Reply::Whole(Response { status, headers, body: Vec::new() })
}

//! Callers: jobs handed in, asked for and taken back, at any entry VM.

mod accept;
mod lookup_log;
mod state;
mod uncertain;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use corianderfork_adapter::caller;
use corianderfork_adapter::config::{Config, Route};
use corianderfork_jobs::{JobId, Record};
use corianderfork_model::Time;
use serde_json::json;
use tokio::task::spawn_local;

use crate::admission::Offer;
use crate::clock;
use crate::http::Failed;
use crate::node::Node;
use crate::owner::ms;
use crate::peer::{self, Ask, Reply};
use crate::placement::{Step, Way};
use crate::server::{Asked, Told};
use accept::{Accepted, Waiting, patience};

/// When a caller that is refused is told to come back, in seconds.
const RETRY_AFTER: u64 = 1;
/// What a caller is told of a job that isn't there yet, and may be in a moment.
const UNANSWERED: &str = "a write of the job has no answer yet; ask again";
/// How long an owner may take over a cancellation.
const CANCEL: Duration = Duration::from_millis(2_600);

/// Answers callers.
pub struct Gateway {
    node: Rc<Node>,
    waiting: RefCell<VecDeque<Waiting>>,
    writing: Cell<usize>,
    /// Jobs handed in so far.
    offers: Cell<u64>,
}

impl Gateway {
    /// The gateway of a daemon.
    pub fn new(node: Rc<Node>) -> Rc<Self> {
        Rc::new(Self {
            node,
            waiting: RefCell::default(),
            writing: Cell::new(0),
            offers: Cell::new(0),
        })
    }

    /// Answers a request.
    pub async fn answer(self: &Rc<Self>, asked: Asked) -> Told {
        let begun = clock::now();
        let config = self.node.config.borrow().clone();
        let Some(config) = config else {
            return self.log(
                &asked,
                begun,
                refuse("this entry VM has no configuration yet"),
                "no configuration",
            );
        };
        let Some(route) = config.route(&asked.host, &asked.path) else {
            let told = Told::new(404, caller::error("no such queue"));
            return self.log(&asked, begun, told, "no route");
        };
        let id = asked.path[route.prefix.len()..].to_owned();
        let (told, why) = match (asked.method.as_str(), id.as_str()) {
            ("GET", "") => self.queued(route).await,
            ("POST", id) => self.submit(&config, route, id, &asked).await,
            ("GET", id) => self.state(route, id).await,
            ("DELETE", id) => self.cancel(route, id).await,
            _ => (Told::new(405, caller::error("send POST, GET or DELETE")), "method"),
        };
        self.log(&asked, begun, told, why)
    }

    fn log(&self, asked: &Asked, begun: Time, told: Told, why: &'static str) -> Told {
        let took = clock::now() - begun;
        self.node.metrics.request(&asked.method, told.status, took);
        // What a caller asks again and again is told in the metrics alone.
        if asked.method != "GET" || told.status >= 400 {
            self.node.trace.line(
                "request answered",
                json!({ "method": asked.method, "path": asked.path, "status": told.status, "why": why,
                    "took_ms": ms(took), "deadline_ms": asked.deadline_ms,
                    "config": self.node.config.borrow().as_ref().map(|config| config.version) }),
            );
        }
        told
    }

    async fn submit(
        self: &Rc<Self>,
        config: &Config,
        route: &Route,
        id: &str,
        asked: &Asked,
    ) -> (Told, &'static str) {
        if let Err(error) = id.parse::<JobId>() {
            return (Told::new(400, caller::error(&error.to_string())), "bad id");
        }
        let Some(body) = &asked.body else {
            return (Told::new(413, caller::error("the body is too long or was cut off")), "body");
        };
        let job = match caller::job(body) {
            Ok(job) => job,
            Err(why) => return (Told::new(400, caller::error(&why)), "bad job"),
        };
        if self.node.store.is_away() {
            return self.submit_while_away(route, id).await;
        }
        let record = Record { queue: route.name.clone(), accepted_ms: clock::wall_ms(), job };
        let offer = Offer {
            queue: route.name.clone(),
            way: Way { version: config.version, pool: route.pool.clone() },
            id: id.to_owned(),
            value: serde_json::to_vec(&record).unwrap_or_default(),
        };
        match self.store(offer, patience(asked)).await {
            Accepted::Stored(pool, revision) => {
                self.tell_owner(&pool, id, record, revision);
                (Told::new(200, b"{}".to_vec()), "stored")
            }
            Accepted::Known => (Told::new(200, b"{}".to_vec()), "known"),
            // The store may have begun to turn calls away after it took the job.
            Accepted::NotStored if self.is_owned(route, id).await => {
                (Told::new(200, b"{}".to_vec()), "known")
            }
            Accepted::NotStored if !self.may_be_stored(id).await => {
                (refuse("the store took no job; come back"), "not stored")
            }
            // By another try, whose end was noted or is to be: this one adds no doubt.
            Accepted::NotStored => unknown(),
            Accepted::Unknown => {
                self.note_unsure(id).await;
                unknown()
            }
        }
    }

    /// What a job gets while the store is away: it can't be accepted, but it may
    /// have been before.
    async fn submit_while_away(&self, route: &Route, id: &str) -> (Told, &'static str) {
        let (is_owned, may_be_stored) =
            tokio::join!(self.is_owned(route, id), self.may_be_stored(id));
        match (is_owned, may_be_stored) {
            (true, _) => (Told::new(200, b"{}".to_vec()), "known"),
            (false, true) => {
                let (told, why) = unknown();
                (Told { retry_after: Some(RETRY_AFTER), ..told }, why)
            }
            (false, false) => (self.refuse_away(id), "store away"),
        }
    }

    /// Whether an owner of a queue's pools knows a job.
    async fn is_owned(&self, route: &Route, id: &str) -> bool {
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let ask = Ask::State { pool: pool.clone(), id: id.to_owned() };
            let answer = self.node.ask_owner(&pool, ask, peer::PROMPT).await;
            if let Ok(Reply::State { .. } | Reply::Ending | Reply::Known) = answer {
                return true;
            }
        }
        false
    }

    /// Refuses what the store is needed for while it is away: nothing was written.
    fn refuse_away(&self, id: &str) -> Told {
        let (silent, failures) = self.node.store.evidence();
        self.node.trace.line(
            "refused while the store is away",
            json!({ "job": id, "silent_ms": ms(silent), "failures": failures }),
        );
        refuse("the store is away; nothing was done; come back")
    }

    /// Tells the owner at once; its watch would, a moment later.
    fn tell_owner(self: &Rc<Self>, pool: &str, id: &str, record: Record, revision: u64) {
        let (node, pool) = (self.node.clone(), pool.to_owned());
        let ask = Ask::Accepted {
            pool: pool.clone(),
            id: id.to_owned(),
            record: Box::new(record),
            revision,
        };
        spawn_local(async move {
            // If it doesn't arrive the owner's watch brings the job.
            let _ = node.ask_owner(&pool, ask, peer::ANSWER).await;
        });
    }

    async fn cancel(&self, route: &Route, id: &str) -> (Told, &'static str) {
        let mut search = self.node.search(&route.name, &route.pool);
        loop {
            match search.next() {
                Step::Pool(pool) => {
                    let ask = Ask::Cancel { pool: pool.clone(), id: id.to_owned() };
                    match self.node.ask_owner(&pool, ask, CANCEL).await {
                        Ok(Reply::Done) => return (Told::new(200, b"{}".to_vec()), "cancelled"),
                        Ok(Reply::Unknown) => search.absent(),
                        Ok(_) | Err(Failed::Unsent | Failed::Lost) => search.unclear(),
                    }
                }
                Step::Record => self.node.read_record(&route.name, &mut search).await,
                Step::Unclear => {
                    let why = "the cancellation could not be written; ask again";
                    return (refuse(why), "not written");
                }
                // Its write may be carried out yet: then it would run, taken back.
                Step::Absent if self.may_be_stored(id).await => {
                    return (refuse(UNANSWERED), "unanswered");
                }
                Step::Absent => {
                    return (Told::new(410, caller::error("no such job")), "unknown job");
                }
            }
        }
    }

    async fn queued(&self, route: &Route) -> (Told, &'static str) {
        if let Some(jobs) = self.count_queued(route).await {
            self.node.heard.borrow_mut().note(clock::now(), &route.name, jobs);
            return (Told::new(200, caller::waiting(jobs)), "owner");
        }
        match self.node.heard.borrow().recent(clock::now(), &route.name) {
            Some(jobs) => (Told::new(200, caller::waiting(jobs)), "last heard"),
            None => (refuse("the queue's owner doesn't answer; come back"), "no answer"),
        }
    }

    /// Jobs of a queue that wait, in all of its pools, if all owners tell.
    async fn count_queued(&self, route: &Route) -> Option<usize> {
        let mut all = 0;
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let ask = Ask::Queued { pool: pool.clone(), queue: route.name.clone() };
            match self.node.ask_owner(&pool, ask, peer::ANSWER).await {
                Ok(Reply::Queued { jobs }) => all += jobs,
                _ => return None,
            }
        }
        Some(all)
    }
}

/// What a caller gets whose job may be stored yet: 503 would promise that it never
/// runs.
fn unknown() -> (Told, &'static str) {
    let why = "it is not known whether the job was stored; send it again";
    (Told::new(504, caller::error(why)), "unknown")
}

fn refuse(why: &str) -> Told {
    Told { status: 503, body: caller::error(why), retry_after: Some(RETRY_AFTER) }
}

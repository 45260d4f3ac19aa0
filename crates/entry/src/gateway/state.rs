//! The state of a job: from its pool's owner, or from the store if the owner doesn't know.

use corianderfork_adapter::caller;
use corianderfork_adapter::config::Route;
use corianderfork_jobs::record::State;
use serde_json::json;

use super::lookup_log::PoolLookup;
use super::{Gateway, UNANSWERED, refuse, unknown_job};
use crate::access::Identity;
use crate::clock;
use crate::lookup::{Lookup, LookupStep};
use crate::peer::{self, Message, Reply};
use crate::placement::Step;
use crate::server::HttpResponse;
use crate::store::Error;

/// The event logged when a response reports that a job doesn't exist.
const UNKNOWN: &str = "job told unknown";

impl Gateway {
    pub(super) async fn state(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
    ) -> (HttpResponse, &'static str) {
        let mut search = self.node.search(&route.name, &route.pool);
        let mut lookups = Vec::new();
        loop {
            let pool = match search.next() {
                Step::Pool(pool) => pool,
                Step::Record => {
                    self.node.read_queue_record(&route.name, &mut search).await;
                    continue;
                }
                Step::Unclear => {
                    self.log_lookups("state not known", route, id, &lookups);
                    let why = "neither the owner nor the store answers; come back";
                    return (refuse(why), "no answer");
                }
                Step::Absent if self.may_be_stored(id).await => {
                    return (refuse(UNANSWERED), "unanswered");
                }
                Step::Absent => break,
            };
            let (pool, job, asker) = (pool.clone(), id.to_owned(), identity.clone());
            let message = Message::State {
                pool: pool.clone(),
                id: job,
                identity: asker,
                wants_pressure: None,
                question: None,
                awaits_end: true,
            };
            let started = clock::now();
            let within = peer::RESPONSE_TIMEOUT + peer::END_WAIT;
            let reply = self.node.send_to_owner(&pool, message, within).await;
            let mut lookup_log = PoolLookup::new(&pool, started, &reply);
            let has_started = matches!(reply, Ok(Reply::Ending));
            match reply {
                Ok(Reply::State { state }) => {
                    return (HttpResponse::new(200, caller::state(state)), "owner");
                }
                Ok(Reply::Foreign) => return unknown_job(),
                _ if self.node.store.is_down() => search.mark_unclear(),
                _ => match self.look_up(&pool, id, identity, &mut lookup_log).await {
                    Ok(LookupStep::Foreign) => return unknown_job(),
                    // The record of a job's first tasks is written after they start.
                    Ok(LookupStep::Found(State::Queued)) if has_started => {
                        return (HttpResponse::new(200, caller::state(State::Running)), "owner");
                    }
                    Ok(LookupStep::Found(state)) => {
                        return (HttpResponse::new(200, caller::state(state)), "store");
                    }
                    Ok(LookupStep::Absent) => search.mark_absent(),
                    Ok(LookupStep::Read(_) | LookupStep::Unreadable) | Err(_) => {
                        search.mark_unclear()
                    }
                },
            }
            lookups.push(lookup_log);
        }
        self.log_lookups(UNKNOWN, route, id, &lookups);
        unknown_job()
    }

    /// Logs the lookups behind a response that reports no state.
    fn log_lookups(&self, event: &'static str, route: &Route, id: &str, lookups: &[PoolLookup]) {
        self.node.metrics.event(event);
        let fields =
            json!({ "job": id, "queue": route.name, "pool": route.pool, "sought": lookups });
        // Bypasses the rate limit: this is rare, and it must not be dropped in a burst.
        if event == UNKNOWN {
            self.node.trace.unlimited(event, fields);
        } else {
            self.node.trace.line(event, || fields);
        }
    }

    /// Reads the state of a job from the store.
    pub(super) async fn look_up(
        &self,
        pool: &str,
        id: &str,
        identity: &Identity,
        log: &mut PoolLookup,
    ) -> Result<LookupStep, Error> {
        let mut lookup = Lookup::new(pool, id).on_behalf_of(identity);
        loop {
            let key = match lookup.next() {
                LookupStep::Read(key) => key,
                found => return Ok(found),
            };
            let started = clock::now();
            let reading = self.node.store.read(&key).await;
            let there = reading.as_ref().ok().map(|reading| reading.item.is_some());
            let revision = reading.as_ref().ok().and_then(|reading| reading.revision);
            log.note(key, started, there, revision);
            lookup.set_value(reading?.item.as_ref().map(|item| item.value.as_slice()));
        }
    }
}

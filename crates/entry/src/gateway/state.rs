//! Where a job stands: asked of its pool's owner, and read from the store where
//! that can't say.

use corianderfork_adapter::caller;
use corianderfork_adapter::config::Route;
use corianderfork_jobs::record::State;
use serde_json::json;

use super::lookup_log::Sought;
use super::{Gateway, UNANSWERED, refuse};
use crate::clock;
use crate::lookup::{Lookup, Next};
use crate::peer::{self, Ask, Reply};
use crate::placement::Step;
use crate::server::Told;
use crate::store::Error;

/// The event of a caller that is told that there is no such job.
const UNKNOWN: &str = "job told unknown";

impl Gateway {
    pub(super) async fn state(&self, route: &Route, id: &str) -> (Told, &'static str) {
        let mut search = self.node.search(&route.name, &route.pool);
        let mut sought = Vec::new();
        loop {
            let pool = match search.next() {
                Step::Pool(pool) => pool,
                Step::Record => {
                    self.node.read_record(&route.name, &mut search).await;
                    continue;
                }
                Step::Unclear => {
                    self.log_sought("state not known", route, id, &sought);
                    let why = "neither the owner nor the store answers; come back";
                    return (refuse(why), "no answer");
                }
                Step::Absent if self.may_be_stored(id).await => {
                    return (refuse(UNANSWERED), "unanswered");
                }
                Step::Absent => break,
            };
            let ask = Ask::State { pool: pool.clone(), id: id.to_owned() };
            let begun = clock::now();
            let answer = self.node.ask_owner(&pool, ask, peer::ANSWER).await;
            let mut row = Sought::new(&pool, begun, &answer);
            let has_begun = matches!(answer, Ok(Reply::Ending));
            match answer {
                Ok(Reply::State { state }) => {
                    return (Told::new(200, caller::state(state)), "owner");
                }
                _ if self.node.store.is_away() => search.unclear(),
                _ => match self.look_up(&pool, id, &mut row).await {
                    // The record of a job's first tasks is written behind their starts.
                    Ok(Next::Found(State::Queued)) if has_begun => {
                        return (Told::new(200, caller::state(State::Running)), "owner");
                    }
                    Ok(Next::Found(state)) => {
                        return (Told::new(200, caller::state(state)), "store");
                    }
                    Ok(Next::Absent) => search.absent(),
                    Ok(Next::Read(_) | Next::Unreadable) | Err(_) => search.unclear(),
                },
            }
            sought.push(row);
        }
        self.log_sought(UNKNOWN, route, id, &sought);
        (Told::new(410, caller::error("no such job")), "unknown job")
    }

    /// Tells what an answer rests on that names no state.
    fn log_sought(&self, event: &'static str, route: &Route, id: &str, sought: &[Sought]) {
        self.node.metrics.event(event);
        let fields =
            json!({ "job": id, "queue": route.name, "pool": route.pool, "sought": sought });
        // Seldom, and not to be lost among lines on what isn't.
        if event == UNKNOWN {
            self.node.trace.key(event, fields);
        } else {
            self.node.trace.line(event, fields);
        }
    }

    /// Where a job stands by the store: what the owner can't say, or not yet.
    pub(super) async fn look_up(
        &self,
        pool: &str,
        id: &str,
        sought: &mut Sought,
    ) -> Result<Next, Error> {
        let mut lookup = Lookup::new(pool, id);
        loop {
            let key = match lookup.next() {
                Next::Read(key) => key,
                found => return Ok(found),
            };
            let begun = clock::now();
            let reading = self.node.store.read(&key).await;
            let there = reading.as_ref().ok().map(|reading| reading.item.is_some());
            let revision = reading.as_ref().ok().and_then(|reading| reading.revision);
            sought.note(key, begun, there, revision);
            lookup.learn(reading?.item.as_ref().map(|item| item.value.as_slice()));
        }
    }
}

//! Refusal of submissions whose body isn't received for lack of memory.

use corianderfork_adapter::config::Route;

use super::lookup_log::PoolLookup;
use super::{Gateway, RETRY_AFTER, known, refuse, taken, unknown};
use crate::access::Identity;
use crate::clock;
use crate::lookup::LookupStep;
use crate::peer::{self, Message, Reply};
use crate::server::HttpResponse;

/// How many submissions are checked at once. Each costs two reads of the store, and clients can send
/// many.
pub(super) const MAX_CHECKS: usize = 8;

impl Gateway {
    /// Returns the answer to a submission whose body isn't received.
    ///
    /// A refusal says that the job never runs, and an earlier attempt may have been stored. Where
    /// that isn't certain, the caller is told to send the job again.
    pub(super) async fn refuse_unreceived(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
    ) -> (HttpResponse, &'static str) {
        self.node.metrics.event("submission without memory for its body");
        let why = "there is no memory for the body; nothing was done; come back";
        self.refuse_unstored(route, id, identity, (why, "no memory")).await
    }

    /// Refuses a submission for a reason, unless the job is stored or may be.
    pub(super) async fn refuse_unstored(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
        (why, event): (&str, &'static str),
    ) -> (HttpResponse, &'static str) {
        let Ok(_permit) = self.checks.try_acquire() else { return unknown_for_now() };
        for pool in self.node.pools_of(&route.name, &route.pool) {
            let message = Message::State {
                pool: pool.clone(),
                id: id.to_owned(),
                identity: identity.clone(),
                wants_pressure: None,
                question: None,
                awaits_end: false,
            };
            let asked = clock::now();
            let reply = self.node.send_to_owner(&pool, message, peer::SHORT_TIMEOUT).await;
            let mut log = PoolLookup::new(&pool, asked, &reply);
            match reply {
                Ok(Reply::State { .. } | Reply::Ending | Reply::Known) => return known(),
                Ok(Reply::Foreign) => return taken(),
                Ok(Reply::Unknown { .. }) => {}
                _ => return unknown_for_now(),
            }
            match self.look_up(&pool, id, identity, &mut log).await {
                Ok(LookupStep::Found(_)) => return known(),
                Ok(LookupStep::Foreign) => return taken(),
                Ok(LookupStep::Absent) => {}
                Ok(LookupStep::Read(_) | LookupStep::Unreadable) | Err(_) => {
                    return unknown_for_now();
                }
            }
        }
        if self.may_be_stored(id).await {
            return unknown_for_now();
        }
        (refuse(why), event)
    }
}

fn unknown_for_now() -> (HttpResponse, &'static str) {
    let (response, why) = unknown();
    (HttpResponse { retry_after: Some(RETRY_AFTER), ..response }, why)
}

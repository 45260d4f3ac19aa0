//! Refusal of jobs for a pool whose owner holds as many as it can.

use std::time::Duration;

use corianderfork_adapter::config::Route;

use super::Gateway;
use crate::access::Identity;
use crate::clock;
use crate::http::CallError;
use crate::peer::{self, Message, Reply};
use crate::server::HttpResponse;

/// The `Retry-After` of these refusals, in seconds. Thousands of jobs wait then: a caller that comes
/// back at once would only wait behind them, or be refused again.
const RETRY_AFTER: u64 = 5;
/// How long a pool counts as full while its owner doesn't answer. A takeover is shorter.
const MAX_AGE: Duration = Duration::from_secs(10);

impl Gateway {
    /// Notes that the owner of a pool holds as many jobs as it can.
    pub(super) fn note_full(&self, pool: &str) {
        self.node.metrics.event("pool full");
        self.node.full_pools.borrow_mut().insert(pool.to_owned(), clock::now());
    }

    /// Returns the answer to a job for a pool that holds as many as it can; `None` if it is to be
    /// stored.
    ///
    /// Nobody asks before the owner has said so once, in its reply to an accepted job: a few jobs more
    /// do no harm.
    pub(super) async fn refuse_beyond_room(
        &self,
        route: &Route,
        id: &str,
        identity: &Identity,
    ) -> Option<(HttpResponse, &'static str)> {
        let told = self.node.full_pools.borrow().get(&route.pool).copied()?;
        let message = Message::Room { pool: route.pool.clone() };
        let is_full = match self.node.send_to_owner(&route.pool, message, peer::SHORT_TIMEOUT).await
        {
            Ok(reply) => matches!(reply, Reply::Full),
            Err(CallError::Unsent | CallError::Lost) => clock::now() - told < MAX_AGE,
        };
        if !is_full {
            self.node.full_pools.borrow_mut().remove(&route.pool);
            return None;
        }
        self.node.metrics.jobs.count_refused(&route.name, identity.organisation());
        let why = "the pool holds as many jobs as it can; nothing was done; come back";
        let (response, why) = self.refuse_unstored(route, id, identity, (why, "full")).await;
        let retry_after = response.retry_after.map(|_| RETRY_AFTER);
        Some((HttpResponse { retry_after, ..response }, why))
    }
}

//! What an owner tells the planner and entry VMs while more work waits than fits.

use corianderfork_jobs::allowance::WHOLE;
use corianderfork_jobs::pressure;

use super::Owner;
use crate::access::Identity;
use crate::clock;
use crate::division::{self, Arrivals};
use crate::peer::Reply;

impl Owner {
    /// Updates the pool's parts of the rates that organisations are owed. Returns what to report of
    /// its arrivals.
    pub(super) fn set_meter_parts(&self, update: division::Received) -> Arrivals {
        let config = self.node.config.borrow();
        let pools = config.iter().flat_map(|config| &config.pools).filter(|pool| !pool.spare);
        let pools = u32::try_from(pools.count()).unwrap_or(u32::MAX).max(1);
        let now = clock::now();
        let (mut pool, mut division) = (self.pool.borrow_mut(), self.division.borrow_mut());
        let is_difference = matches!(update, division::Received::Change(_));
        let parts = division.receive(update);
        let is_applied = parts.is_some();
        if let Some(parts) = parts {
            pool.set_meter_parts(now, parts, WHOLE / pools);
        }
        let arrivals = pool.arrivals(now).into_iter().collect();
        division.report(arrivals, is_difference && is_applied, pools as usize)
    }

    /// Returns which jobs of a queue can't be served. An owner that may have been replaced reports
    /// nothing: its successor may know more jobs, or more workers.
    pub(super) fn pressure(&self, queue: &str) -> Option<pressure::Report> {
        if !self.is_loaded() || !self.is_sure() {
            return None;
        }
        self.pool.borrow().pressure(clock::now(), queue)
    }

    /// Returns the reply to an entry VM that is about to refuse an unknown job. An earlier version
    /// asks no question and decides by the report.
    pub(super) fn answer_refusal(
        &self,
        queue: &str,
        identity: &Identity,
        question: Option<&pressure::Question>,
    ) -> Reply {
        let exceeds_owed = self.exceeds_owed(identity.organisation());
        let report = self.pressure(queue);
        let known = question.and_then(|question| question.known);
        let is_known = report.is_some_and(|report| pressure::is_known(known, &report));
        let lack = question.filter(|_| report.is_some()).and_then(|question| {
            self.pool.borrow().lack(clock::now(), queue, question, !exceeds_owed)
        });
        let pressure = report.filter(|_| !is_known);
        Reply::Unknown { pressure, exceeds_owed, lack, is_known: is_known && lack.is_none() }
    }

    /// Returns whether the next job of an organisation would be beyond what it is owed.
    pub(super) fn exceeds_owed(&self, organisation: Option<&str>) -> bool {
        let is_known = self.is_loaded() && self.is_sure();
        let pool = self.pool.borrow();
        organisation.is_some_and(|name| is_known && !pool.is_next_owed(clock::now(), name))
    }
}

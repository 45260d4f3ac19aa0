//! The platform's switchable faults and its call counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::http::Request;

/// The current faults. In a request, `None` leaves a fault unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Switches {
    pub(crate) down: Option<bool>,
    /// The store applies and acknowledges the next put of a key with this prefix and
    /// goes down at once, before any watch returns the change.
    pub(crate) down_with: Option<String>,
    pub(crate) slow_ms: Option<u64>,
    /// Milliseconds from the arrival of a watch until the store considers it.
    pub(crate) watch_delay_ms: Option<u64>,
    pub(crate) lose_answers: Option<u64>,
    pub(crate) lose_prefix: Option<String>,
    pub(crate) list_lag_ms: Option<u64>,
    pub(crate) silent: Option<bool>,
}

impl Switches {
    /// Takes the store down if `down_with` matches the key just put, and returns whether
    /// it did.
    pub(crate) fn on_put(&mut self, key: &str) -> bool {
        let goes_down = self.down_with.take_if(|prefix| key.starts_with(prefix.as_str())).is_some();
        if goes_down {
            self.down = Some(true);
        }
        goes_down
    }

    pub(crate) fn apply(&mut self, update: Switches) {
        self.down = update.down.or(self.down);
        self.down_with = update.down_with.or(self.down_with.take());
        self.slow_ms = update.slow_ms.or(self.slow_ms);
        self.watch_delay_ms = update.watch_delay_ms.or(self.watch_delay_ms);
        self.lose_answers = update.lose_answers.or(self.lose_answers);
        self.lose_prefix = update.lose_prefix.or(self.lose_prefix.take());
        self.list_lag_ms = update.list_lag_ms.or(self.list_lag_ms);
        self.silent = update.silent;
    }
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) watches: u64,
    pub(crate) renewals: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub(crate) total: Counts,
    pub(crate) callers: BTreeMap<String, Counts>,
    pub(crate) waiting: u64,
    pub(crate) lost_answers: u64,
}

impl Stats {
    /// Counts a call by kind, in the total and for its caller.
    pub(crate) fn count(&mut self, request: &Request) {
        let caller = request.header("caller").or_else(|| request.header("user-agent"));
        let caller = caller.unwrap_or("unknown").to_owned();
        for counts in [&mut self.total, self.callers.entry(caller).or_default()] {
            match (request.method.as_str(), request.path.as_str()) {
                (_, "/watch") => counts.watches += 1,
                (_, "/lease/renew") => counts.renewals += 1,
                ("GET", _) => counts.reads += 1,
                _ => counts.writes += 1,
            }
        }
    }
}

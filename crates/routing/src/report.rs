//! What a proxy reports to its peers about its load and its observations.
//!
//! Reports use names because keys are meaningless in another process. They
//! contain only the proxy's own observations: if hints of others were repeated,
//! two proxies could keep an outdated hint alive between them forever.

use corianderfork_model::Name;

/// One proxy's report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Its demand for each service; services without demand are omitted.
    pub demands: Vec<Demand>,
    /// Its observations of each runner; runners without any are omitted.
    pub runners: Vec<Runner>,
    /// The drains that it knows and that have not ended.
    pub drains: Vec<Drain>,
}

/// How many slots of a service a proxy needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Name,
    /// The demand in tenths of a slot: what its callers' requests would use on
    /// average if each got a slot immediately.
    pub tenths: u32,
}

/// A proxy's observations of one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// The VM on which the runner is placed.
    pub vm: Name,
    /// The service that it runs.
    pub service: Name,
    /// Whether the runner rejected the proxy's requests as leaving.
    pub leaving: bool,
    /// Whether the proxy ejected it because of its own results.
    pub ejected: bool,
}

/// A drain that has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The VM.
    pub vm: Name,
    /// The epoch of the drain.
    pub epoch: u64,
}

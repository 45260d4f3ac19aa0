//! Counts the copies of each service for metrics.

use corianderfork_model::service::{Service, ServiceId};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::{Operation, State, Step};

use crate::plan::load::Sampler;
use crate::plan::situation::{Copies, count_copies};

/// The number of copies of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Copies that are able to serve.
    pub able: u32,
    /// Copies that hold a licence, including those about to start.
    pub licensed: u32,
    /// Able copies beyond those that the load occupies.
    pub idle: u32,
}

/// Counts the copies of each service, with the starts in `steps` as if already
/// made.
pub(crate) fn counts(
    now: Time,
    fleet: &Fleet,
    state: &State,
    load: &Sampler,
    steps: &[Step],
) -> Vec<Count> {
    let mut counts = count_copies(state);
    for step in steps {
        if let Operation::Start { service, .. } = step.operation {
            counts.entry(service).or_default().licensed += 1;
        }
    }
    let count = |(id, spec): (ServiceId, &Service)| {
        let Copies { able, licensed } = counts.get(&id).copied().unwrap_or_default();
        let in_flight = load.in_flight(now, id).map_or(0, |(in_flight, _)| in_flight);
        let busy = in_flight.div_ceil(u32::from(spec.slots.max(1)));
        Count { service: spec.name.clone(), able, licensed, idle: able.saturating_sub(busy) }
    };
    fleet.services().map(count).collect()
}

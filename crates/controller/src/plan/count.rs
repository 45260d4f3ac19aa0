//! Copies of each service, counted for metrics.

use corianderfork_model::service::{Service, ServiceId};
use corianderfork_model::{Fleet, Name, Time};
use corianderfork_policy::{Operation, State, Step};

use crate::plan::load::Sampler;
use crate::plan::situation::{Copies, copies};

/// Copies of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Count {
    /// The service.
    pub service: Name,
    /// Copies able to serve.
    pub able: u32,
    /// Copies that hold a licence, with those about to start.
    pub licensed: u32,
    /// Copies that are able beyond what the load occupies.
    pub idle: u32,
}

/// Counts the copies of each service, `steps` being about to be taken.
pub(crate) fn counts(
    now: Time,
    fleet: &Fleet,
    state: &State,
    load: &Sampler,
    steps: &[Step],
) -> Vec<Count> {
    let mut counts = copies(state);
    for step in steps {
        if let Operation::Start { service, .. } = step.operation {
            counts.entry(service).or_default().licensed += 1;
        }
    }
    let count = |(id, row): (ServiceId, &Service)| {
        let Copies { able, licensed } = counts.get(&id).copied().unwrap_or_default();
        let in_hand = load.in_hand(now, id).map_or(0, |(in_hand, _)| in_hand);
        let busy = in_hand.div_ceil(u32::from(row.slots.max(1)));
        Count { service: row.name.clone(), able, licensed, idle: able.saturating_sub(busy) }
    };
    fleet.services().map(count).collect()
}

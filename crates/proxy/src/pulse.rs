//! The actor for periodic work: it ticks the gate and updates the store metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_provider::count::{Calls, CountingStore};
use corianderfork_provider::http;
use corianderfork_runtime::timer::{Service, Tick};
use stakker::{Actor, CX, call, fwd_to};

use crate::hub::Hub;

/// The tick interval, after which waiting requests are checked.
const INTERVAL: Duration = Duration::from_millis(50);

/// Ticks the gate and sums up the store calls.
pub struct Pulse {
    hub: Rc<Hub>,
    stores: Vec<Arc<CountingStore<http::Client>>>,
}

impl Pulse {
    /// Starts the ticks.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        stores: Vec<Arc<CountingStore<http::Client>>>,
        timer: Actor<Service>,
    ) -> Option<Self> {
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(INTERVAL, tick));
        Some(Self { hub, stores })
    }

    fn tick(&mut self, _: CX![], _: Tick) {
        self.hub.shared.gate.tick();
        let mut total = Calls::default();
        for calls in self.stores.iter().map(|store| store.calls()) {
            total.reads += calls.reads;
            total.writes += calls.writes;
            total.watches += calls.watches;
            total.failures += calls.failures;
        }
        self.hub.shared.metrics.registry.set_store_calls(total);
    }
}

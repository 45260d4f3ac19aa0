//! The actor that looks after requests that wait, and after metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use corianderfork_provider::count::{Calls, Counted};
use corianderfork_provider::http;
use corianderfork_runtime::timer::{Service, Tick};
use stakker::{Actor, CX, call, fwd_to};

use crate::hub::Hub;

/// How often waiting requests are looked at.
const PERIOD: Duration = Duration::from_millis(50);

/// Ticks the gate.
pub struct Pulse {
    hub: Rc<Hub>,
    stores: Vec<Arc<Counted<http::Client>>>,
}

impl Pulse {
    /// Begins to tick.
    pub fn init(
        cx: CX![],
        hub: Rc<Hub>,
        stores: Vec<Arc<Counted<http::Client>>>,
        timer: Actor<Service>,
    ) -> Option<Self> {
        let tick = fwd_to!([cx], tick() as (Tick));
        call!([timer], subscribe(PERIOD, tick));
        Some(Self { hub, stores })
    }

    fn tick(&mut self, _: CX![], _: Tick) {
        self.hub.shared.gate.tick();
        let mut sum = Calls::default();
        for calls in self.stores.iter().map(|store| store.calls()) {
            sum.reads += calls.reads;
            sum.writes += calls.writes;
            sum.watches += calls.watches;
            sum.failures += calls.failures;
        }
        self.hub.shared.metrics.registry.store_calls(sum);
    }
}

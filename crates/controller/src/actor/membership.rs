//! Keeps this process's record in the list of members.

use std::time::Duration;

use corianderfork_coord::lease::{Answer, Event};
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::Tick;
use stakker::{CX, fwd_to};

use crate::lease::{Lease, Transition};

/// The actor that holds the lease on the member's record.
pub struct Membership {
    lease: Lease,
    port: Port<Answer>,
}

impl Membership {
    /// The period of [`Membership::on_tick`].
    pub const PERIOD: Duration = Duration::from_millis(100);

    /// Starts the actor without a record.
    pub fn init(cx: CX![], lease: Lease, handle: Handle) -> Option<Self> {
        let fwd = fwd_to!([cx], on_store_answer() as (Answer));
        let port = Port::open(cx, handle, fwd);
        Some(Self { lease, port })
    }

    /// Renews or requests the lease if that is due.
    pub fn on_tick(&mut self, _: CX![], _: Tick) {
        self.on_lease_event(Event::Tick);
    }

    fn on_store_answer(&mut self, _: CX![], answer: Answer) {
        self.on_lease_event(Event::Store(answer));
    }

    /// Removes the record, as the process is stopping.
    pub fn stop(&mut self, _: CX![]) {
        self.on_lease_event(Event::Release);
    }

    fn on_lease_event(&mut self, event: Event) {
        let port = self.port.clone();
        let on_answer = move |answer| {
            // Fails only if the core has ended.
            let _ = port.send_wait(answer);
        };
        for transition in self.lease.on_event(event, on_answer) {
            match transition {
                Transition::Acquired => log::info!("registered as a member"),
                Transition::Lost => log::warn!("no longer registered as a member"),
            }
        }
    }
}

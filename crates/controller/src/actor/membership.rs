//! Keeps this process's record among the members.

use std::time::Duration;

use corianderfork_coord::lease::{Answer, Event};
use corianderfork_runtime::core::Handle;
use corianderfork_runtime::port::Port;
use corianderfork_runtime::timer::Tick;
use stakker::{CX, fwd_to};

use crate::lease::{Tenure, Turn};

/// The actor.
pub struct Membership {
    tenure: Tenure,
    port: Port<Answer>,
}

impl Membership {
    /// How often the lease is looked after.
    pub const PERIOD: Duration = Duration::from_millis(100);

    /// Starts without a record.
    pub fn init(cx: CX![], tenure: Tenure, handle: Handle) -> Option<Self> {
        let fwd = fwd_to!([cx], on_answer() as (Answer));
        let port = Port::open(cx, handle, fwd);
        Some(Self { tenure, port })
    }

    /// Time went by.
    pub fn on_tick(&mut self, _: CX![], _: Tick) {
        self.event(Event::Tick);
    }

    fn on_answer(&mut self, _: CX![], answer: Answer) {
        self.event(Event::Store(answer));
    }

    /// Takes the record back: the process is stopping.
    pub fn stop(&mut self, _: CX![]) {
        self.event(Event::Release);
    }

    fn event(&mut self, event: Event) {
        let port = self.port.clone();
        let then = move |answer| {
            // Fails only once the core has ended.
            let _ = port.send_wait(answer);
        };
        for turn in self.tenure.on_event(event, then) {
            match turn {
                Turn::Started => log::info!("this process is listed as a member"),
                Turn::Stopped => log::warn!("this process is no longer listed as a member"),
            }
        }
    }
}

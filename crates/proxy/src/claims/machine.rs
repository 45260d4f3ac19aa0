//! The state machine of a shard: first the takeover, then ownership.

use corianderfork_coord::claim::{Action, Config, Event, Owner, Takeover, segment};
use corianderfork_coord::lease::Token;
use corianderfork_model::Time;

pub(super) enum Machine {
    Takeover(Box<Takeover>),
    Owner(Box<Owner>),
}

impl Machine {
    pub(super) fn new(writer: segment::Writer, token: Token) -> Self {
        Self::Takeover(Box::new(Takeover::new(Config::new(), writer, token.0)))
    }

    /// Returns the actions to execute, and the number of ids that the owner remembers if
    /// this event completed the takeover.
    pub(super) fn on_event(&mut self, now: Time, event: Event) -> (Vec<Action>, Option<usize>) {
        let mut actions = match self {
            Self::Takeover(takeover) => takeover.on_event(now, event),
            Self::Owner(owner) => return (owner.on_event(now, event), None),
        };
        let Self::Takeover(takeover) = self else { return (actions, None) };
        let Some(mut owner) = takeover.take_owner() else { return (actions, None) };
        let ids = owner.len();
        actions.extend(owner.on_event(now, Event::Tick));
        *self = Self::Owner(Box::new(owner));
        (actions, Some(ids))
    }

    pub(super) fn next_tick(&self) -> Option<Time> {
        match self {
            Self::Takeover(takeover) => takeover.next_tick(),
            Self::Owner(owner) => owner.next_tick(),
        }
    }
}

//! The actors of the core thread.

pub mod gossip;
pub mod membership;
pub mod planner;
pub mod sync;

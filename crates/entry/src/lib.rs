//! The daemon of an entry VM: takes jobs from callers, owns the work of some
//! pools, and perhaps plans for the fleet. One process, all alike, that keeps
//! nothing; see `docs/DEPLOYMENT.md`.
//!
//! What it decides is pure and lies in `corianderfork_jobs`, in [`duty`], in
//! [`predecessor`] and in [`placement`]; the rest brings that and the world together,
//! as tasks of one thread.

pub mod absence;
pub mod admission;
pub mod arrivals;
pub mod attempts;
pub mod duty;
pub mod elapsed;
pub mod exchange;
pub mod lookup;
pub mod outage;
pub mod placement;
pub mod predecessor;
pub mod queue_counts;
pub mod rendezvous;
pub mod settings;

mod clock;
mod explain;
mod follow;
mod gateway;
mod http;
mod listen;
mod member;
mod metrics;
mod node;
mod owner;
mod peer;
mod planner;
mod relay;
mod run;
mod server;
mod store;
mod trace;

pub use run::run;

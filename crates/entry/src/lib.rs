//! The daemon of an entry VM: accepts jobs from callers, owns the work of some pools, and
//! may plan for the fleet. All entry VMs run the same process, which stores nothing
//! locally; see `docs/DEPLOYMENT.md`.
//!
//! Decisions are free of I/O and are made in `corianderfork_jobs`, [`duty`], [`predecessor`]
//! and [`placement`]; the other modules connect them with the network and the store, as
//! tasks on a single thread.

pub mod absence;
pub mod access;
pub mod admission;
pub mod allowance;
pub mod arrivals;
pub mod attempts;
pub mod away;
pub mod buffer;
pub mod connections;
pub mod couriers;
pub mod delivery;
pub mod division;
pub mod duty;
pub mod effort;
pub mod ended;
pub mod exchange;
pub mod intake;
pub mod job_counters;
pub mod lanes;
pub mod lookup;
pub mod outage;
pub mod placement;
pub mod predecessor;
pub mod queue_counts;
pub mod relays;
pub mod rendezvous;
pub mod settings;
pub mod tenure;
pub mod traffic;
pub mod wave_ages;
pub mod write_slots;
pub mod write_waiters;

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
pub mod peer;
mod planner;
mod receive;
mod relay;
mod run;
mod server;
mod store;
mod trace;
mod usage;

pub use planner::{meter, target};
pub use run::run;

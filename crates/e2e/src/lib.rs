//! The whole system as processes, for the playground, the end-to-end tests and
//! the measurements. Never shipped.
//!
//! A [`system::System`] starts the stand-ins for the platform and the backend
//! servers, then a proxy and a controller for each entry VM, all on loopback
//! addresses that the system chose, and ends them when it is dropped. What
//! callers were told and what backend servers ran is recorded outside of the
//! code under test.
//!
//! The programs have to be built first: `cargo build --workspace --bins`.

pub mod callers;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod http;
pub mod playground;
pub mod system;
pub mod wait;

//! Runs the whole system as processes for the playground, the end-to-end tests
//! and the benchmarks. Never shipped.
//!
//! A [`system::System`] starts the stand-ins for the platform and the backend
//! servers, then a proxy and a controller for each entry VM, all on loopback
//! addresses with free ports, and kills them on drop. Callers' results and backend
//! servers' runs are recorded outside of the code under test.
//!
//! Build the programs first: `cargo build --workspace --bins`.

pub mod callers;
pub mod config;
pub mod entry;
pub mod fleet;
pub mod http;
pub mod playground;
pub mod system;
pub mod wait;

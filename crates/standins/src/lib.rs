//! Stand-ins for the system's environment: the platform, backend servers, a
//! faulty network and callers. Never shipped.
//!
//! Each is a separate program (`standin-platform`, `standin-backend`,
//! `standin-fault`, `standin-load`), since tests need processes that they can kill
//! and freeze. [`spawn::Process`] starts one and waits until it prints `ready`.
//! Callers' results and backend servers' runs are recorded outside of the code
//! under test, and [`history::check`] compares the two.
//!
//! ```
//! use corianderfork_standins::history::{self, Call, Run, Runs};
//!
//! let mut runs = Runs::default();
//! runs.runs.push(Run::new("a", Some("k"), "vm1", "transfer", 10, 1));
//! runs.runs.push(Run::new("b", Some("k"), "vm2", "transfer", 20, 2));
//! let findings = history::check(&runs, &[] as &[Call]);
//! assert_eq!(findings.doubled, ["k"]);
//! ```

pub mod answer;
pub mod backend;
pub mod behaviour;
mod body;
pub mod clock;
pub mod connections;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod http;
pub mod latency;
pub mod ledger;
pub mod load;
pub mod platform;
pub mod runner;
pub mod spawn;
pub mod store;
mod switches;
mod trace;

//! Infrastructure that the daemons share.
//!
//! A daemon is a thin shell around decision code that does no I/O. Its event
//! loop is one thread that runs stakker actors ([`core`]) under a
//! [`supervisor`], with a [`timer`] actor for periodic ticks. Blocking work runs
//! on other threads and posts results through a [`port::Port`]: calls to the
//! platform on [`worker`] threads, the watch of shared keys on a separate thread
//! ([`sync`]), and messages between peers on one tokio thread ([`peers`]).
//! All queues between threads are bounded.
//!
//! ```
//! use corianderfork_runtime::core;
//!
//! let cause = core::run(16, |stakker, _handle| {
//!     stakker.defer(|stakker| stakker.shutdown(stakker::StopCause::Stopped));
//! });
//! assert!(cause.is_ok());
//! ```

pub mod admin;
pub mod clock;
pub mod core;
pub mod log;
pub mod metrics;
pub mod peers;
pub mod port;
pub mod settings;
pub mod signal;
pub mod supervisor;
pub mod sync;
pub mod timer;
pub mod worker;

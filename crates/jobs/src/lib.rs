//! Jobs: steps of tasks that run on workers under leases.
//!
//! A caller submits a [`Job`]: steps of tasks, some of which depend on earlier ones. Each pool
//! of workers has one owner at a time, and [`Pool`] is the owner's state: which tasks may start
//! and where, what is running, what has ended, and which of that is written to the store. It
//! does no I/O: it receives the time and the answers of workers and of the store, and returns
//! [`Order`]s to send and a [`Batch`] to write. The same code runs in the entry daemon and in
//! tests that interleave faults.
//!
//! Three mechanisms prevent a task from running twice, whatever messages are lost or late:
//!
//! - Each order carries the owner's **fence**, the store revision at which it became the owner.
//!   A worker ignores orders with a lower fence than it has seen, so an owner that was replaced
//!   while it was paused can't start anything.
//! - Everything on a worker runs under a **lease**. A worker that doesn't answer may continue
//!   its tasks until its last granted lease ends, on its own clock, and no longer. Until then
//!   its tasks are not started elsewhere.
//! - An exit is **written** to the store before the worker may forget it, so a successor finds
//!   it in one of the two places.
//!
//! ```
//! use corianderfork_jobs::{Job, Step};
//!
//! let job = Job::new("resize".to_owned(), vec![Step::new(4), Step::new(1).after(0)])?;
//! assert_eq!(job.tasks(), 5);
//! assert!(Job::new(String::new(), vec![Step::new(1).after(1)]).is_err());
//! # Ok::<(), corianderfork_jobs::job::Error>(())
//! ```

pub mod allocate;
pub mod allowance;
pub mod contention;
pub mod estimate;
pub mod feature;
pub mod flow;
pub mod id;
pub mod job;
pub mod lease;
pub mod maintenance;
pub mod meter;
pub mod organisation;
pub mod pool;
pub mod pressure;
pub mod queue;
pub mod record;
pub mod size;
pub mod tally;
pub mod task;
pub mod work;
pub mod worker;

pub use id::JobId;
pub use job::{Job, Step};
pub use pool::{Batch, Order, Pool};
pub use record::Record;

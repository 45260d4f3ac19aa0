//! Jobs: steps of tasks that run on workers under leases.
//!
//! A caller hands in a [`Job`]: steps of tasks, some after others. Each pool of
//! workers has one owner at a time, and [`Pool`] is what the owner knows: which
//! tasks may start and where, what runs, what ended, and which of that is
//! written down. It is pure: it is handed the time, the answers of workers and
//! of the store, and gives back [`Order`]s to send and a [`Batch`] to write. The
//! same code runs in the entry daemon and in tests that interleave faults.
//!
//! Three things keep a task from running twice, whatever is lost or late:
//!
//! - Each order carries the owner's **fence**, the revision at which it became
//!   the owner. A worker does nothing for a lower one than it has seen, so an
//!   owner that was replaced while it was paused can't start anything.
//! - Everything on a worker runs under a **lease**. A worker that doesn't answer
//!   may go on with its tasks until the last lease that was granted to it ends,
//!   on its own clock, and not longer. Until then its tasks are not started
//!   elsewhere.
//! - An end is **written** before the worker may forget it, so that a successor
//!   finds it in the one place or in the other.
//!
//! ```
//! use corianderfork_jobs::{Job, Step};
//!
//! let job = Job::new("resize".to_owned(), vec![Step::new(4), Step::new(1).after(0)])?;
//! assert_eq!(job.tasks(), 5);
//! assert!(Job::new(String::new(), vec![Step::new(1).after(1)]).is_err());
//! # Ok::<(), corianderfork_jobs::job::Error>(())
//! ```

pub mod estimate;
pub mod feature;
pub mod flow;
pub mod id;
pub mod job;
pub mod pool;
pub mod queue;
pub mod record;
pub mod size;
pub mod task;
pub mod work;
pub mod worker;

pub use id::JobId;
pub use job::{Job, Step};
pub use pool::{Batch, Order, Pool};
pub use record::Record;

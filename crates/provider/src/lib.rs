//! Client of the platform's service, and the records stored in it.
//!
//! Shared or durable state goes through [`store::Store`], a key-value service
//! with compare-and-swap, leases and watches. VMs, tasks and usage go through
//! [`fleet::Control`]. [`http::Client`] implements both traits over HTTP and
//! JSON; another platform needs another adapter, in one file. [`key`] and
//! [`record`] define the keys and the values stored under them.
//!
//! Every call blocks for a bounded time. A write has three outcomes that
//! [`store::Error`] distinguishes: applied, not applied, and unknown. An
//! unknown outcome means that the response was lost and the caller must read
//! the key back.
//!
//! ```no_run
//! use corianderfork_provider::{http, store::{Expect, Store}};
//!
//! let client = http::Client::new(http::Config::new("127.0.0.1:7000".parse()?).caller("doc"));
//! let revision = client.put("shared/drain/v01", "{}", Expect::Absent, None)?;
//! println!("written as revision {revision}");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod audit;
pub mod count;
pub mod fleet;
pub mod http;
pub mod key;
pub mod record;
pub mod store;

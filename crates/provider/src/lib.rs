//! The platform's service behind two traits, and the records kept in it.
//!
//! What must be agreed or must last goes through [`store::Store`]: a small
//! key-value service with compare-and-swap, leases and watches. VMs, tasks and
//! usage go through [`fleet::Control`]. [`http::Client`] speaks to both over
//! HTTP and JSON; another platform needs another adapter, in one file.
//! [`key`] and [`record`] say what the processes keep under which key.
//!
//! Every call blocks and is bounded in time. A write has three ends, kept
//! apart by [`store::Error`]: applied, not applied, and unknown, where the
//! answer was lost and only reading back tells.
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

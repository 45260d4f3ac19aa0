//! Messages between proxies and controllers.
//!
//! The [`peer`] module is generated from `proto/peer.proto` and committed, so
//! that the build needs no generator. Run `cargo run -p corianderfork-wire-gen`
//! to regenerate it after a change. Processes exchange a [`peer::Report`] a few
//! times a second. It contains the members and the age of their last message,
//! the configuration that each has applied, acknowledged drains, and the
//! sender's load on runners.
//!
//! ```
//! use corianderfork_wire::peer;
//!
//! let report = peer::Report { config_revision: 7, ..peer::Report::default() };
//! assert!(report.seen.is_empty());
//! ```

/// The generated messages, client and server.
#[allow(missing_docs, clippy::all)]
pub mod peer {
    include!("generated/corianderfork.peer.rs");
}

/// The maximum size of a message in bytes: a snapshot of the records of several
/// thousand VMs plus a configuration of 1 MB.
pub const MAX_MESSAGE: usize = 16 << 20;

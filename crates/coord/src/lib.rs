//! Leases, membership, claims, barriers and registers as pure state machines.
//!
//! Processes that share only a small key-value service with compare-and-swap
//! have to agree on a few things: which of them acts ([`lease`]), which of them
//! are alive ([`member`]), which requests have been run ([`claim`]), when a VM
//! has nothing in flight ([`drain`]), which configuration is in force
//! ([`register`]) and which of them does a share of the work ([`partition`],
//! [`rendezvous`]). Each module holds one such state machine and depends on none
//! of the others, except that [`drain`] uses the types of [`member`]. None of
//! them reads a clock, blocks or uses unseeded randomness: the driver passes in
//! the time and the events, and carries out the actions that are returned. The
//! same code therefore runs in daemons and in tests that choose every
//! interleaving.
//!
//! ```
//! use corianderfork_coord::register::{Offer, Register};
//!
//! let mut config = Register::default();
//! assert_eq!(config.offer(7, "pools"), Offer::Applied);
//! assert_eq!(config.offer(5, "older pools"), Offer::Stale);
//! assert_eq!(config.get(), Some(&"pools"));
//! ```

pub mod backoff;
pub mod claim;
pub mod drain;
pub mod lease;
pub mod member;
pub mod partition;
pub mod register;
pub mod rendezvous;

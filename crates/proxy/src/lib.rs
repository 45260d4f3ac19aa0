//! The proxy daemon: between callers and backend servers.
//!
//! A proxy runs on each entry VM, behind the platform's balancer. It takes a
//! caller's request, chooses a runner of the service, sends the request there
//! and answers with one of three outcomes, kept apart in the header `Outcome`:
//! the backend server's whole answer, *not run* with a time to come back, or
//! *unknown*. How it comes to be sure of each is spread over small modules:
//!
//! * [`request`] checks what a caller sent; [`response`] is what it gets.
//! * [`exchange`] makes one try at a backend server and checks that the answer
//!   is whole and its own; [`transport`] knows whether a byte was sent.
//! * [`gate`] gives out slots in the order of classes, by the pure decisions of
//!   `corianderfork-routing`.
//! * [`forward`] puts these together: retries for idempotent requests, and for
//!   the others a claim on their id before the first byte ([`claimant`]).
//! * [`serve`] is the threads of the callers' side.
//!
//! The core is one thread of actors under supervisors. They share the [`hub`]:
//! the [`view`] of the shared records and the [`members`].
//!
//! * [`feed`] brings records from the store; [`gossip`] exchanges reports with
//!   peers and fetches records from them while the store is silent.
//! * [`membership`] keeps this process listed; [`claims`] owns shards of claims.
//! * [`pulse`] looks after waiting requests; [`stop`] ends the process without cutting anything off.
//!
//! ```
//! use corianderfork_proxy::request::Head;
//!
//! let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
//! let head = Head {
//!     method: "POST".to_owned(),
//!     url: "/transfer/wb-1".to_owned(),
//!     headers: vec![
//!         header("Request-Id", "r-1"),
//!         header("Idempotency-Key", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
//!     ],
//! };
//! assert!(head.check()?.claim.is_some());
//! # Ok::<(), corianderfork_proxy::request::Error>(())
//! ```

pub mod alarm;
pub mod cache;
pub mod claimant;
pub mod claims;
pub mod convert;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod gate;
pub mod gossip;
pub mod handler;
pub mod hub;
pub mod inbox;
pub mod lease;
pub mod members;
pub mod membership;
pub mod metrics;
pub mod pulse;
pub mod request;
pub mod response;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod stop;
pub mod takeover;
pub mod transport;
pub mod view;

pub use run::run;

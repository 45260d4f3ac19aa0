//! The proxy daemon, which forwards requests of callers to backend servers.
//!
//! A proxy runs on each entry VM, behind the platform's load balancer. It chooses a
//! runner of the requested service, forwards the request and responds with one of three
//! outcomes, which the header `Outcome` states: the complete response of the backend
//! server, *not run* with a time after which to retry, or *unknown*. The work is divided
//! among small modules:
//!
//! * [`request`] validates requests; [`response`] builds responses.
//! * [`exchange`] makes one try at a backend server and checks that the response is
//!   complete and belongs to the request; [`transport`] records whether a byte was sent.
//! * [`gate`] grants slots in the order of classes, by the pure decisions of
//!   `corianderfork-routing`.
//! * [`forward`] combines these: it retries idempotent requests, and claims the id of any
//!   other request before the first byte is sent ([`claimant`]).
//! * [`serve`] has the threads that serve callers.
//!
//! The core is one thread of supervised actors. They share the [`hub`], which holds the
//! [`view`] of the shared records and the [`members`].
//!
//! * [`feed`] transfers records from the store, with the drain requests that [`watch`]
//!   selects watched apart; [`gossip`] exchanges reports with peers
//!   and fetches records from them while the store is silent.
//! * [`membership`] keeps this process listed in the store; [`claims`] owns shards of
//!   claims.
//! * [`pulse`] does periodic work; [`stop`] shuts the process down without cutting off
//!   requests.
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
pub mod watch;

pub use run::run;

//! Ordered when-then rules: for any situation, the first that matches decides.
//!
//! An operator writes a [`List`] of rules. Each has a [`Condition`] over the
//! [`Situation`] of the fleet and the [`Action`]s to take when it holds. The
//! list is read from the top; the first rule whose condition is *true* decides
//! alone, and rules below it have no say. The last rule has to be `always`, so
//! a situation in which no rule matches cannot be configured.
//!
//! A value may be unknown: never reported, or reported so long ago that it is
//! stale. Conditions therefore have three truth values ([`Truth`]). A
//! comparison with an unknown value is neither true nor false but unknown, and
//! so is its negation; a rule whose condition comes out unknown does not match.
//! A rule can ask for the case itself with `known(load(transfer))` or
//! `usage_stale`. [`List::explain`] says which values were unknown.
//!
//! Everything here is pure: no clock, no I/O, no randomness. The same list and
//! the same situation give the same decision.
//!
//! ```
//! use std::time::Duration;
//!
//! use corianderfork_model::{Fleet, Name, place::{Pool, Size}, service::{Budget, Service}};
//! use corianderfork_rules::{Action, List, Rule, Situation, action, condition};
//!
//! let mut fleet = Fleet::default();
//! let pool = fleet.add_pool(Pool::new(Name::new("registry")?));
//! let transfer = fleet.add_service(Service::new(
//!     Name::new("transfer")?,
//!     pool,
//!     Size { milli_cores: 2_000, memory_mib: 4_096, accelerators: 0 },
//!     Budget::new(4, 12),
//!     12,
//! ));
//!
//! let rule = |name: &str, when: &str, then: &str| -> Result<Rule, Box<dyn std::error::Error>> {
//!     let when = condition::parse(when, &fleet)?;
//!     Ok(Rule::new(Name::new(name)?, when, action::parse(then, &fleet)?))
//! };
//! let list = List::new(vec![
//!     rule("busy", "load(transfer) > 80% and not store_down", "headroom transfer 30%")?,
//!     rule("otherwise", "always", "hold")?,
//! ])?;
//!
//! let mut now = Situation::new();
//! now.set_load(transfer, 9, 10, Duration::from_secs(1));
//! assert_eq!(list.decide(&now).actions(), [Action::Hold]); // is the store down? unknown
//!
//! now.set_store_down(false, Duration::ZERO);
//! let decision = list.decide(&now);
//! assert_eq!(decision.name().as_str(), "busy");
//! assert_eq!(decision.actions(), [Action::Headroom { service: transfer, per_mille: 300 }]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod action;
mod action_parser;
pub mod condition;
mod condition_parser;
mod cursor;
pub mod error;
pub mod explain;
mod lexer;
pub mod lint;
pub mod list;
pub mod nearest;
mod number;
mod region;
mod resolve;
pub mod situation;
mod term;

pub use action::Action;
pub use condition::{Condition, Truth};
pub use error::Error;
pub use explain::{Explanation, Observation};
pub use lint::{Finding, lint};
pub use list::{Decision, List, Rule};
pub use situation::Situation;

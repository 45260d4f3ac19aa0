//! Ordered when-then rules: in any situation, the first rule that matches
//! decides.
//!
//! An operator writes a [`List`] of rules. Each has a [`Condition`] on the
//! [`Situation`] of the fleet and the [`Action`]s to take if the condition is
//! true. The first rule whose condition is *true* decides alone; the rules below
//! it have no effect. The last rule must be `always`, so that some rule matches
//! in every situation.
//!
//! A value is unknown if it was never reported or its last report is stale.
//! Conditions therefore have three truth values ([`Truth`]). A comparison with an
//! unknown value is unknown, and so is its negation. A rule whose condition is
//! unknown does not match. Rules can test for unknown values with
//! `known(load(transfer))` or `usage_stale`, and [`List::explain`] reports them.
//!
//! Everything here is pure: there is no clock, I/O or randomness, and the same
//! list and situation give the same decision.
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
//! let mut situation = Situation::new();
//! situation.set_load(transfer, 9, 10, Duration::from_secs(1));
//! // Whether the store is down is unknown, so the first rule does not match.
//! assert_eq!(list.decide(&situation).actions(), [Action::Hold]);
//!
//! situation.set_store_down(false, Duration::ZERO);
//! let decision = list.decide(&situation);
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

//! Names, ids, time and the configured fleet.
//!
//! All other crates of the workspace use these types. A [`Fleet`] is the
//! validated form of one configuration: data centres, racks, VMs, pools, teams
//! and services in arenas, addressed by small `Copy` ids. An id is valid only
//! for the fleet that returned it; processes refer to items by [`Name`].
//!
//! ```
//! use corianderfork_model::{fleet::Fleet, place::DataCentre, Name};
//!
//! let mut fleet = Fleet::default();
//! let id = fleet.add_data_centre(DataCentre::new(Name::new("kolkata")?, Name::new("bengal")?));
//! assert_eq!(fleet.data_centre(id).name.as_str(), "kolkata");
//! assert_eq!(fleet.find_data_centre("kolkata"), Some(id));
//! # Ok::<(), corianderfork_model::name::Error>(())
//! ```

pub mod arena;
pub mod fleet;
pub mod name;
pub mod place;
pub mod service;
pub mod share;
pub mod time;

pub use arena::Arena;
pub use fleet::Fleet;
pub use name::Name;
pub use share::Share;
pub use time::Time;

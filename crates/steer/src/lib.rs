//! Routing decisions: places, caps, ramps, link budgets and host look-ups.
//!
//! A place is one service in one availability zone. The state in force is the result of all
//! accepted tickets; it names the regions, hosts, services, links and address blocks.
//!
//! [`RouteTable::route`] is the entry point: it chooses the place that serves a request and
//! reserves capacity there. A [`TableBuilder`] builds a table from the state in force and takes
//! the limiters over from the previous table. Functions that depend on time take the current time
//! as an argument.
//!
//! | module | contents |
//! |---|---|
//! | [`table`] | immutable routing table and routing of one request |
//! | [`builder`] | construction of a table from the state in force |
//! | [`plan`] | candidate places of a request, in order, and the permit for one of them |
//! | [`query`] | inputs and results of routing decisions |
//! | [`place`] | limits and measurements of one place |
//! | [`share`] | shares of a cap, whose sum over all hosts stays within the cap |
//! | [`ramp`] | limit on the growth of a place's traffic |
//! | [`region`] | limit on the traffic to one region |
//! | [`link`] | byte budget of one link, in both directions |
//! | [`meter`] | lock-free rate measurement |
//! | [`spill`] | controller that moves traffic away from places under pressure |
//! | [`lookup`] | look-up of the entry hosts that a caller should use |
//! | [`blocks`] | compact table of client address blocks |

pub mod blocks;
pub mod builder;
pub mod link;
pub mod lookup;
pub mod meter;
pub mod place;
pub mod plan;
pub mod query;
pub mod ramp;
pub mod region;
pub mod share;
pub mod spill;
pub mod table;

pub use builder::TableBuilder;
pub use lookup::LookupTable;
pub use plan::{PlacePermit, RoutePlan};
pub use query::{PlaceDemand, RouteDecision, RouteQuery, RouteRefusal, ShareLease};
pub use table::RouteTable;

//! Routing decisions: places, caps, ramps, links and look-ups.
//!
//! A newcomer starts with [`RouteTable::route`]: it decides which places may take a request and
//! debits their allowances. A [`TableBuilder`] makes the table from what is in force and carries
//! the gauges of the table before over. Every decision takes the present moment.
//!
//! | module | holds |
//! |---|---|
//! | [`table`] | the immutable table and the routing of one request |
//! | [`builder`] | a table from what is in force |
//! | [`plan`] | places that may take a request, in order, and the permit of one |
//! | [`query`] | what is asked and what is decided |
//! | [`place`] | allowances and gauges of one place |
//! | [`share`] | shares of a cap, whose sum over all hosts stays under it |
//! | [`ramp`] | growth of a place's traffic at a bounded pace |
//! | [`region`] | headroom of one region |
//! | [`link`] | byte budget of one link, in both directions |
//! | [`meter`] | rates measured without a lock |
//! | [`damper`] | slow reaction to measurements that lag |
//! | [`lookup`] | which entry hosts a caller should use |
//! | [`blocks`] | blocks of client addresses in compact form |

pub mod blocks;
pub mod builder;
pub mod damper;
pub mod link;
pub mod lookup;
pub mod meter;
pub mod place;
pub mod plan;
pub mod query;
pub mod ramp;
pub mod region;
pub mod share;
pub mod table;

pub use builder::TableBuilder;
pub use lookup::LookupTable;
pub use plan::{PlacePermit, RoutePlan};
pub use query::{PlaceDemand, RouteDecision, RouteQuery, RouteRefusal, ShareGrant};
pub use table::RouteTable;

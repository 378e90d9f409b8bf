//! Which service answers a request, as one version of the configuration says.

mod route;
mod table;
mod weighted_round_robin;

pub use self::{
    route::{Gather, Repeat, Route, Target},
    table::{IngressLimits, Routing, RoutingError, ServiceSpec},
    weighted_round_robin::WeightedRoundRobin,
};

//! Routing of requests to services, for one version of the configuration.

mod route;
mod table;
mod weighted_round_robin;

pub use self::{
    route::{Gather, Repeat, Route, Target},
    table::{IngressLimits, Routing, RoutingError, ServiceSpec},
    weighted_round_robin::WeightedRoundRobin,
};

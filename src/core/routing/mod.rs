//! Which service answers a request, as one version of the configuration says.

mod route;
mod spread;
mod table;

pub use self::{
    route::{Gather, Repeat, Route, Target},
    spread::Spread,
    table::{IngressLimits, Routing, RoutingError, ServiceSpec},
};

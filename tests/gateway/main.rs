//! Tests of gateway processes against an emulated platform store and emulated leaves.

#[path = "../seeds/mod.rs"]
mod seeds;

mod accounts;
mod admission;
mod build;
mod caller;
mod copies;
mod crashes;
mod input;
mod limits;
mod links;
mod load;
mod malformed_items;
mod membership;
mod numbers;
mod platform;
mod raw_leaf;
mod requests;
mod restore;
mod site;
mod spoilt;
mod stop;
mod stop_edges;
mod stop_report;
mod stop_schedules;
mod store;

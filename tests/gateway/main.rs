//! Gateway processes against stand-ins for the platform's store and leafs.

mod input;
mod membership;
mod platform;
mod requests;
mod site;
mod stop;

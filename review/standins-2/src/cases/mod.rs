//! The cases.

pub mod evacuation;
pub mod foreign;
pub mod key;
pub mod pages;
mod site;

//! The cases.

pub mod foreign;
pub mod key;
pub mod pages;
mod site;

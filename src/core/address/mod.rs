//! Placeholder until the module lands.

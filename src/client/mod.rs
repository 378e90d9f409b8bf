//! The library for callers.

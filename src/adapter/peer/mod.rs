//! Messages between nodes.

mod control;

pub use self::control::{ControlError, ControlSocket, FleetKey, Incoming};

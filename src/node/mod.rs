//! The process that runs on an entry VM.

mod settings;

pub use self::settings::{FleetKey, Limits, LogFormat, LogSettings, Settings, SettingsError};

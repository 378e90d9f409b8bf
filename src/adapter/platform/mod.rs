//! Client for the platform: reads and watches the configuration and the VM list over HTTP/1.1.

mod client;

pub use self::client::{
    FailedAttempt, PlatformClient, PlatformError, PlatformSettings, PlatformStep, WatchResponse,
};

//! The platform: configuration service and VM list, read and watched over HTTP/1.1.

mod client;

pub use self::client::{
    FailedAttempt, PlatformClient, PlatformError, PlatformSettings, PlatformStep, WatchResponse,
};

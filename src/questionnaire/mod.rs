//! From plain questions to a service configuration.

//! The process that runs on an entry VM.

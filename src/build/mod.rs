//! Which build a process runs: log lines, metrics and reports of faults refer to it.

mod sources;

pub use self::sources::{SOURCES, digest_sources};

/// Identifies a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Build {
    pub crate_version: &'static str,
    /// The commit, followed by `-modified` if the sources differ from it, or `unknown` if the build had no repository.
    pub commit: &'static str,
    /// Digest of the sources; see [`digest_sources`].
    pub sources: &'static str,
    /// Processor architecture that the program was compiled for.
    pub arch: &'static str,
}

/// The build of this program.
pub const BUILD: Build = Build {
    crate_version: env!("CARGO_PKG_VERSION"),
    commit: env!("CRANBERRYCHUTE_COMMIT"),
    sources: env!("CRANBERRYCHUTE_SOURCES"),
    arch: std::env::consts::ARCH,
};

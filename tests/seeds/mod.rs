//! Which seeds a randomized test runs: `SEED=n` only that one, `SCHEDULES=n` the first n.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    env,
    ops::Range,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
};

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Returns the number in an environment variable.
pub(crate) fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

/// Returns the seeds to run, `0..default` unless the environment says otherwise.
pub(crate) fn seeds(default: u64) -> Range<u64> {
    match env_number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("SCHEDULES").unwrap_or(default),
    }
}

/// Runs one schedule; when it fails, prints the command that repeats it.
pub(crate) fn run_schedule<T>(test: &str, seed: u64, run: impl FnOnce() -> T) -> T {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
        println!("failed: SEED={seed} cargo test --locked --test {test} schedules");
        resume_unwind(panic)
    })
}

/// Returns the configuration of property tests, with a fixed seed unless `SEED` sets one.
pub(crate) fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(env_number("SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

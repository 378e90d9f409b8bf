//! Seed selection for randomized tests: `SEED=n` runs only that seed, `SCHEDULES=n` runs the first n seeds.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    env,
    ops::Range,
    panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
};

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Returns the value of an environment variable as a number, or `None` if it is unset or not a number.
pub(crate) fn env_number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

/// Returns the seeds to run: `0..default`, unless `SEED` or `SCHEDULES` is set.
pub(crate) fn seeds(default: u64) -> Range<u64> {
    match env_number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("SCHEDULES").unwrap_or(default),
    }
}

/// Runs one schedule. If it panics, prints the command that reproduces the failure.
pub(crate) fn run_schedule<T>(test: &str, seed: u64, run: impl FnOnce() -> T) -> T {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
        println!("failed: SEED={seed} cargo test --locked --test {test} schedules");
        resume_unwind(panic)
    })
}

/// Returns the configuration of property tests. The seed is 1 unless `SEED` is set.
pub(crate) fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(env_number("SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

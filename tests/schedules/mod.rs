//! Seeded schedules for tests that drive many cores: a faulty network, drifting clocks and true time.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
};

use cranberrychute::core::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000 * MS;

/// Runs `schedule` for `default` seeds, for as many as `SCHEDULES` says, or for the one in `SEED`.
///
/// Panics with the seeds that failed. Returns the sum of the results.
pub(crate) fn run(
    name: &str,
    default: u64,
    schedule: impl Fn(u64, &mut Pcg64) -> Result<u64, String> + Sync,
) -> u64 {
    let number = |key| env::var(key).ok().map(|text| text.parse::<u64>().unwrap());
    let seeds: Vec<u64> = match number("SEED") {
        Some(seed) => vec![seed],
        None => (0..number("SCHEDULES").unwrap_or(default)).collect(),
    };
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().div_ceil(2));
    let outcomes = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|first| {
                let (seeds, schedule) = (&seeds, &schedule);
                scope.spawn(move || {
                    let mine = seeds.iter().skip(first).step_by(threads);
                    let outcome =
                        |seed: &u64| (*seed, schedule(*seed, &mut Pcg64::seed_from_u64(*seed)));
                    mine.map(outcome).collect::<Vec<_>>()
                })
            })
            .collect();
        let done = workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap());
        done.collect::<Vec<_>>()
    });
    let failed: Vec<_> = outcomes
        .iter()
        .filter_map(|(seed, outcome)| Some((*seed, outcome.as_ref().err()?)))
        .collect();
    for (seed, fault) in failed.iter().take(10) {
        println!("SEED={seed} {name}: {fault}");
    }
    let count = failed.len();
    assert!(
        failed.is_empty(),
        "{name}: {count} of {} schedules failed",
        seeds.len()
    );
    outcomes
        .into_iter()
        .filter_map(|(_, outcome)| outcome.ok())
        .sum()
}

/// A node's clock: any origin, and a rate up to 10% from true time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    pub(crate) origin: u64,
    pub(crate) rate: f64,
}

impl Clock {
    pub(crate) fn new(rng: &mut Pcg64) -> Self {
        Self {
            origin: rng.random_range(0..1 << 40),
            rate: rng.random_range(0.9..=1.1),
        }
    }

    pub(crate) fn read(&self, at: u64) -> Time {
        Time(self.origin + (at as f64 * self.rate) as u64)
    }
}

/// What can happen to messages.
#[derive(Clone, Debug)]
pub(crate) struct Weather {
    pub(crate) loss: f64,
    pub(crate) duplicate: f64,
    /// Share of messages delayed by up to 3 s, which reorders them.
    pub(crate) late: f64,
    /// Nodes that reach only one another.
    pub(crate) island: BTreeSet<usize>,
}

impl Weather {
    pub(crate) fn calm() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            late: 0.0,
            island: BTreeSet::new(),
        }
    }

    pub(crate) fn rough(rng: &mut Pcg64, nodes: usize) -> Self {
        let mut share = |most: f64| {
            if rng.random_bool(0.5) {
                rng.random_range(0.0..most)
            } else {
                0.0
            }
        };
        let (loss, duplicate, late) = (share(0.5), share(0.3), share(0.3));
        let island = match rng.random_range(0..3) {
            0 => (0..nodes).filter(|_| rng.random_bool(0.4)).collect(),
            _ => BTreeSet::new(),
        };
        Self {
            loss,
            duplicate,
            late,
            island,
        }
    }

    pub(crate) fn connects(&self, a: usize, b: usize) -> bool {
        self.island.contains(&a) == self.island.contains(&b)
    }
}

/// Events in the order of true time.
#[derive(Debug)]
pub(crate) struct Queue<E> {
    events: BTreeMap<(u64, u64), E>,
    serial: u64,
    pub(crate) now: u64,
}

impl<E: Clone> Queue<E> {
    pub(crate) fn new() -> Self {
        Self {
            events: BTreeMap::new(),
            serial: 0,
            now: 0,
        }
    }

    pub(crate) fn after(&mut self, delay: u64, event: E) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    /// Passes a message through the network.
    pub(crate) fn send(
        &mut self,
        rng: &mut Pcg64,
        weather: &Weather,
        from: usize,
        to: usize,
        event: E,
    ) {
        if !weather.connects(from, to) {
            return;
        }
        let copies = 1 + u32::from(rng.random_bool(weather.duplicate));
        for _ in 0..copies {
            if rng.random_bool(weather.loss) {
                continue;
            }
            let late = rng.random_bool(weather.late);
            let most = if late { 3 * SECOND } else { 3 * MS };
            self.after(rng.random_range(MS..=most), event.clone());
        }
    }

    pub(crate) fn next(&mut self) -> Option<E> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        Some(event)
    }
}

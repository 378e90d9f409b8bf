use std::{
    hash::{DefaultHasher, Hash, Hasher},
    ops::Range,
    time::Duration,
};

use http::StatusCode;
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// How long the requests at a leaf run, and how large its answers are. Both follow from the request's id and the number of
/// its run.
#[derive(Clone, Debug)]
pub struct Work {
    /// Mean of the execution times before [`Work::longest`] limits them; they are distributed exponentially.
    pub mean: Duration,
    pub longest: Duration,
    /// Bytes of a successful answer.
    pub sizes: Range<usize>,
    /// Number of requests that the leaf says it runs at the same time.
    pub slots: u32,
}

/// A run of a request.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) time: Duration,
    pub(crate) status: StatusCode,
    pub(crate) stamp: String,
    pub(crate) body: Vec<u8>,
}

impl Work {
    /// Returns run number `count` of a request, which ends with 504 when it has used its time `limit`.
    pub(crate) fn run(&self, leaf: &str, id: &str, count: u32, limit: Duration) -> Run {
        let mut rng = seeded(&(leaf, id, count));
        let factor = -(1.0 - rng.random::<f64>()).ln();
        let time = self.mean.mul_f64(factor).min(self.longest);
        let size = rng.random_range(self.sizes.clone());
        let (time, status, size) = if time < limit {
            (time, StatusCode::OK, size)
        } else {
            (limit, StatusCode::GATEWAY_TIMEOUT, 0)
        };
        let stamp = format!("{leaf}.{id}.{count}.{}.{size}", status.as_u16());
        Run {
            time,
            status,
            body: stamped_body(&stamp, size),
            stamp,
        }
    }
}

/// An answer of a leaf, as its stamp describes it.
#[derive(Debug, PartialEq, Eq)]
pub struct Stamped<'a> {
    /// The id of the request.
    pub id: &'a str,
    pub status: u16,
    pub body: Vec<u8>,
}

impl<'a> Stamped<'a> {
    /// Returns the answer that a stamp describes, or `None` if the stamp is not of a leaf with [`Work`].
    pub fn parse(stamp: &'a str) -> Option<Self> {
        let [_leaf, id, _count, status, size] = stamp.split('.').collect::<Vec<_>>()[..] else {
            return None;
        };
        Some(Self {
            id,
            status: status.parse().ok()?,
            body: stamped_body(stamp, size.parse().ok()?),
        })
    }
}

fn stamped_body(stamp: &str, size: usize) -> Vec<u8> {
    let mut body = vec![0; size];
    seeded(&stamp).fill_bytes(&mut body);
    body
}

fn seeded(key: &impl Hash) -> Pcg64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    Pcg64::seed_from_u64(hasher.finish())
}

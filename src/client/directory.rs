use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use tokio::{
    sync::Mutex,
    time::{Instant, sleep, timeout_at},
};

use super::{
    ClientError, ErrorKind, Step,
    http::{Call, Http},
};

/// Timeout of a discovery request to one address, after which the next address is tried.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next round after no address answered.
const DISCOVERY_RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<String>,
    lifetime_ms: u64,
}

#[derive(Debug, Default)]
struct Cache {
    addresses: Vec<Arc<str>>,
    expires_at: Option<Instant>,
    /// Index of the seed that is tried first.
    first_seed: usize,
}

/// The addresses of nodes, cached for the lifetime that the discovery answer states.
#[derive(Debug)]
pub(super) struct Directory {
    path: String,
    seeds: Vec<Arc<str>>,
    cache: Mutex<Cache>,
}

impl Directory {
    pub(super) fn new(caller: Arc<str>, seeds: Vec<String>) -> Self {
        Self {
            path: format!("/v1/addresses?caller={caller}"),
            seeds: seeds.into_iter().map(Into::into).collect(),
            cache: Mutex::default(),
        }
    }

    /// Returns the addresses in the order in which to try them. An expired cache is refreshed from the known nodes and
    /// then from the seeds.
    pub(super) async fn addresses(
        &self,
        http: &Http,
        deadline: Instant,
    ) -> Result<Vec<Arc<str>>, ClientError> {
        let deadline_exceeded =
            || ClientError::without_peer(ErrorKind::DeadlineExceeded, Step::Discover);
        // The lock is held during discovery so that concurrent requests share one refresh.
        let mut cache = timeout_at(deadline, self.cache.lock())
            .await
            .map_err(|_| deadline_exceeded())?;
        if !cache.addresses.is_empty()
            && cache
                .expires_at
                .is_some_and(|expires_at| Instant::now() < expires_at)
        {
            return Ok(cache.addresses.clone());
        }
        loop {
            let seeds = self
                .seeds
                .iter()
                .cycle()
                .skip(cache.first_seed)
                .take(self.seeds.len());
            let candidates: Vec<Arc<str>> = cache.addresses.iter().chain(seeds).cloned().collect();
            let mut last_error = None;
            for peer in candidates {
                let now = Instant::now();
                if now >= deadline {
                    break;
                }
                match self
                    .fetch(http, &peer, deadline.min(now + DISCOVERY_TIMEOUT))
                    .await
                {
                    Ok(answer) if !answer.addresses.is_empty() => {
                        cache.addresses =
                            answer.addresses.iter().map(|a| a.as_str().into()).collect();
                        cache.expires_at = Some(now + Duration::from_millis(answer.lifetime_ms));
                        return Ok(cache.addresses.clone());
                    }
                    Ok(_) => {
                        let kind =
                            ErrorKind::InvalidAnswer("the list of addresses is empty".into());
                        last_error = Some(ClientError::new(kind, Step::Discover, &peer));
                    }
                    Err(error) => last_error = Some(error),
                }
            }
            cache.addresses.clear();
            cache.first_seed = (cache.first_seed + 1) % self.seeds.len();
            if Instant::now() + DISCOVERY_RETRY_DELAY >= deadline {
                return Err(last_error.unwrap_or_else(deadline_exceeded));
            }
            sleep(DISCOVERY_RETRY_DELAY).await;
        }
    }

    async fn fetch(
        &self,
        http: &Http,
        peer: &str,
        deadline: Instant,
    ) -> Result<Addresses, ClientError> {
        let call = Call {
            step: Step::Discover,
            peer,
            method: Method::GET,
            path: &self.path,
            key: None,
            body: Bytes::new(),
            deadline,
        };
        http.send(call).await
    }

    /// Moves an address that failed to the end of the list.
    pub(super) async fn demote(&self, peer: &str) {
        let mut cache = self.cache.lock().await;
        cache.addresses.sort_by_key(|address| &**address == peer);
    }

    /// Drops the cached addresses after all of them failed.
    pub(super) async fn clear(&self) {
        let mut cache = self.cache.lock().await;
        cache.addresses.clear();
        cache.expires_at = None;
    }
}

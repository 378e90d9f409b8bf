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

/// Time one address gets to answer a discovery request before the next one is asked.
const DISCOVER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after no address answered.
const DISCOVER_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<String>,
    lifetime_ms: u64,
}

#[derive(Debug, Default)]
struct Cache {
    addresses: Vec<Arc<str>>,
    expires: Option<Instant>,
    /// Position of the seed asked first.
    seed: usize,
}

/// The addresses of nodes, cached for the lifetime of the answer they came with.
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

    /// Returns addresses to try in order, asking known nodes and then seeds when the cache has run out.
    pub(super) async fn addresses(
        &self,
        http: &Http,
        end: Instant,
    ) -> Result<Vec<Arc<str>>, ClientError> {
        // The lock is held while asking, so that requests at the same time ask once.
        let late = || ClientError::anywhere(ErrorKind::DeadlineExceeded, Step::Discover);
        let mut cache = timeout_at(end, self.cache.lock())
            .await
            .map_err(|_| late())?;
        if !cache.addresses.is_empty() && cache.expires.is_some_and(|end| Instant::now() < end) {
            return Ok(cache.addresses.clone());
        }
        loop {
            let seeds = self
                .seeds
                .iter()
                .cycle()
                .skip(cache.seed)
                .take(self.seeds.len());
            let asked: Vec<Arc<str>> = cache.addresses.iter().chain(seeds).cloned().collect();
            let mut last = None;
            for peer in asked {
                let now = Instant::now();
                if now >= end {
                    break;
                }
                match self.ask(http, &peer, end.min(now + DISCOVER_TIMEOUT)).await {
                    Ok(answer) if !answer.addresses.is_empty() => {
                        cache.addresses =
                            answer.addresses.iter().map(|a| a.as_str().into()).collect();
                        cache.expires = Some(now + Duration::from_millis(answer.lifetime_ms));
                        return Ok(cache.addresses.clone());
                    }
                    Ok(_) => {
                        let kind =
                            ErrorKind::InvalidAnswer("the list of addresses is empty".into());
                        last = Some(ClientError::new(kind, Step::Discover, &peer));
                    }
                    Err(fault) => last = Some(fault),
                }
            }
            cache.addresses.clear();
            cache.seed = (cache.seed + 1) % self.seeds.len();
            if Instant::now() + DISCOVER_PAUSE >= end {
                return Err(last.unwrap_or_else(late));
            }
            sleep(DISCOVER_PAUSE).await;
        }
    }

    async fn ask(&self, http: &Http, peer: &str, end: Instant) -> Result<Addresses, ClientError> {
        let call = Call {
            step: Step::Discover,
            peer,
            method: Method::GET,
            path: &self.path,
            key: None,
            body: Bytes::new(),
            end,
        };
        http.send(call).await
    }

    /// Moves an address that failed behind the others.
    pub(super) async fn demote(&self, peer: &str) {
        let mut cache = self.cache.lock().await;
        cache.addresses.sort_by_key(|address| &**address == peer);
    }

    /// Drops the cached addresses after all of them failed.
    pub(super) async fn forget(&self) {
        let mut cache = self.cache.lock().await;
        cache.addresses.clear();
        cache.expires = None;
    }
}

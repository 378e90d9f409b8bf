use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::sync::{Notify, mpsc::UnboundedSender};

use crate::{
    adapter::upstream::{
        PoolSettings, Ports,
        leaf::{Batch, Leaf},
        wire::Template,
    },
    core::{
        LeafId, PartitionId, ServiceName,
        call::{LeafBatch, LeafReply, LeafStatus, NotRun, Outcome},
        config::{ConfigView, DomainList, LeafInfo, ServiceMap},
        crash::{CrashLedger, Verdict},
        leaf::TicketId,
    },
};

/// Interval at which [`LeafPool::drain`] checks for remaining calls.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State of one leaf, for operators.
#[derive(Clone, Debug)]
pub struct LeafState {
    pub leaf: LeafId,
    pub status: LeafStatus,
    /// Calls that may be running on the leaf.
    pub in_flight: usize,
    /// Calls currently allowed in flight.
    pub limit: u16,
    /// Connections, including those being opened and a silent one.
    pub connections: usize,
    /// The 95th percentile of recent service times, microseconds.
    pub p95: u32,
}

#[derive(Debug, Default)]
struct ActiveConfig {
    maps: BTreeMap<ServiceName, Arc<ServiceMap>>,
    domains: DomainList,
}

impl ActiveConfig {
    /// Returns the configuration of a leaf. A leaf in a failure domain that was taken out counts as leaving.
    fn leaf(&self, service: &ServiceName, leaf: &LeafId) -> Option<LeafInfo> {
        let info = self.maps.get(service)?.leaves.get(leaf)?;
        let mut info = info.clone();
        info.leaving |= self.domains.out.contains(&info.domain);
        Some(info)
    }
}

#[derive(Debug)]
struct LeafEntry<P> {
    leaf: Arc<Leaf<P>>,
    service: ServiceName,
}

/// The connections to the leaves whose partitions this node owns, and the load control of each leaf.
///
/// There is one pool per node. A leaf is added at its first call and removed a few seconds after the lease of its
/// partition is lost.
#[derive(Debug)]
pub struct LeafPool<P: Ports> {
    ports: Arc<P>,
    settings: PoolSettings,
    config: RwLock<Arc<ActiveConfig>>,
    leaves: RwLock<HashMap<LeafId, LeafEntry<P>>>,
}

impl<P: Ports> LeafPool<P> {
    /// Creates a pool without leaves; [`Self::update`] sets them.
    pub fn new(ports: Arc<P>, settings: PoolSettings) -> Self {
        Self {
            ports,
            settings,
            config: RwLock::default(),
            leaves: RwLock::default(),
        }
    }

    /// Applies a new view of the configuration.
    pub fn update(&self, view: &ConfigView) {
        let config = Arc::new(ActiveConfig {
            maps: view.maps.clone(),
            domains: view.domains.clone(),
        });
        let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config.clone();
        leaves.retain(|_, entry| !entry.leaf.is_removed());
        for (id, entry) in &*leaves {
            let info = config.leaf(&entry.service, id);
            // A leaf that moved to another failure domain belongs to another partition: it is removed and added anew.
            let info = info.filter(|info| info.domain == entry.leaf.partition().domain);
            entry.leaf.update(info.as_ref());
        }
    }

    /// Starts the calls of a batch. Exactly one reply per call is sent, so the channel needs no bound.
    ///
    /// Must be called within a tokio runtime.
    pub fn start(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) -> BatchHandle<P> {
        let fingerprint = CrashLedger::fingerprint(&batch.service, &batch.text);
        let verdict = self.ports.verdict(fingerprint);
        let shared = Arc::new(Batch {
            template: Template::new(&batch),
            fingerprint,
            deadline: self.ports.now() + Duration::from_micros(batch.budget),
            replies,
            remaining: AtomicUsize::new(batch.calls.len()),
            finished: Notify::new(),
        });
        let reject = |index: u32, reason: NotRun| {
            shared.reply(index, Outcome::NotRun(reason), LeafStatus::default());
            None
        };
        let calls = (0..).zip(batch.calls).map(|(index, call)| {
            if verdict == Verdict::Quarantined {
                return reject(index, NotRun::Quarantined);
            }
            match self.leaf_for_call(&batch.service, &call.leaf) {
                Ok(leaf) => {
                    let alone = call.alone || verdict == Verdict::Suspect;
                    let ticket = leaf.enqueue(&shared, index, call, alone)?;
                    Some((leaf, ticket))
                }
                Err(reason) => reject(index, reason),
            }
        });
        let calls = calls.collect();
        BatchHandle {
            batch: shared,
            calls,
        }
    }

    /// Runs a batch until every call has its reply. Dropping the future cancels the remaining calls.
    pub async fn run(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) {
        self.start(batch, replies).finished().await;
    }

    /// Returns the status of a leaf, `None` if it had no call.
    pub fn status(&self, leaf: &LeafId) -> Option<LeafStatus> {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        leaves.get(leaf).map(|entry| entry.leaf.status())
    }

    /// Returns the state of all leaves that had calls, for operators.
    pub fn states(&self) -> Vec<LeafState> {
        self.all_leaves().iter().map(|leaf| leaf.state()).collect()
    }

    /// Returns the number of calls of a partition that are queued or may be running. It must be zero before the lease
    /// of the partition is released.
    pub fn open_calls(&self, partition: &PartitionId) -> usize {
        let mut leaves = self.all_leaves();
        leaves.retain(|leaf| leaf.partition() == partition);
        leaves.iter().map(|leaf| leaf.open_calls()).sum()
    }

    /// Waits until no call is queued or may be running. New calls are still accepted, so the sender must stop first.
    pub async fn drain(&self) {
        while self.all_leaves().iter().any(|leaf| leaf.open_calls() > 0) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn all_leaves(&self) -> Vec<Arc<Leaf<P>>> {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        leaves.values().map(|entry| entry.leaf.clone()).collect()
    }

    fn leaf_for_call(&self, service: &ServiceName, id: &LeafId) -> Result<Arc<Leaf<P>>, NotRun> {
        {
            let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(entry) = leaves.get(id)
                && entry.service == *service
                && !entry.leaf.is_removed()
            {
                return Ok(entry.leaf.clone());
            }
        }
        let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = leaves.get(id)
            && !entry.leaf.is_removed()
        {
            let same_service = entry.service == *service;
            return same_service
                .then(|| entry.leaf.clone())
                .ok_or(NotRun::UnknownLeaf);
        }
        let config = self
            .config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let info = config.leaf(service, id).ok_or(NotRun::UnknownLeaf)?;
        let partition = PartitionId::of(id, &info.domain, self.settings.partitions);
        if self.ports.lease_end(&partition).is_none() {
            let holder = self.ports.holder(&partition);
            return Err(NotRun::NotOwner { holder });
        }
        let leaf = Leaf::start(id.clone(), &info, self.ports.clone(), self.settings.clone())
            .ok_or(NotRun::UnknownLeaf)?;
        let entry = LeafEntry {
            leaf: leaf.clone(),
            service: service.clone(),
        };
        leaves.insert(id.clone(), entry);
        Ok(leaf)
    }
}

impl<P: Ports> Drop for LeafPool<P> {
    fn drop(&mut self) {
        for leaf in self.all_leaves() {
            leaf.remove();
        }
    }
}

/// The calls of one batch. Dropping it cancels the remaining ones.
#[derive(Debug)]
pub struct BatchHandle<P: Ports> {
    batch: Arc<Batch>,
    calls: Vec<Option<(Arc<Leaf<P>>, TicketId)>>,
}

impl<P: Ports> BatchHandle<P> {
    /// Cancels one call; its reply is [`NotRun::TooLate`] if it was not sent yet, else `Failed(Cancelled)`.
    pub fn cancel(&self, index: u32) {
        if let Some(Some((leaf, ticket))) = self.calls.get(index as usize) {
            leaf.cancel(*ticket);
        }
    }

    /// Waits until every call has its reply.
    pub async fn finished(&self) {
        loop {
            let finished = self.batch.finished.notified();
            if self.batch.remaining.load(Ordering::Acquire) == 0 {
                return;
            }
            finished.await;
        }
    }
}

impl<P: Ports> Drop for BatchHandle<P> {
    fn drop(&mut self) {
        if self.batch.remaining.load(Ordering::Acquire) > 0 {
            for (leaf, ticket) in self.calls.iter().flatten() {
                leaf.cancel(*ticket);
            }
        }
    }
}

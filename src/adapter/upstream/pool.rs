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

/// How often [`LeafPool::drain`] looks whether calls are left.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// What the operator's view shows about one leaf.
#[derive(Clone, Debug)]
pub struct LeafState {
    pub leaf: LeafId,
    pub status: LeafStatus,
    /// Calls that may be running on the leaf.
    pub in_flight: usize,
    /// Calls allowed in flight now.
    pub limit: u16,
    /// Connections, with those being opened and a silent one.
    pub connections: usize,
    /// The 95th percentile of recent service times, microseconds.
    pub p95: u32,
}

#[derive(Debug, Default)]
struct Published {
    maps: BTreeMap<ServiceName, Arc<ServiceMap>>,
    domains: DomainList,
}

impl Published {
    /// Returns the values of a leaf; one in a failure domain that was taken out is leaving.
    fn leaf(&self, service: &ServiceName, leaf: &LeafId) -> Option<LeafInfo> {
        let info = self.maps.get(service)?.leaves.get(leaf)?;
        let mut info = info.clone();
        info.leaving |= self.domains.out.contains(&info.domain);
        Some(info)
    }
}

#[derive(Debug)]
struct Entry<P> {
    leaf: Arc<Leaf<P>>,
    service: ServiceName,
}

/// The connections to the leaves whose partitions this node owns, and the load control of each leaf.
///
/// There is one pool per node. A leaf is set up at its first call and dropped a few seconds after the lease of its
/// partition is lost.
#[derive(Debug)]
pub struct LeafPool<P: Ports> {
    ports: Arc<P>,
    settings: PoolSettings,
    published: RwLock<Arc<Published>>,
    leaves: RwLock<HashMap<LeafId, Entry<P>>>,
}

impl<P: Ports> LeafPool<P> {
    /// Creates a pool without leaves; [`Self::update`] tells it about them.
    pub fn new(ports: Arc<P>, settings: PoolSettings) -> Self {
        Self {
            ports,
            settings,
            published: RwLock::default(),
            leaves: RwLock::default(),
        }
    }

    /// Takes over a new view of the configuration.
    pub fn update(&self, view: &ConfigView) {
        let published = Arc::new(Published {
            maps: view.maps.clone(),
            domains: view.domains.clone(),
        });
        let mut leaves = self.leaves.write().unwrap_or_else(PoisonError::into_inner);
        *self
            .published
            .write()
            .unwrap_or_else(PoisonError::into_inner) = published.clone();
        leaves.retain(|_, entry| !entry.leaf.is_removed());
        for (id, entry) in &*leaves {
            let info = published.leaf(&entry.service, id);
            // A leaf that moved to another failure domain belongs to another partition: it starts over.
            let info = info.filter(|info| info.domain == entry.leaf.partition().domain);
            entry.leaf.update(info.as_ref());
        }
    }

    /// Starts the calls of a batch. Exactly one reply per call is sent, so the channel needs no bound.
    ///
    /// Must be called within a tokio runtime.
    pub fn start(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) -> BatchHandle<P> {
        let print = CrashLedger::fingerprint(&batch.service, &batch.text);
        let verdict = self.ports.verdict(print);
        let shared = Arc::new(Batch {
            template: Template::new(&batch),
            print,
            deadline: self.ports.now() + Duration::from_micros(batch.budget),
            replies,
            left: AtomicUsize::new(batch.calls.len()),
            done: Notify::new(),
        });
        let refuse = |index: u32, reason: NotRun| {
            shared.reply(index, Outcome::NotRun(reason), LeafStatus::default());
            None
        };
        let calls = (0..).zip(batch.calls).map(|(index, call)| {
            if verdict == Verdict::Quarantined {
                return refuse(index, NotRun::Quarantined);
            }
            match self.leaf(&batch.service, &call.leaf) {
                Ok(leaf) => {
                    let alone = call.alone || verdict == Verdict::Suspect;
                    let ticket = leaf.offer(&shared, index, call, alone)?;
                    Some((leaf, ticket))
                }
                Err(reason) => refuse(index, reason),
            }
        });
        let calls = calls.collect();
        BatchHandle {
            batch: shared,
            calls,
        }
    }

    /// Runs a batch until every call has its reply. Dropping the future cancels the calls that are left.
    pub async fn run(&self, batch: LeafBatch, replies: UnboundedSender<LeafReply>) {
        self.start(batch, replies).finished().await;
    }

    /// Returns what is known about one leaf, `None` if it had no call.
    pub fn status(&self, leaf: &LeafId) -> Option<LeafStatus> {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        leaves.get(leaf).map(|entry| entry.leaf.status())
    }

    /// Returns the state of all leaves that had calls, for the operator's view.
    pub fn states(&self) -> Vec<LeafState> {
        self.all().iter().map(|leaf| leaf.state()).collect()
    }

    /// Returns the calls of a partition that are queued or may be running, to be zero before its lease is released.
    pub fn in_flight(&self, partition: &PartitionId) -> usize {
        let mut all = self.all();
        all.retain(|leaf| leaf.partition() == partition);
        all.iter().map(|leaf| leaf.busy()).sum()
    }

    /// Waits until no call is queued or may be running. New calls are still accepted: whoever drains stops sending.
    pub async fn drain(&self) {
        while self.all().iter().any(|leaf| leaf.busy() > 0) {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn all(&self) -> Vec<Arc<Leaf<P>>> {
        let leaves = self.leaves.read().unwrap_or_else(PoisonError::into_inner);
        leaves.values().map(|entry| entry.leaf.clone()).collect()
    }

    fn leaf(&self, service: &ServiceName, id: &LeafId) -> Result<Arc<Leaf<P>>, NotRun> {
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
            let same = entry.service == *service;
            return same.then(|| entry.leaf.clone()).ok_or(NotRun::UnknownLeaf);
        }
        let published = self
            .published
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let info = published.leaf(service, id).ok_or(NotRun::UnknownLeaf)?;
        let partition = PartitionId::of(id, &info.domain, self.settings.partitions);
        if self.ports.lease_end(&partition).is_none() {
            let holder = self.ports.holder(&partition);
            return Err(NotRun::NotOwner { holder });
        }
        let leaf = Leaf::start(id.clone(), &info, self.ports.clone(), self.settings.clone())
            .ok_or(NotRun::UnknownLeaf)?;
        let entry = Entry {
            leaf: leaf.clone(),
            service: service.clone(),
        };
        leaves.insert(id.clone(), entry);
        Ok(leaf)
    }
}

impl<P: Ports> Drop for LeafPool<P> {
    fn drop(&mut self) {
        for leaf in self.all() {
            leaf.remove();
        }
    }
}

/// The calls of one batch. Dropping it cancels those that are left.
#[derive(Debug)]
pub struct BatchHandle<P: Ports> {
    batch: Arc<Batch>,
    calls: Vec<Option<(Arc<Leaf<P>>, TicketId)>>,
}

impl<P: Ports> BatchHandle<P> {
    /// Cancels one call; its reply is [`NotRun::TooLate`] if it was queued, else `Failed(Cancelled)`.
    pub fn cancel(&self, index: u32) {
        if let Some(Some((leaf, ticket))) = self.calls.get(index as usize) {
            leaf.cancel(*ticket);
        }
    }

    /// Waits until every call has its reply.
    pub async fn finished(&self) {
        loop {
            let done = self.batch.done.notified();
            if self.batch.left.load(Ordering::Acquire) == 0 {
                return;
            }
            done.await;
        }
    }
}

impl<P: Ports> Drop for BatchHandle<P> {
    fn drop(&mut self) {
        if self.batch.left.load(Ordering::Acquire) > 0 {
            for (leaf, ticket) in self.calls.iter().flatten() {
                leaf.cancel(*ticket);
            }
        }
    }
}

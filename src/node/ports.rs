use std::{
    io,
    sync::{Arc, Mutex},
};

use tokio::{net::TcpStream, sync::mpsc};

use crate::{
    adapter::{
        Clock,
        upstream::{Ports, connect_tcp},
    },
    core::{
        LeafId, NodeId, PartitionId, Time,
        crash::{CrashEvent, CrashLedger, Fingerprint, Verdict},
        lease::LeaseTable,
    },
};

/// Gives the leaf pool access to the clock, the leases and the crash ledger of its node.
#[derive(Debug)]
pub(super) struct NodePorts {
    pub(super) clock: Clock,
    pub(super) leases: Arc<Mutex<LeaseTable>>,
    pub(super) crash: Arc<Mutex<CrashLedger>>,
    /// Crash events to send to the other nodes.
    pub(super) crashes: mpsc::UnboundedSender<CrashEvent>,
}

impl Ports for NodePorts {
    type Io = TcpStream;

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn lease_end(&self, partition: &PartitionId) -> Option<Time> {
        self.leases
            .lock()
            .expect("no panic while locked")
            .expiry(self.clock.now(), partition)
    }

    fn holder(&self, partition: &PartitionId) -> Option<NodeId> {
        self.leases
            .lock()
            .expect("no panic while locked")
            .holder_hint(self.clock.now(), partition)
    }

    fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        self.crash
            .lock()
            .expect("no panic while locked")
            .verdict(self.clock.now(), fingerprint)
    }

    fn record_safe_run(&self, fingerprint: Fingerprint) {
        self.crash
            .lock()
            .expect("no panic while locked")
            .record_success(self.clock.now(), fingerprint, true);
    }

    fn record_crash(&self, event: CrashEvent) {
        let new = self
            .crash
            .lock()
            .expect("no panic while locked")
            .record_crash(self.clock.now(), event.clone());
        if new {
            let _ = self.crashes.send(event);
        }
    }

    async fn connect(&self, leaf: &LeafId) -> io::Result<TcpStream> {
        connect_tcp(leaf).await
    }
}

use rand_pcg::Pcg64;

use crate::core::{
    ServiceName, Time,
    crash::{CrashLedger, Verdict},
    query::{CrashView, ExtraCallBudget, HealthSettings, LeafHealth},
};

/// State that an entry node shares between the queries of a service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) health: LeafHealth,
    pub(super) budget: ExtraCallBudget,
    pub(super) rng: Pcg64,
}

impl ServiceState {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            health: LeafHealth::new(HealthSettings::default()),
            budget: ExtraCallBudget::new(),
            rng: Pcg64::new(u128::from(seed), u128::from(seed) << 1 | 1),
        }
    }
}

/// Access to the crash ledger for a query plan.
pub(super) struct CrashLedgerView<'a>(pub(super) &'a CrashLedger);

impl CrashView for CrashLedgerView<'_> {
    fn verdict(&self, now: Time, service: &ServiceName, text: &str) -> Verdict {
        self.0.verdict(now, CrashLedger::fingerprint(service, text))
    }
}

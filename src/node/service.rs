use rand_pcg::Pcg64;

use crate::core::{
    ServiceName, Time,
    crash::{self, CrashLedger},
    query::{CrashView, HealthSettings, HedgeBudget, LeafHealth, Verdict},
};

/// What an entry node shares between the queries of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) health: LeafHealth,
    pub(super) budget: HedgeBudget,
    pub(super) rng: Pcg64,
}

impl ServiceState {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            health: LeafHealth::new(HealthSettings::default()),
            budget: HedgeBudget::new(),
            rng: Pcg64::new(u128::from(seed), u128::from(seed) << 1 | 1),
        }
    }
}

/// The crash ledger as a query plan sees it.
pub(super) struct Ledger<'a>(pub(super) &'a CrashLedger);

impl CrashView for Ledger<'_> {
    fn verdict(&self, now: Time, service: &ServiceName, text: &str) -> Verdict {
        match self.0.verdict(now, CrashLedger::fingerprint(service, text)) {
            crash::Verdict::Fresh => Verdict::Fresh,
            crash::Verdict::Known => Verdict::Known,
            crash::Verdict::Suspect => Verdict::Suspect,
            crash::Verdict::Quarantined => Verdict::Quarantined,
        }
    }
}

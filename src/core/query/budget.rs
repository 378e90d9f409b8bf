/// Tokens in a new budget: enough to retry the first failures after a node starts.
const INITIAL_TOKENS: f64 = 5.0;
/// Number of tokens that may always accumulate; with more, a quiet period would pay for a burst of extra calls.
const BASE_CAPACITY: f64 = 10.0;
/// Number of queries whose earned tokens may accumulate on top of [`BASE_CAPACITY`], so that one query over many
/// shards can use its whole share of hedges.
const CAPACITY_QUERIES: f64 = 4.0;

/// Factor by which the capacity decays with each query; it never falls below the capacity computed for that query.
const CAPACITY_DECAY: f64 = 0.99;

/// A token bucket that limits the hedges and retries of one service on one entry node.
///
/// Each normal call adds a fraction of a token, so in the long run extra calls stay below that fraction of the
/// normal calls, regardless of failures.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    tokens: f64,
    /// Number of tokens that may accumulate; depends on the size of recent queries.
    capacity: f64,
}

impl ExtraCallBudget {
    /// Creates a budget with the initial tokens.
    pub fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
            capacity: BASE_CAPACITY,
        }
    }

    /// Adds the tokens earned by the `calls` normal calls of one query, with `percent` extra calls allowed.
    pub fn earn(&mut self, calls: u32, percent: f64) {
        let earned = f64::from(calls) * percent / 100.0;
        let capacity = BASE_CAPACITY + CAPACITY_QUERIES * earned;
        self.capacity = capacity.max(self.capacity * CAPACITY_DECAY);
        self.tokens = (self.tokens + earned).min(self.capacity.max(self.tokens));
    }

    /// Takes one token if at least one is left, and returns whether it did.
    pub fn spend(&mut self) -> bool {
        self.borrow(1)
    }

    /// Takes `tokens` if at least one is left, and returns whether it did; the balance may become negative.
    ///
    /// The restart of a query over many shards costs more than the capacity. The debt preserves the long-term limit:
    /// no further extra call is allowed until it has been earned back.
    pub fn borrow(&mut self, tokens: u32) -> bool {
        let paid = tokens == 0 || self.tokens >= 1.0;
        if paid {
            self.tokens -= f64::from(tokens);
        }
        paid
    }

    /// Puts back the token of an extra call that did not run.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the tokens left as a share of the capacity, 0 to 1.
    pub fn fill_ratio(&self) -> f64 {
        (self.tokens / self.capacity).clamp(0.0, 1.0)
    }

    /// Returns the number of tokens left, negative when in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

impl Default for ExtraCallBudget {
    fn default() -> Self {
        Self::new()
    }
}

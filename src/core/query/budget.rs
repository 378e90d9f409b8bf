/// Most tokens held, so that a quiet time does not save up for a burst of extra calls.
const MOST_TOKENS: f64 = 20.0;

/// Tokens that pay for hedges and retries of one service on one entry node.
#[derive(Clone, Debug, Default)]
pub struct HedgeBudget {
    tokens: f64,
}

impl HedgeBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds what `calls` normal calls earn at `percent` extra calls.
    pub fn earn(&mut self, calls: u32, percent: f64) {
        self.tokens = (self.tokens + f64::from(calls) * percent / 100.0).min(MOST_TOKENS);
    }

    /// Takes one token and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let paid = self.tokens >= 1.0;
        if paid {
            self.tokens -= 1.0;
        }
        paid
    }

    /// Returns the tokens left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

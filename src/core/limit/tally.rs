/// Numbers of calls to one leaf since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// First calls of requests.
    pub first: u32,
    /// Retries and hedged calls.
    pub extra: u32,
}

impl Tally {
    /// Counts a call.
    pub fn record(&mut self, is_extra: bool) {
        if is_extra {
            self.extra += 1;
        } else {
            self.first += 1;
        }
    }
}

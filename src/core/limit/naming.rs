/// What an answer of a leaf says about the leaf's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Naming {
    /// The leaf names no limit.
    #[default]
    Unlimited,
    /// The leaf takes this number of requests per second from all nodes together; finite and not negative.
    Limited(f64),
    /// The leaf names a limit that cannot be read.
    Unreadable,
}

impl Naming {
    /// Reads the values of all limit headers of one answer. The lowest one that can be read counts.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut named = values.flat_map(|value| value.split(',')).peekable();
        if named.peek().is_none() {
            return Self::Unlimited;
        }
        named
            .filter_map(|text| text.trim().parse().ok())
            .filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
            .min_by(f64::total_cmp)
            .map_or(Self::Unreadable, Self::Limited)
    }
}

/// Smooth weighted round robin: distributes requests among weighted targets with minimum deviation from the weights.
///
/// After `n` requests, the number of requests to each target is within one of its share of `n`. Random selection does
/// not achieve this in short windows.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the target of the next request; 0 if all weights are zero.
    pub fn next(&mut self, weights: impl ExactSizeIterator<Item = f64>) -> usize {
        self.credit.resize(weights.len(), 0.0);
        let mut total = 0.0;
        for (credit, weight) in self.credit.iter_mut().zip(weights) {
            let weight = weight.max(0.0);
            *credit += weight;
            total += weight;
        }
        let best = (0..self.credit.len())
            .max_by(|a, b| self.credit[*a].total_cmp(&self.credit[*b]))
            .unwrap_or(0);
        if let Some(credit) = self.credit.get_mut(best) {
            *credit -= total;
        }
        best
    }
}

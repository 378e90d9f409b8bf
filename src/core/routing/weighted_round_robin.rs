/// Distributes requests among weighted parts with the least deviation from the weights.
///
/// Smooth weighted round robin: after `n` requests each part has had its share of `n` within one request, which
/// random choice does not give in short windows.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    credit: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Returns the index of the part that gets the next request; 0 when all weights are zero.
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

//! Flows that level the differences of targets from their mean.

/// An amount that one target gives to another, both by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Flow {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) amount: f64,
}

/// Returns flows that level differences from the mean, the largest ones first.
/// They depend only on the differences, so that all VMs compute the same ones.
pub(super) fn flows(differences: &[f64]) -> Vec<Flow> {
    let side = |sign: f64| {
        let parts = differences.iter().enumerate().map(|(at, amount)| (at, amount * sign));
        let mut parts: Vec<(usize, f64)> = parts.filter(|(_, amount)| *amount > 0.0).collect();
        parts.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        parts
    };
    let (sources, mut sinks) = (side(1.0), side(-1.0).into_iter().peekable());
    let mut flows = Vec::new();
    for (from, mut remaining) in sources {
        while remaining > 0.0 {
            let Some((to, need)) = sinks.peek_mut() else { return flows };
            let amount = remaining.min(*need);
            flows.push(Flow { from, to: *to, amount });
            remaining -= amount;
            *need -= amount;
            if *need <= 0.0 {
                sinks.next();
            }
        }
    }
    flows
}

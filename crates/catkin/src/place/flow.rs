//! Flows from what is above the mean to what is below it.

/// An amount that one place gives to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Flow {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) amount: f64,
}

/// Levels differences from the mean, the largest first. The result depends
/// only on the differences, so that all VMs find the same flows.
pub(super) fn flows(differences: &[f64]) -> Vec<Flow> {
    let side = |sign: f64| {
        let parts = differences.iter().enumerate().map(|(at, amount)| (at, amount * sign));
        let mut parts: Vec<(usize, f64)> = parts.filter(|(_, amount)| *amount > 0.0).collect();
        parts.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        parts
    };
    let (sources, mut sinks) = (side(1.0), side(-1.0).into_iter().peekable());
    let mut flows = Vec::new();
    for (from, mut left) in sources {
        while left > 0.0 {
            let Some((to, need)) = sinks.peek_mut() else { return flows };
            let amount = left.min(*need);
            flows.push(Flow { from, to: *to, amount });
            left -= amount;
            *need -= amount;
            if *need <= 0.0 {
                sinks.next();
            }
        }
    }
    flows
}

/// Returns the largest number of places that each customer may have so that all together have no
/// more than `room`; infinite if there is room for all. What one does not want goes to the others.
pub(super) fn fair_level(mut wanted: Vec<f64>, room: f64) -> f64 {
    wanted.sort_unstable_by(f64::total_cmp);
    let mut left = room;
    let count = wanted.len();
    for (index, wanted) in wanted.into_iter().enumerate() {
        let level = left / (count - index) as f64;
        // Sums of the same weights in another order may differ in the last bits.
        if wanted > level * (1.0 + 1e-6) {
            return level;
        }
        left -= wanted;
    }
    f64::INFINITY
}

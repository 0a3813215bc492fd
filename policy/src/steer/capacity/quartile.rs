/// Fraction of the values below the estimate.
const FRACTION: f64 = 0.25;

/// Change of the logarithm of the estimate by one value: at first, and at least.
const STEPS: (f64, f64) = (0.3, 0.04);

/// Values after which the estimate is used.
const MIN_VALUES: u32 = 20;

/// Running estimate of the value that a quarter of the values lie below. Answers that are slow for
/// other reasons than the load, such as cache misses, are among the slower ones, and do not move it
/// while they are fewer than three quarters.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::Quartile;
///
/// let mut quartile = Quartile::default();
/// (0..200).for_each(|number| quartile.record(if number % 2 == 0 { 1.0 } else { 9.0 }));
/// assert!((0.8..1.2).contains(&quartile.value().unwrap()));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quartile {
    log_value: f64,
    values: u32,
}

impl Quartile {
    /// Returns the estimate, once there are enough values.
    pub fn value(&self) -> Option<f64> {
        (self.values >= MIN_VALUES).then(|| self.log_value.exp())
    }

    /// Records a value above 0.
    pub fn record(&mut self, value: f64) {
        let log_value = value.max(f64::MIN_POSITIVE).ln();
        self.values = self.values.saturating_add(1);
        if self.values == 1 {
            self.log_value = log_value;
            return;
        }
        let (first, least) = STEPS;
        let step = (first / f64::from(self.values).sqrt()).max(least);
        self.log_value += match log_value < self.log_value {
            true => step * (FRACTION - 1.0),
            false => step * FRACTION,
        };
    }
}

/// Part of the system's retries that one instance may spend by itself: a share of its own
/// requests, and its part of the fixed slack. The sum over all instances stays within the bound
/// without any message.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::RetryShare;
///
/// let mut share = RetryShare::new(0.5, 1.0);
/// assert!(share.spend());
/// assert!(!share.spend());
/// share.earn();
/// share.earn();
/// assert!(share.spend());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryShare {
    per_request: f64,
    most: f64,
    held: f64,
}

impl RetryShare {
    /// Returns a share that earns `per_request` retries a request and holds `most` at most.
    pub fn new(per_request: f64, most: f64) -> Self {
        Self {
            per_request,
            most,
            held: most,
        }
    }

    /// Changes the part of the slack, when the number of instances changes.
    pub fn resize(&mut self, most: f64) {
        self.most = most;
        self.held = self.held.min(most);
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.held = (self.held + self.per_request).min(self.most);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let may = self.held >= 1.0;
        if may {
            self.held -= 1.0;
        }
        may
    }
}

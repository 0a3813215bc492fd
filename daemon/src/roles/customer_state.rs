use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_control::since_boot;
use laburnumdeal_model::Version;
use laburnumdeal_policy::customers::{
    BootTime, FairClass, FairCustomer, FairRefusal, FairShares, FairStanding, KeyLease, LeaseLost,
    QuotaDecision, QuotaLimit, QuotaRefusal, QuotaShares, QuotaStanding,
};
use laburnumdeal_policy::steer::Places;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use crate::roles::NodeSettings;
use crate::roles::customer_message::{CustomerReply, CustomerRequest};

/// Longest wait of a request for an answer of the leader.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Part of the time until withdrawn keys have to be out of use for which a proof holds. The rest is
/// for clocks that run at different rates.
const LEASE_FRACTION: f64 = 0.8;

/// What an entry instance knows of customers: the proof that its keys are fresh, its shares of quotas
/// over all instances, and the fair shares in the places that it gets itself.
pub struct CustomerState {
    /// Whether the active configuration has customers.
    is_configured: AtomicBool,
    /// Lease on the keys; `None` if withdrawn keys need not be out of use by a time.
    lease: Option<Mutex<KeyLease>>,
    shares: Mutex<QuotaShares>,
    fair: Mutex<FairShares>,
    /// Number of answers so far.
    answers: watch::Sender<u64>,
    /// Notified when a request waits for a share.
    needed: Notify,
}

impl CustomerState {
    /// Creates the state of an entry instance that starts now.
    pub fn new(settings: &NodeSettings) -> Self {
        let lease = settings.revoke_ms.map(|revoke_ms| {
            let bound = Duration::from_millis(revoke_ms).mul_f64(LEASE_FRACTION);
            Mutex::new(KeyLease::new(bound))
        });
        let quotas = settings.quota_settings();
        let shares = QuotaShares::new(&settings.instance, rand::random(), quotas, now());
        Self {
            is_configured: AtomicBool::new(false),
            lease,
            shares: Mutex::new(shares),
            fair: Mutex::default(),
            answers: watch::Sender::new(0),
            needed: Notify::new(),
        }
    }

    /// Sets whether the active configuration has customers. Without, nothing is asked.
    pub fn set_configured(&self, is_configured: bool) {
        if !self.is_configured.swap(is_configured, Ordering::Relaxed) && is_configured {
            self.needed.notify_one();
        }
    }

    /// Returns whether the active configuration has customers.
    pub fn is_configured(&self) -> bool {
        self.is_configured.load(Ordering::Relaxed)
    }

    /// Checks that the keys of the active configuration may be used, for a request that has just
    /// arrived. The bound is on the time at which a request is sent, so that one is enough.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseLost`] with the age of the last proof.
    pub fn check_lease(&self, active: Version) -> Result<(), LeaseLost> {
        match &self.lease {
            Some(lease) => lock(lease).check(active, now()),
            None => Ok(()),
        }
    }

    /// Admits a request of a customer with a limit, if need be after asking for a larger share.
    /// Returns when it was admitted; `None` if the customer has no limit. Once admitted it counts
    /// until it is [given back](Self::give_back).
    ///
    /// # Errors
    ///
    /// Returns [`QuotaRefusal`] if the customer is over its limit, or no share came in time.
    pub async fn admit(
        &self,
        customer: &str,
        limit: QuotaLimit,
    ) -> Result<Option<BootTime>, QuotaRefusal> {
        if limit.is_unlimited() {
            return Ok(None);
        }
        let deadline = Instant::now() + MAX_WAIT;
        let mut answers = self.answers.subscribe();
        let arrived_at = self.add_arrival(customer, limit);
        loop {
            answers.mark_unchanged();
            let (decision, decided_at) = self.decide(customer, arrived_at);
            match decision {
                QuotaDecision::Admitted => return Ok(Some(decided_at)),
                QuotaDecision::Refused(refusal) => return Err(refusal),
                QuotaDecision::Ask => self.needed.notify_one(),
            }
            if timeout_at(deadline, answers.changed()).await.is_err() {
                return Err(lock(&self.shares).unknown(customer, now()));
            }
        }
    }

    /// Gives back what a request took that was admitted at a time, and then did not run.
    pub fn give_back(&self, customer: &str, admitted_at: BootTime) {
        lock(&self.shares).give_back(customer, admitted_at);
    }

    /// Counts a request of a customer that is to be sent to an upstream; returns the places that it
    /// may take.
    pub(super) fn arrive(&self, class: FairClass, customer: FairCustomer) -> Places {
        lock(&self.fair).arrive(class, customer, now())
    }

    /// Counts a request that got a place; returns when.
    pub(super) fn take_place(&self, class: FairClass, customer: FairCustomer) -> BootTime {
        let now = now();
        lock(&self.fair).admit(class, customer, now);
        now
    }

    /// Gives back the place that a request got at a time, and then did not run.
    pub(super) fn give_place_back(
        &self,
        class: FairClass,
        customer: FairCustomer,
        admitted_at: BootTime,
    ) {
        lock(&self.fair).give_back(class, customer, admitted_at, now());
    }

    /// Notes that a request was refused for want of room.
    pub(super) fn run_short(&self, class: FairClass) {
        lock(&self.fair).run_short(class, now());
    }

    /// Refuses a request that may not take the place that there is.
    pub(super) fn refuse_place(
        &self,
        class: FairClass,
        customer: FairCustomer,
        places: Places,
    ) -> FairRefusal {
        lock(&self.fair).refuse(class, customer, places, now())
    }

    /// Returns the fair share of a customer; `None` without recent requests.
    pub(super) fn fair_standing(&self, customer: &str) -> Option<FairStanding> {
        lock(&self.fair).standing(FairCustomer::new(customer), now())
    }

    /// Returns what the instance has of the quota of a customer; `None` without recent requests.
    pub(super) fn quota_standing(&self, customer: &str) -> Option<QuotaStanding> {
        lock(&self.shares).standing(customer, now())
    }

    /// Returns the age of the newest proof that the keys of the active configuration are fresh;
    /// `None` if no lease is kept, and `Some(None)` without a proof.
    pub(super) fn proof_age(&self, active: Version) -> Option<Option<Duration>> {
        let lease = self.lease.as_ref()?;
        Some(lock(lease).proof_age(active, now()))
    }

    /// Makes the next question to the leader; returns it with the time of asking.
    pub fn begin_question(&self, version: Version) -> (BootTime, CustomerRequest) {
        let mut shares = lock(&self.shares);
        let asked_at = now();
        let (header, reports) = shares.begin_report(version, asked_at);
        let request = CustomerRequest {
            header,
            reports,
            is_relayed: false,
        };
        (asked_at, request)
    }

    /// Applies the answer to the question with a sequence number.
    pub fn apply(&self, (asked_at, sequence): (BootTime, u64), reply: &CustomerReply) {
        if let Some(lease) = &self.lease {
            lock(lease).record(asked_at, reply.version);
        }
        let (term, settled) = (reply.term, reply.is_settled);
        lock(&self.shares).finish_report(sequence, term, settled, &reply.grants);
        self.answers.send_modify(|count| *count += 1);
    }

    /// Returns whether the instance has anything to ask: it has customers, and needs proofs or
    /// holds shares.
    pub(super) fn has_questions(&self) -> bool {
        self.is_configured() && (self.lease.is_some() || !lock(&self.shares).is_empty())
    }

    /// Waits until a request waits for a share.
    pub(super) async fn needed(&self) {
        self.needed.notified().await;
    }

    // The clock is read under the lock, so that decisions are in the order of their times.
    fn add_arrival(&self, customer: &str, limit: QuotaLimit) -> BootTime {
        let mut shares = lock(&self.shares);
        let now = now();
        shares.add_arrival(customer, limit, now);
        now
    }

    fn decide(&self, customer: &str, arrived_at: BootTime) -> (QuotaDecision, BootTime) {
        let mut shares = lock(&self.shares);
        let now = now();
        (shares.decide(customer, arrived_at, now), now)
    }
}

/// Returns the time by the boot clock.
pub(super) fn now() -> BootTime {
    BootTime::from(since_boot())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

use std::sync::Mutex;

use laburnumdeal_control::LeaderProof;
use laburnumdeal_model::Version;
use laburnumdeal_policy::customers::{QuotaBank, QuotaSettings};

use crate::roles::customer_message::{CustomerReply, CustomerRequest};
use crate::roles::customer_state::now;

/// Answers the questions of entry instances on customers while this control instance leads the
/// change log.
pub(super) struct CustomerBank {
    bank: Mutex<QuotaBank>,
}

impl CustomerBank {
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            bank: Mutex::new(QuotaBank::new(settings)),
        }
    }

    /// Notes that this instance leads, also while nobody asks.
    pub fn lead(&self, proof: LeaderProof) {
        let now = now();
        let mut bank = self.bank.lock().expect("no holder panics");
        bank.lead(proof.term, proof.version == Version(0), now);
    }

    /// Answers a question. `proof` is called first, after the time is read: what the bank does
    /// counts from a moment at which the lease may still be valid. Returns `None` if this instance
    /// does not lead, or the question is older than another.
    pub fn answer(
        &self,
        request: &CustomerRequest,
        proof: impl FnOnce() -> Option<LeaderProof>,
        roster: impl FnOnce() -> Option<Vec<String>>,
    ) -> Option<CustomerReply> {
        let now = now();
        let proof = proof()?;
        let mut bank = self.bank.lock().expect("no holder panics");
        bank.lead(proof.term, proof.version == Version(0), now);
        if bank.term() != proof.term {
            return None;
        }
        let grants = bank.exchange(&request.header, &request.reports, roster, now)?;
        Some(CustomerReply {
            term: proof.term,
            version: proof.version,
            is_settled: bank.is_settled(),
            grants,
        })
    }
}

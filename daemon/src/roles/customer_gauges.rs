//! Sets the metrics that tell why requests of customers are refused here: quotas, fair shares, and the
//! lease on the keys. Customers that are not shown by name are summed.

use std::time::Duration;

use laburnumdeal_policy::customers::{FairStanding, QuotaStanding};

use crate::roles::entry_state::EntryState;
use crate::roles::node_metrics::{NodeMetrics, OTHER_CUSTOMERS};

/// Sets the metrics from the state of the instance; none without customers.
pub fn update(state: &EntryState) {
    let (active, metrics) = (state.active(), &state.metrics);
    metrics.clear_customers();
    let Some(configuration) = &active.configuration else {
        return;
    };
    if active.customers.is_empty() {
        return;
    }
    if let Some(age) = state.customers.proof_age(configuration.version) {
        metrics.set_key_proof_age(age.map_or(-1, as_ms));
    }
    let (mut other_quota, mut other_fair) = (None, None);
    for customer in active.customers.iter() {
        let quota = state.customers.quota_standing(&customer.name);
        let fair = state.customers.fair_standing(&customer.name);
        if customer.is_shown {
            set(metrics, &customer.name, quota, fair);
        } else {
            other_quota = [other_quota, quota]
                .into_iter()
                .flatten()
                .reduce(QuotaStanding::plus);
            other_fair = [other_fair, fair]
                .into_iter()
                .flatten()
                .reduce(FairStanding::plus);
        }
    }
    set(metrics, OTHER_CUSTOMERS, other_quota, other_fair);
}

fn set(
    metrics: &NodeMetrics,
    customer: &str,
    quota: Option<QuotaStanding>,
    fair: Option<FairStanding>,
) {
    if let Some(quota) = quota {
        let figures = [
            ("limit", quota.limit),
            ("share", quota.share),
            ("held", quota.held),
            ("wanted", quota.wanted),
        ];
        for (figure, requests) in figures {
            metrics.set_customer_quota(customer, figure, i64::from(requests));
        }
        metrics.set_customer_quota_age(customer, quota.age.map_or(-1, as_ms));
    }
    if let Some(fair) = fair {
        let figures = [
            ("share", fair.share_per_s),
            ("admitted", fair.admitted_per_s),
            ("wanted", fair.wanted_per_s),
        ];
        for (figure, per_s) in figures {
            metrics.set_customer_fair(customer, figure, per_s);
        }
        metrics.set_customer_fair_age(customer, as_ms(fair.age));
    }
}

fn as_ms(age: Duration) -> i64 {
    age.as_millis() as i64
}

//! Time to decide on a request by its customer's quota, to check the key lease, and to answer the
//! reports of one instance.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{
    BootTime, KeyLease, QuotaBank, QuotaGrant, QuotaLimit, QuotaReport, QuotaSettings, QuotaShares,
    ReportHeader,
};

/// 1,000 requests a second.
const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 1_000_000,
    burst: 0,
};

const CUSTOMERS: usize = 87;

fn name(number: usize) -> String {
    format!("customer-{number}")
}

/// Requests between two answers of the bank, 2 s of 50,000 a second.
const REQUESTS_PER_ANSWER: u32 = 100_000;

fn decide(criterion: &mut Criterion) {
    let customer = name(40);
    for (row, share) in [("decide/within", u32::MAX), ("decide/over", 0)] {
        let mut now = BootTime::from(Duration::from_secs(60));
        let mut shares = QuotaShares::new("entry-1", 1, QuotaSettings::default(), now);
        let mut requests = 0;
        criterion.bench_function(row, |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_micros(20);
                shares.add_arrival(&customer, LIMIT, now);
                if requests % REQUESTS_PER_ANSWER == 0 {
                    answer(&mut shares, &customer, share, now);
                }
                requests += 1;
                black_box(shares.decide(&customer, now, now))
            });
        });
    }
}

fn answer(shares: &mut QuotaShares, customer: &str, share: u32, now: BootTime) {
    for number in 0..CUSTOMERS {
        shares.add_arrival(&name(number), LIMIT, now);
    }
    let (header, _) = shares.begin_report(Version(1), now);
    let customer = customer.to_owned();
    let grants = [QuotaGrant { customer, share }];
    shares.finish_report(header.sequence, Term(1), true, &grants);
}

fn lease(criterion: &mut Criterion) {
    let mut lease = KeyLease::new(Duration::from_secs(4));
    let now = BootTime::from(Duration::from_secs(60));
    for version in 0..8 {
        lease.record(now + Duration::from_millis(version * 100), Version(version));
    }
    criterion.bench_function("lease/check", |bencher| {
        bencher.iter(|| black_box(lease.check(black_box(Version(5)), now)).is_ok());
    });
}

fn exchange(criterion: &mut Criterion) {
    let mut bank = QuotaBank::new(QuotaSettings::default());
    let mut now = BootTime::default();
    bank.lead(Term(1), true, now);
    let reports = (0..CUSTOMERS).map(|number| QuotaReport {
        customer: name(number),
        limit: LIMIT,
        share: 5,
        held: 5,
        wanted: 5,
    });
    let reports: Vec<QuotaReport> = reports.collect();
    let mut sequence = 0;
    criterion.bench_function(
        "exchange/87 customers of one of 1200 instances",
        |bencher| {
            bencher.iter(|| {
                sequence += 1;
                now = now + Duration::from_micros(400);
                let header = ReportHeader {
                    instance: name(sequence as usize % 1_200),
                    start: 1,
                    uptime_ms: 60_000,
                    sequence,
                    bank: Term(1),
                    version: Version(1),
                };
                black_box(bank.exchange(&header, &reports, || None, now))
            });
        },
    );
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decide(&mut criterion);
    lease(&mut criterion);
    exchange(&mut criterion);
    criterion.final_summary();
}

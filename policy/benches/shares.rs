//! Time to spend from a share, and the memory that one share uses.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use laburnumdeal_model::{
    BootId, Change, Configuration, InstanceId, RegionId, ServiceId, Topology, embedded_topology,
};
use laburnumdeal_policy::{CapKey, CapShares, ShareSettings};
use tokio::time::Instant;

fn cap_shares(intake_per_s: u64) -> (CapShares, Instant) {
    let mut settings = embedded_topology();
    for region in &mut settings.regions {
        region.intake_per_s = intake_per_s;
    }
    let topology = Topology::build(&settings).unwrap();
    let service = "catalog".into();
    let cap = Change::CapShift {
        service,
        requests_per_s: 3,
    };
    let configuration = Configuration::default()
        .apply(&cap, &topology, 0, false)
        .unwrap();
    let started = Instant::now();
    let settings = ShareSettings::default();
    let shares = CapShares::new(InstanceId(0), BootId(1), topology.into(), settings, started);
    shares.configure(&configuration);
    (shares, started + Duration::from_secs(60))
}

fn spend(criterion: &mut Criterion) {
    println!("{} bytes a share", CapShares::BYTES_PER_SHARE);
    let (shares, start) = cap_shares(1 << 40);
    let mut now = start;
    let intake = CapKey::Region(RegionId(0));
    criterion.bench_function("spend/within", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(1);
            black_box(shares.spend(intake, 1, now)).is_ok()
        });
    });
    let shift = CapKey::Shift(ServiceId(0));
    criterion.bench_function("spend/over", |bencher| {
        bencher.iter(|| {
            now += Duration::from_micros(1);
            black_box(shares.spend(shift, 1, now)).is_err()
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    spend(&mut criterion);
    criterion.final_summary();
}

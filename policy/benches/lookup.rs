//! Lookups per second on one core, memory per block and build time, for tables of three sizes.

use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::Instant;

use criterion::{Criterion, Throughput};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use laburnumdeal_model::{
    BootId, Configuration, InstanceId, ServiceId, Steering, Topology, TopologySettings, Version,
    ZoneId, embedded_topology,
};
use laburnumdeal_policy::{
    Heartbeat, LookupTable, Membership, MembershipSettings, PeerState, entry_instances,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [usize; 3] = [10_000, 100_000, 940_000];
const TEST_SIZES: [usize; 1] = [2_000];
const ZONES: usize = 150;
const LISTS: usize = 150;
const ADDRESSES: usize = 1 << 16;

/// Returns a topology of 150 zones in 50 regions, with three instances per zone.
fn topology() -> Topology {
    let small = embedded_topology();
    let mut settings = TopologySettings {
        regions: Vec::new(),
        zones: Vec::new(),
        instances: Vec::new(),
        upstreams: Vec::new(),
        links: Vec::new(),
        ..small.clone()
    };
    for region in 0..ZONES / 3 {
        let mut entry = small.regions[0].clone();
        entry.name = format!("r{region}");
        settings.regions.push(entry);
    }
    for zone in 0..ZONES {
        let mut entry = small.zones[0].clone();
        entry.name = format!("z{zone}");
        entry.region = format!("r{}", zone / 3);
        settings.zones.push(entry);
        let mut upstream = small.upstreams[0].clone();
        upstream.name = format!("u{zone}");
        upstream.zone = format!("z{zone}");
        upstream.address.set_port(1_000 + zone as u16);
        settings.upstreams.push(upstream);
        for index in 0..3 {
            let mut instance = small.instances[0].clone();
            let port = 10_000 + (zone * 3 + index) as u16 * 3;
            instance.name = format!("i{zone}-{index}");
            instance.zone = format!("z{zone}");
            instance.control = zone == 0 && index == 0;
            instance.caller_address.set_port(port);
            instance.peer_address.set_port(port + 1);
            instance.operator_address.set_port(port + 2);
            settings.instances.push(instance);
        }
    }
    Topology::build(&settings).unwrap()
}

/// Returns a configuration with four fifths IPv4 and one fifth IPv6 blocks, of the prefix lengths
/// that are usual for client networks.
fn configuration(blocks: usize, rng: &mut ChaCha8Rng) -> Configuration {
    let lists: Vec<Vec<String>> = (0..LISTS)
        .map(|list| {
            (0..4)
                .map(|step| format!("z{}", (list + step * 7) % ZONES))
                .collect()
        })
        .collect();
    let mut steering = Steering::default();
    while steering.len() < blocks {
        let list = &lists[rng.random_range(0..LISTS)];
        steering.insert(block(rng), list);
    }
    Configuration {
        steering: steering.into(),
        ..Configuration::default()
    }
}

fn block(rng: &mut ChaCha8Rng) -> IpNet {
    if rng.random_ratio(4, 5) {
        let address = Ipv4Addr::from_bits(rng.random());
        return Ipv4Net::new(address, rng.random_range(12..=24))
            .unwrap()
            .into();
    }
    let bits = (0x2000 << 112) | rng.random::<u128>() >> 3;
    Ipv6Net::new(Ipv6Addr::from_bits(bits), rng.random_range(28..=56))
        .unwrap()
        .into()
}

fn addresses(configuration: &Configuration, rng: &mut ChaCha8Rng) -> Vec<IpAddr> {
    let blocks: Vec<IpNet> = configuration
        .steering
        .blocks()
        .map(|(block, _)| block)
        .collect();
    let address_in_block = |_| match blocks.choose(rng).unwrap().network() {
        IpAddr::V4(address) => Ipv4Addr::from_bits(address.to_bits() | 1).into(),
        IpAddr::V6(address) => Ipv6Addr::from_bits(address.to_bits() | 1).into(),
    };
    (0..ADDRESSES).map(address_in_block).collect()
}

fn members(topology: &Topology) -> Membership {
    let settings = MembershipSettings::new(600_000);
    let membership = Membership::new(InstanceId(0), BootId(1), topology.clone().into(), settings);
    for id in topology.instance_ids() {
        let heartbeat = Heartbeat {
            boot: BootId(1),
            sequence: 1,
            state: PeerState::Live,
            version: Version(0),
            in_flight: 0,
        };
        membership.record_heartbeat(id, heartbeat, tokio::time::Instant::now());
    }
    membership
}

fn lookup(criterion: &mut Criterion) {
    let is_test = std::env::args().any(|argument| argument == "--test");
    let sizes: &[usize] = if is_test { &TEST_SIZES } else { &SIZES };
    let topology = topology();
    let membership = members(&topology);
    for size in sizes {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let configuration = configuration(*size, &mut rng);
        let addresses = addresses(&configuration, &mut rng);
        let build_started = Instant::now();
        let table = LookupTable::build(&configuration, &topology);
        println!(
            "{size} blocks: built in {} ms, {:.2} bytes a block",
            build_started.elapsed().as_millis(),
            table.bytes() as f64 / *size as f64
        );
        measure(criterion, *size, &table, &membership, &addresses);
    }
}

fn measure(
    criterion: &mut Criterion,
    size: usize,
    table: &LookupTable,
    membership: &Membership,
    addresses: &[IpAddr],
) {
    let mut group = criterion.benchmark_group("lookup");
    group.throughput(Throughput::Elements(1));
    let mut position = 0;
    let mut next = || {
        position = (position + 1) % addresses.len();
        addresses[position]
    };
    group.bench_function(format!("zones/{size}"), |bencher| {
        bencher.iter(|| black_box(table.zones(next()).len()));
    });
    let now = tokio::time::Instant::now();
    group.bench_function(format!("entries/{size}"), |bencher| {
        bencher.iter(|| {
            let zone = ZoneId(0);
            entry_instances(table, membership, ServiceId(0), next(), zone, now)
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    lookup(&mut criterion);
    criterion.final_summary();
}

//! Time, memory and encoded size of a configuration by number of steered blocks.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use ipnet::{IpNet, Ipv4Net};
use laburnumdeal_model::{Change, Configuration, Steering, Topology, embedded_topology};
use laburnumdeal_policy::LookupTable;

use crate::load;

const SIZES: [u32; 3] = [10_000, 100_000, 940_000];
const TEST_SIZES: [u32; 1] = [2_000];

/// Number of different zone lists, one for each site.
const ZONE_LISTS: usize = 150;

/// Number of host bits of a block.
const BLOCK_BITS: u32 = 8;

/// First address of the first block.
const FIRST_ADDRESS: Ipv4Addr = Ipv4Addr::new(11, 0, 0, 0);

/// Measures every size and prints a row for each.
pub async fn run(is_bench: bool) {
    let sizes = if is_bench { &SIZES[..] } else { &TEST_SIZES };
    let topology = Topology::build(&embedded_topology()).expect("the embedded topology is valid");
    println!(
        "blocks whole_bytes encode_ms decode_ms digest_us clone_us apply_ms build_ms state_kib"
    );
    for size in sizes {
        measure(*size, &topology);
    }
}

fn measure(size: u32, topology: &Topology) {
    let before = load::resident_kib();
    let configuration = configuration(size);
    let (build, table) = timed(|| LookupTable::build(&configuration, topology));
    let state_kib = load::resident_kib().saturating_sub(before);
    let (encode, bytes) = timed(|| rmp_serde::to_vec_named(&configuration).expect("encodable"));
    let (decode, decoded) =
        timed(|| rmp_serde::from_slice::<Configuration>(&bytes).expect("decodable"));
    assert_eq!(decoded, configuration, "the decoded configuration differs");
    let (digest, _) = timed(|| configuration.digest());
    let (clone, _) = timed(|| configuration.clone());
    let change = steer(size / 2, topology);
    let (apply, changed) = timed(|| configuration.apply(&change, topology, 0, true));
    black_box((changed.expect("the change is accepted"), table));
    println!(
        "{size:6} {:11} {:9.1} {:9.1} {:9} {:8} {:8.1} {:8.1} {state_kib:9}",
        bytes.len(),
        ms(encode),
        ms(decode),
        digest.as_micros(),
        clone.as_micros(),
        ms(apply),
        ms(build),
    );
}

/// Returns a configuration with blocks of 256 addresses, spread over the zone lists.
fn configuration(size: u32) -> Configuration {
    let mut steering = Steering::default();
    for position in 0..size {
        let list = position as usize % ZONE_LISTS;
        let zones = [format!("zone-{list}"), format!("zone-{}", list + 1)];
        assert!(
            steering.insert(block(position), &zones),
            "too many zone lists"
        );
    }
    Configuration {
        steering: steering.into(),
        ..Configuration::default()
    }
}

fn block(position: u32) -> IpNet {
    let address = Ipv4Addr::from_bits(FIRST_ADDRESS.to_bits() + (position << BLOCK_BITS));
    let length = (Ipv4Addr::BITS - BLOCK_BITS) as u8;
    Ipv4Net::new(address, length)
        .expect("the prefix length is valid")
        .into()
}

fn steer(position: u32, topology: &Topology) -> Change {
    Change::Steer {
        blocks: vec![block(position)],
        zones: vec![topology.zones[0].name.clone()],
    }
}

fn timed<T>(operation: impl FnOnce() -> T) -> (Duration, T) {
    let started_at = Instant::now();
    let value = black_box(operation());
    (started_at.elapsed(), value)
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

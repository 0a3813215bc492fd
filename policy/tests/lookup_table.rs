//! The lookup table compared with a linear search through all blocks.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use laburnumdeal_model::{Change, Configuration, ServiceId, Topology, ZoneId, embedded_topology};
use laburnumdeal_policy::LookupTable;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BLOCKS: usize = 400;

fn topology() -> Topology {
    Topology::build(&embedded_topology()).unwrap()
}

fn steer(configuration: &mut Configuration, block: IpNet, zones: &[&str]) {
    let change = Change::Steer {
        blocks: vec![block],
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    };
    *configuration = configuration.apply(&change, &topology(), 0, false).unwrap();
}

/// Returns a random block. The blocks share few leading bits, so that many of them enclose each
/// other.
fn random_block(rng: &mut ChaCha8Rng) -> IpNet {
    match rng.random_range(0..3) {
        0 => {
            let bits = rng.random::<u32>() & 0x0303_ffff;
            Ipv4Net::new(Ipv4Addr::from_bits(bits), rng.random_range(0..=32))
                .unwrap()
                .into()
        }
        1 => {
            let bits = rng.random::<u128>() & 0x0003_000f << 96;
            Ipv6Net::new(Ipv6Addr::from_bits(bits), rng.random_range(0..=64))
                .unwrap()
                .into()
        }
        _ => {
            let bits = rng.random::<u128>() & (0x0003_000f << 96 | 0xff);
            Ipv6Net::new(Ipv6Addr::from_bits(bits), rng.random_range(65..=128))
                .unwrap()
                .into()
        }
    }
}

/// Returns an address inside or close to a random block.
fn random_address(rng: &mut ChaCha8Rng, blocks: &[(IpNet, usize)]) -> IpAddr {
    match blocks[rng.random_range(0..blocks.len())].0 {
        IpNet::V4(block) => {
            let noise = rng.random::<u32>() >> rng.random_range(0..32);
            Ipv4Addr::from_bits(block.network().to_bits() ^ noise).into()
        }
        IpNet::V6(block) => {
            let noise = rng.random::<u128>() >> rng.random_range(0..128);
            Ipv6Addr::from_bits(block.network().to_bits() ^ noise).into()
        }
    }
}

fn linear_search(blocks: &[(IpNet, usize)], address: IpAddr) -> Option<usize> {
    let enclosing = blocks.iter().filter(|(block, _)| block.contains(&address));
    enclosing
        .max_by_key(|(block, _)| block.prefix_len())
        .map(|(_, list)| *list)
}

#[test]
fn zones_random_blocks_match_linear_search() {
    let lists: [&[&str]; 3] = [&["nasr"], &["smouha"], &["smouha", "nasr"]];
    let expected: [&[ZoneId]; 3] = [&[ZoneId(0)], &[ZoneId(1)], &[ZoneId(1), ZoneId(0)]];
    for seed in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut configuration = Configuration::default();
        let mut blocks: Vec<(IpNet, usize)> = Vec::new();
        for _ in 0..BLOCKS {
            let block = random_block(&mut rng).trunc();
            let list = rng.random_range(0..lists.len());
            steer(&mut configuration, block, lists[list]);
            blocks.retain(|(other, _)| *other != block);
            blocks.push((block, list));
        }
        let table = LookupTable::build(&configuration, &topology());
        assert_eq!(table.blocks(), blocks.len());
        for _ in 0..4_000 {
            let address = random_address(&mut rng, &blocks);
            let list = linear_search(&blocks, address).map(|list| expected[list]);
            assert_eq!(table.steered_zones(address), list, "seed {seed}, {address}");
        }
    }
}

#[test]
fn zones_mapped_address_is_looked_up_as_ipv4() {
    let mut configuration = Configuration::default();
    steer(
        &mut configuration,
        "10.0.0.0/8".parse().unwrap(),
        &["smouha"],
    );
    let table = LookupTable::build(&configuration, &topology());
    assert_eq!(table.zones("::ffff:10.1.1.1".parse().unwrap()), [ZoneId(1)]);
}

#[test]
fn zones_whole_address_range_is_a_block() {
    let mut configuration = Configuration::default();
    steer(
        &mut configuration,
        "0.0.0.0/0".parse().unwrap(),
        &["smouha"],
    );
    steer(&mut configuration, "::/0".parse().unwrap(), &["smouha"]);
    let table = LookupTable::build(&configuration, &topology());
    for address in ["0.0.0.0", "255.255.255.255", "::", "ffff::ffff"] {
        assert_eq!(table.zones(address.parse().unwrap()), [ZoneId(1)]);
    }
}

#[test]
fn zones_without_block_are_all_zones() {
    let table = LookupTable::build(&Configuration::default(), &topology());
    assert_eq!(
        table.zones("10.1.1.1".parse().unwrap()),
        [ZoneId(0), ZoneId(1)]
    );
    let nearest: Vec<ZoneId> = table.zones_by_proximity(ZoneId(1)).collect();
    assert_eq!(nearest, [ZoneId(1), ZoneId(0)]);
}

#[test]
fn home_zone_without_service_is_skipped() {
    let mut configuration = Configuration::default();
    steer(
        &mut configuration,
        "10.0.0.0/8".parse().unwrap(),
        &["smouha", "nasr"],
    );
    let allow = Change::Allow {
        service: "catalog".into(),
        upstreams: vec!["catalog-nasr-1".into()],
    };
    let configuration = configuration.apply(&allow, &topology(), 0, false).unwrap();
    let table = LookupTable::build(&configuration, &topology());
    let address = "10.1.1.1".parse().unwrap();
    assert_eq!(table.home_zone(ServiceId(0), address, ZoneId(1)), ZoneId(0));
    assert_eq!(table.home_zone(ServiceId(1), address, ZoneId(0)), ZoneId(1));
}

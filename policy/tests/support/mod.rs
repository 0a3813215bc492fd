//! Topologies, configurations and simulations shared by several tests.

#![expect(dead_code, reason = "each test uses some of the helpers")]

pub mod cap_checker;
pub mod share_run;

use std::sync::Arc;

use laburnumdeal_model::{
    Change, Configuration, InstanceSettings, LinkSettings, RegionSettings, ServiceSettings,
    Topology, TopologySettings, UpstreamSettings, ZoneSettings, embedded_topology,
};

/// Size of a generated topology: regions, zones per region, instances and upstreams per zone.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub regions: usize,
    pub zones: usize,
    pub instances: usize,
    pub upstreams: usize,
}

/// Generates a topology with regions r0, r1 ..., zones z0, z1 ... and service s0.
pub fn topology(shape: Shape, intake_per_s: u64) -> Arc<Topology> {
    let mut settings = TopologySettings {
        regions: Vec::new(),
        zones: Vec::new(),
        instances: Vec::new(),
        services: embedded_topology().services,
        upstreams: Vec::new(),
        links: Vec::new(),
    };
    settings.services = vec![ServiceSettings {
        name: "s0".into(),
        ..settings.services[0].clone()
    }];
    for region in 0..shape.regions {
        settings.regions.push(RegionSettings {
            name: format!("r{region}"),
            intake_per_s,
        });
        for zone in 0..shape.zones {
            add_zone(&mut settings, shape, region, region * shape.zones + zone);
        }
    }
    Arc::new(Topology::build(&settings).unwrap())
}

fn add_zone(settings: &mut TopologySettings, shape: Shape, region: usize, zone: usize) {
    settings.zones.push(ZoneSettings {
        name: format!("z{zone}"),
        region: format!("r{region}"),
    });
    for index in 0..shape.instances {
        let port = 10_000 + (zone * shape.instances + index) * 3;
        let address = |step: usize| format!("127.0.0.1:{}", port + step).parse().unwrap();
        settings.instances.push(InstanceSettings {
            name: format!("z{zone}-{index}"),
            zone: format!("z{zone}"),
            caller_address: address(0),
            peer_address: address(1),
            operator_address: address(2),
            control: zone == 0 && index == 0,
        });
    }
    for index in 0..shape.upstreams {
        let port = 30_000 + zone * shape.upstreams + index;
        settings.upstreams.push(UpstreamSettings {
            name: format!("u{zone}-{index}"),
            service: "s0".into(),
            zone: format!("z{zone}"),
            address: format!("127.0.0.1:{port}").parse().unwrap(),
            slots: 9,
            connections: 330,
        });
    }
}

/// Returns the settings of a one-way link between two regions.
pub fn link(from: usize, to: usize, bytes_per_s: u64) -> LinkSettings {
    LinkSettings {
        from: format!("r{from}"),
        to: format!("r{to}"),
        bytes_per_s,
    }
}

/// Returns the configuration after a list of changes, which must all be accepted.
pub fn configured(topology: &Topology, changes: &[Change]) -> Configuration {
    let apply = |c: Configuration, change| c.apply(change, topology, u64::MAX, true).unwrap();
    changes.iter().fold(Configuration::default(), apply)
}

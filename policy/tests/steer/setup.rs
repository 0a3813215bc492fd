use std::collections::HashMap;
use std::time::Duration;

use laburnumdeal_model::{Item, ItemKey, ItemValue, Items, NamedItem, RouteItem, ServiceItem};
use laburnumdeal_policy::steer::{
    InstanceRecord, LoadBalancer, LoadBalancerSettings, Places, RequestContext, Selection,
    UpstreamKey, UpstreamRecord,
};
use tokio::time::Instant;

pub const TARGET_LATENCY: Duration = Duration::from_millis(400);

pub fn settings(instance: &str, region: &str) -> LoadBalancerSettings {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    LoadBalancerSettings {
        instance: instance.to_owned(),
        region: region.to_owned(),
        zone_regions: HashMap::from(zones),
        cold_overshoot: 1.5,
        cold_slack: 5.0,
        max_region_shift: 0.15,
        places_by_room: false,
        learns_capacity: false,
        shares_speed: false,
    }
}

pub fn instance(number: usize, region: &str) -> InstanceRecord {
    InstanceRecord {
        name: format!("e-{number}"),
        region: region.into(),
        address: None,
    }
}

pub fn upstream(number: usize, zone: &str, slots: u32) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u-{number}"),
        service: "catalog".into(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        zone: zone.into(),
        slots,
        leaving: false,
        cold_ms: 0,
    }
}

pub fn items() -> Items {
    let route = RouteItem {
        host: "shop.example".into(),
        path_prefix: "/".into(),
        idempotent: true,
        timeout_ms: 800,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 2,
        services: vec![("catalog".into(), 1_000)],
        regions: Vec::new(),
        affinity: true,
        is_public: false,
    };
    let service = ServiceItem {
        health_path: "/health".into(),
        connections: 330,
        warm_up_ms: 3_000,
        warm_up_milli_per_s: 15_000,
    };
    Items::default()
        .merged(&[
            named(ItemKey::Service("catalog".into()), service.into()),
            named(ItemKey::Route("all".into()), route.into()),
        ])
        .unwrap()
}

pub fn named(key: ItemKey, value: ItemValue) -> NamedItem {
    let item = Item {
        version: 1,
        value: Some(value),
        original: String::new(),
    };
    NamedItem { key, item }
}

pub fn load_balancer(
    instance: &str,
    region: &str,
    records: &[UpstreamRecord],
    now: Instant,
) -> LoadBalancer {
    load_balancer_with(settings(instance, region), records, now)
}

pub fn load_balancer_with(
    settings: LoadBalancerSettings,
    records: &[UpstreamRecord],
    now: Instant,
) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(settings);
    balancer.update_items(&items());
    balancer.update_upstreams(records, now);
    balancer.update_instances(Vec::new());
    balancer
}

pub fn request(object: u64) -> RequestContext<'static> {
    RequestContext {
        route: "all",
        service: "catalog",
        object,
        regions: &[],
        tried: &[],
        time_left: Duration::from_millis(800),
        elapsed: Duration::ZERO,
        target_latency: TARGET_LATENCY,
        priority: 2,
        places: Places::All,
    }
}

pub fn chosen_upstream(balancer: &LoadBalancer, object: u64, now: Instant) -> Option<UpstreamKey> {
    match balancer.choose(&request(object), now) {
        Selection::Send(decision) => Some(decision.upstream),
        Selection::Busy { .. }
        | Selection::Withheld { .. }
        | Selection::AtLimit { .. }
        | Selection::Waiting { .. }
        | Selection::NoUpstream => None,
    }
}

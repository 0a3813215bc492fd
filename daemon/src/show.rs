//! Tables for the command `show`.

use laburnumdeal_language::{ShowSubject, Table};
use laburnumdeal_model::{Configuration, InstanceId, Target, UpstreamId};
use tokio::time::Instant;

use crate::readiness::Readiness;
use crate::state::State;

/// Returns the table of a subject as this instance sees it.
pub fn table(state: &State, subject: ShowSubject) -> Table {
    match subject {
        ShowSubject::Upstreams => upstreams(state),
        ShowSubject::Instances => instances(state),
        ShowSubject::Zones => zones(state),
        ShowSubject::Regions => regions(state),
        ShowSubject::Services => services(state),
        ShowSubject::Drains => drains(state),
        ShowSubject::Caps => caps(state),
        ShowSubject::Steering => steering(state),
        ShowSubject::Configuration => configuration(state),
        ShowSubject::Status => status(state),
    }
}

fn with_configuration<T: Default>(state: &State, read: impl FnOnce(&Configuration) -> T) -> T {
    state
        .configuration
        .active()
        .map(|active| read(&active.configuration))
        .unwrap_or_default()
}

fn upstreams(state: &State) -> Table {
    let columns = [
        "upstream",
        "service",
        "zone",
        "address",
        "slots",
        "in_flight",
        "owner",
        "standing",
    ];
    let rows = state
        .topology
        .upstream_ids()
        .map(|id| upstream_row(state, id))
        .collect();
    let mut table = Table::new("upstreams", &columns, rows);
    table.note = Some("in_flight and standing are known for upstreams owned here".to_owned());
    table
}

fn upstream_row(state: &State, id: UpstreamId) -> Vec<String> {
    let upstream = state.topology.upstream(id);
    let candidates = state.pool.explain(upstream.service);
    let candidate = candidates.iter().find(|candidate| candidate.upstream == id);
    let is_owned = state.pool.owns(id);
    let drained = state.pool.is_drained(id);
    let standing = match candidate {
        _ if is_owned && drained => "drained".to_owned(),
        Some(candidate) if is_owned => candidate.reason.to_string(),
        _ => "-".to_owned(),
    };
    vec![
        upstream.name.clone(),
        state.topology.service(upstream.service).name.clone(),
        state.topology.zone(upstream.zone).name.clone(),
        upstream.address.to_string(),
        upstream.slots.to_string(),
        if is_owned {
            state.pool.in_flight(id).to_string()
        } else {
            "-".to_owned()
        },
        if is_owned {
            state.settings.instance.clone()
        } else {
            "-".to_owned()
        },
        standing,
    ]
}

fn instances(state: &State) -> Table {
    let columns = [
        "instance", "zone", "address", "state", "version", "heard_ms", "control",
    ];
    let rows = state
        .topology
        .instance_ids()
        .map(|id| instance_row(state, id))
        .collect();
    Table::new("instances", &columns, rows)
}

fn instance_row(state: &State, id: InstanceId) -> Vec<String> {
    let instance = state.topology.instance(id);
    let heartbeat = state.membership.last_heartbeat(id);
    let heard_at = state.membership.last_heard_at(id);
    let version = match id == state.own_id {
        true => state.configuration.version().to_string(),
        false => heartbeat.map_or("-".to_owned(), |heartbeat| heartbeat.version.to_string()),
    };
    vec![
        instance.name.clone(),
        state.topology.zone(instance.zone).name.clone(),
        instance.caller_address.to_string(),
        state.membership.state(id, Instant::now()).to_string(),
        version,
        heard_at.map_or("-".to_owned(), |at| at.elapsed().as_millis().to_string()),
        if instance.control { "yes" } else { "no" }.to_owned(),
    ]
}

fn zones(state: &State) -> Table {
    let columns = [
        "zone",
        "region",
        "service",
        "slots",
        "in_flight",
        "queued",
        "age_ms",
    ];
    let zone_loads = state.zone_loads.read().expect("no panic while locked");
    let now = Instant::now();
    let mut rows = Vec::new();
    for zone in state.topology.zone_ids() {
        let entry = state.topology.zone(zone);
        let region = &state.topology.region(entry.region).name;
        let age = zone_loads
            .age(zone, now)
            .map_or("-".to_owned(), |age| age.as_millis().to_string());
        for service in state.topology.service_ids() {
            let load = zone_loads.service_load(zone, service, now);
            let number = |value: Option<u32>| value.map_or("-".to_owned(), |v| v.to_string());
            rows.push(vec![
                entry.name.clone(),
                region.clone(),
                state.topology.service(service).name.clone(),
                number(load.map(|load| load.slots)),
                number(load.map(|load| load.in_flight)),
                number(load.map(|load| load.queued)),
                age.clone(),
            ]);
        }
    }
    Table::new("zones", &columns, rows)
}

fn regions(state: &State) -> Table {
    let rows = state.topology.regions.iter().map(|region| {
        let cap = with_configuration(state, |c| c.region_caps.get(&region.name).copied());
        vec![
            region.name.clone(),
            region.intake_per_s.to_string(),
            cap.map_or("-".to_owned(), |cap| cap.to_string()),
        ]
    });
    Table::new(
        "regions",
        &["region", "intake_per_s", "cap_per_s"],
        rows.collect(),
    )
}

fn services(state: &State) -> Table {
    let columns = [
        "service",
        "idempotent",
        "requires_key",
        "deadline_ms",
        "upstreams",
        "slots",
    ];
    let rows = state.topology.service_ids().map(|id| {
        let service = state.topology.service(id);
        let of_service = state.topology.upstreams.iter().filter(|u| u.service == id);
        let slots: u32 = of_service.clone().map(|u| u32::from(u.slots)).sum();
        vec![
            service.name.clone(),
            service.idempotent.to_string(),
            service.requires_key.to_string(),
            service.deadline_ms.to_string(),
            of_service.count().to_string(),
            slots.to_string(),
        ]
    });
    Table::new("services", &columns, rows.collect())
}

fn drains(state: &State) -> Table {
    let columns = [
        "target",
        "at_ms",
        "for_ms",
        "step_permille",
        "every_ms",
        "moved_permille",
    ];
    let rows = with_configuration(state, |configuration| {
        let row = |(target, drain): (&Target, &laburnumdeal_model::Drain)| {
            vec![
                target.to_string(),
                drain.at_ms.to_string(),
                drain.for_ms.to_string(),
                drain.step_permille.to_string(),
                drain.every_ms.to_string(),
                drain.moved_permille.to_string(),
            ]
        };
        configuration.drains.iter().map(row).collect()
    });
    Table::new("drains", &columns, rows)
}

fn caps(state: &State) -> Table {
    let rows = with_configuration(state, |c| {
        let shifts = c
            .shift_caps
            .iter()
            .map(|(name, cap)| cap_row("shift", name, *cap, "requests"));
        let regions = c
            .region_caps
            .iter()
            .map(|(name, cap)| cap_row("region", name, *cap, "requests"));
        let links = c
            .link_caps
            .iter()
            .map(|((from, to), cap)| cap_row("link", &format!("{from} to {to}"), *cap, "bytes"));
        shifts.chain(regions).chain(links).collect()
    });
    Table::new("caps", &["kind", "of", "per_s", "unit"], rows)
}

fn cap_row(kind: &str, of: &str, per_s: u64, unit: &str) -> Vec<String> {
    vec![
        kind.to_owned(),
        of.to_owned(),
        per_s.to_string(),
        unit.to_owned(),
    ]
}

fn steering(state: &State) -> Table {
    let rows = with_configuration(state, |c| {
        let groups = c.steering.groups();
        let row = |(block, group): (ipnet::IpNet, laburnumdeal_model::GroupId)| {
            vec![block.to_string(), groups[group.index()].join(", ")]
        };
        c.steering
            .blocks()
            .take(MAX_STEERING_ROWS)
            .map(row)
            .collect()
    });
    Table::new("steering", &["block", "zones"], rows)
}

/// Maximum number of address blocks that `show steering` lists.
const MAX_STEERING_ROWS: usize = 10_000;

fn configuration(state: &State) -> Table {
    let mut rows = with_configuration(state, |c| {
        vec![
            row("version", c.version),
            row("digest", c.digest()),
            row("drains", c.drains.len()),
            row("steered blocks", c.steering.len()),
        ]
    });
    rows.push(row("topology digest", state.topology.digest));
    Table::new("configuration", &["name", "value"], rows)
}

fn status(state: &State) -> Table {
    let mut rows = vec![
        row("instance", &state.settings.instance),
        row("zone", &state.topology.zone(state.own_zone).name),
        row("boot", state.boot),
        row("readiness", Readiness::of(state)),
        row("requests in progress", state.in_progress()),
        row("claim records", state.claims.stats().records),
    ];
    if let Some(replica) = &state.replica {
        let status = replica.status();
        let leader = status
            .leader
            .map(|id| state.topology.instance(id).name.clone());
        rows.extend([
            row("replica role", status.role),
            row("term", status.term),
            row("leader", leader.unwrap_or_else(|| "-".to_owned())),
            row("commit index", status.commit_index),
            row("last index", status.last_index),
        ]);
    }
    Table::new("status", &["name", "value"], rows)
}

fn row(name: &str, value: impl ToString) -> Vec<String> {
    vec![name.to_owned(), value.to_string()]
}

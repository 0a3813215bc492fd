//! Tables for the command `explain`: where a request would go or went, and why.

use std::net::IpAddr;

use laburnumdeal_language::Table;
use laburnumdeal_model::Digest;
use laburnumdeal_policy::{RequestKey, RouteInput};
use tokio::time::Instant;

use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;
use crate::trace::Trace;

/// Returns every candidate for a caller's request with the reason for or against it.
///
/// # Errors
///
/// Returns an error when the service does not exist or there is no configuration.
pub fn caller(
    state: &State,
    service: &str,
    address: IpAddr,
    key: Option<&str>,
) -> Result<Table, String> {
    let service_id = state
        .topology
        .service_named(service)
        .ok_or_else(|| format!("service {service:?} does not exist in the topology"))?;
    let Some(configuration) = state.configuration.active() else {
        return Err("this instance has no configuration yet".to_owned());
    };
    let zone_loads = state.zone_loads.read().expect("no panic while locked");
    let input = RouteInput {
        service: service_id,
        caller: address,
        hash: key_hash(key.unwrap_or("")),
        table: &configuration.table,
        membership: &state.membership,
        zone_loads: &zone_loads,
        now: Instant::now(),
    };
    let mut rows = Vec::new();
    if let Some(key) = key {
        rows.push(key_row(state, key));
    }
    for (zone, reason) in state.router.explain(&input) {
        rows.push(row(
            "zone",
            &state.topology.zone(zone).name,
            &reason.to_string(),
        ));
    }
    for candidate in state.pool.explain(service_id) {
        let name = &state.topology.upstream(candidate.upstream).name;
        let reason = format!(
            "{}; {} of {} slots in use, latency {:.1} ms",
            candidate.reason,
            candidate.in_flight,
            candidate.slots,
            candidate.latency.as_secs_f64() * 1_000.0
        );
        rows.push(row("upstream", name, &reason));
    }
    let title = format!("explain {service} from {address}");
    Ok(Table::new(&title, &["kind", "candidate", "reason"], rows))
}

/// Returns the decisions about a past request, from every reachable instance that still has its
/// trace.
pub async fn request(state: &State, id: &str) -> Option<Table> {
    let mut traces: Vec<(String, Trace)> = Vec::new();
    if let Some(trace) = state.traces.find(id) {
        traces.push((state.settings.instance.clone(), trace));
    }
    let others = state
        .topology
        .instance_ids()
        .filter(|other| *other != state.own_id);
    for other in others {
        if !state.membership.state(other, Instant::now()).takes_work() {
            continue;
        }
        let message = PeerRequest::Explain {
            request_id: id.to_owned(),
        };
        if let Ok(PeerReply::Trace(Some(trace))) = state.peer_client.call(other, &message).await {
            traces.push((state.topology.instance(other).name.clone(), trace));
        }
    }
    (!traces.is_empty()).then(|| table(id, &traces))
}

fn table(id: &str, traces: &[(String, Trace)]) -> Table {
    let mut rows = Vec::new();
    for (instance, trace) in traces {
        for step in &trace.steps {
            let at_ms = step.at_ms.to_string();
            rows.push(vec![
                instance.clone(),
                at_ms,
                step.candidate.clone(),
                step.reason.clone(),
            ]);
        }
        let end = format!("{} under version {}", trace.outcome, trace.version);
        rows.push(vec![
            instance.clone(),
            "-".to_owned(),
            "outcome".to_owned(),
            end,
        ]);
    }
    let columns = ["instance", "at_ms", "candidate", "reason"];
    Table::new(&format!("explain request {id}"), &columns, rows)
}

/// Returns the hash of a key, which breaks ties between equal zones.
fn key_hash(key: &str) -> u64 {
    let digest = Digest::of(&[key.as_bytes()]);
    u64::from_le_bytes(digest.0[..8].try_into().expect("a digest has 32 bytes"))
}

fn key_row(state: &State, key: &str) -> Vec<String> {
    match RequestKey::parse(key, &state.sealer) {
        Ok(parsed) => match parsed.token {
            Some(token) => {
                let home = &state.topology.instance(token.home).name;
                row("home", home, "named by the key's token")
            }
            None => row("home", "-", "the key has no token: chosen by hash"),
        },
        Err(error) => row("key", key, &error.to_string()),
    }
}

fn row(kind: &str, candidate: &str, reason: &str) -> Vec<String> {
    vec![kind.to_owned(), candidate.to_owned(), reason.to_owned()]
}

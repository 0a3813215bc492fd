use std::net::{IpAddr, SocketAddr};

use http::{HeaderValue, Request, Response};
use laburnumdeal_model::{InstanceId, ServiceId};
use laburnumdeal_policy::entry_instances;
use serde::Serialize;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::request_error::RequestError;
use crate::state::State;

/// HTTP path of look-ups.
pub const LOOKUP_PATH: &str = "/laburnum/v1/lookup";

/// Body of the response to a look-up.
#[derive(Debug, Serialize)]
struct LookupAnswer<'a> {
    instances: Vec<LookupInstance<'a>>,
    ttl_ms: u64,
    token: Option<String>,
}

#[derive(Debug, Serialize)]
struct LookupInstance<'a> {
    name: &'a str,
    zone: &'a str,
    address: SocketAddr,
}

/// Returns the entry instances that a caller should use for a service.
///
/// # Errors
///
/// Returns the query field that is missing or malformed.
pub fn handle_lookup<B>(
    state: &State,
    request: &Request<B>,
    peer: IpAddr,
) -> Result<Response<AnswerBody>, RequestError> {
    let query = request.uri().query().unwrap_or("");
    let service = find_service(state, query)?;
    let address = find_address(query)?.unwrap_or(peer);
    state.metrics.record_lookup();
    let instances = find_instances(state, service, address);
    let answer = LookupAnswer {
        instances: instances.iter().map(|id| describe(state, *id)).collect(),
        ttl_ms: state.settings.lookup_ttl_ms,
        token: state.new_claim_token(),
    };
    let body = serde_json::to_vec(&answer).expect("look-ups are plain data");
    let mut response = Response::new(AnswerBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    Ok(response)
}

fn find_instances(state: &State, service: ServiceId, address: IpAddr) -> Vec<InstanceId> {
    let Some(configuration) = state.configuration.active() else {
        return Vec::new();
    };
    let (table, now) = (&configuration.table, Instant::now());
    entry_instances(
        table,
        &state.membership,
        service,
        address,
        state.own_zone,
        now,
    )
}

fn describe(state: &State, id: InstanceId) -> LookupInstance<'_> {
    let instance = state.topology.instance(id);
    LookupInstance {
        name: &instance.name,
        zone: &state.topology.zone(instance.zone).name,
        address: instance.caller_address,
    }
}

fn find_service(state: &State, query: &str) -> Result<ServiceId, RequestError> {
    let name = field(query, "service").ok_or(RequestError::Query {
        field: "service",
        found: String::new(),
        expected: "the name of a service",
    })?;
    state
        .topology
        .service_named(name)
        .ok_or_else(|| RequestError::UnknownService {
            name: name.to_owned(),
        })
}

fn find_address(query: &str) -> Result<Option<IpAddr>, RequestError> {
    let Some(text) = field(query, "address") else {
        return Ok(None);
    };
    text.replace("%3A", ":")
        .replace("%3a", ":")
        .parse()
        .map(Some)
        .map_err(|_| RequestError::Query {
            field: "address",
            found: text.to_owned(),
            expected: "an IP address",
        })
}

fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query.split('&').filter_map(|part| part.split_once('='));
    fields
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value)
}

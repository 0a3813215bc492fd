use std::net::IpAddr;

use laburnumdeal_model::ServiceId;
use tokio::time::Instant;

use crate::{LookupTable, Membership, ZoneLoads};

/// Input of [`Router::route`](crate::Router::route).
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// Requested service.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Hash of the request. It spreads requests that are sent away from a full zone.
    pub hash: u64,
    /// Steering blocks and drains of the current configuration.
    pub table: &'a LookupTable,
    /// Members, which tell the zones that can be reached.
    pub membership: &'a Membership,
    /// Latest reported load of each zone.
    pub zone_loads: &'a ZoneLoads,
    /// Time of the decision.
    pub now: Instant,
}

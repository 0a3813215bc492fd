use std::net::IpAddr;

use laburnumdeal_model::ServiceId;
use tokio::time::Instant;

use crate::{LookupTable, Membership, ZoneLoads};

/// What a choice between zones is made from.
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// Service that is asked for.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Hash of the request, which spreads requests that leave a full zone.
    pub hash: u64,
    /// Steering and drains in force.
    pub table: &'a LookupTable,
    /// Which zones can be reached.
    pub membership: &'a Membership,
    /// Load of the zones.
    pub zone_loads: &'a ZoneLoads,
    /// Time of the choice.
    pub now: Instant,
}

use laburnumdeal_model::{InstanceId, Topology, UpstreamId};
use tokio::time::Instant;

use crate::{Departure, Membership, TakeOver, UpstreamHandOver, owner};

/// Upstreams of its zone that this instance owns, and the ones that changed owner last.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use laburnumdeal_model::{BootId, InstanceId, Topology, embedded_topology};
/// use laburnumdeal_policy::{Membership, MembershipSettings, Ownership};
/// use tokio::time::Instant;
///
/// let topology = Arc::new(Topology::build(&embedded_topology())?);
/// let settings = MembershipSettings::new(1_000);
/// let membership = Membership::new(InstanceId(2), BootId(1), topology, settings);
/// let ownership = Ownership::of(&membership, Instant::now());
/// assert_eq!(ownership.owned.len(), 2);
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Upstreams that this instance owns, in key order.
    pub owned: Vec<UpstreamId>,
    /// Upstreams that were taken over without a hand-over. Their slots count as taken until the
    /// deadlines of the requests in flight have passed or the upstream reports fewer requests.
    pub taken_over: Vec<TakeOver>,
    /// Upstreams that this instance must hand over, together with its counts of requests in flight.
    pub to_hand_over: Vec<(UpstreamId, InstanceId)>,
    /// Owner of every upstream of the zone, in key order.
    owners: Vec<(UpstreamId, InstanceId)>,
}

impl Ownership {
    /// Returns the initial ownership after a start of the process. Every upstream counts as taken
    /// over from an earlier run of this instance.
    pub fn of(membership: &Membership, now: Instant) -> Self {
        let owners = owners(membership, now);
        let owned = owned_by(membership.me(), &owners);
        let take_over = |upstream: &UpstreamId| TakeOver {
            upstream: *upstream,
            from: membership.me(),
            departure: Departure::Restart,
        };
        Self {
            taken_over: owned.iter().map(take_over).collect(),
            to_hand_over: Vec::new(),
            owned,
            owners,
        }
    }

    /// Returns the ownership after a change of members. `handed_over` contains the hand-overs that
    /// arrived from former owners; `was_frozen` tells that this process was frozen meanwhile.
    pub fn next(
        &self,
        membership: &Membership,
        handed_over: &[UpstreamHandOver],
        was_frozen: bool,
        now: Instant,
    ) -> Self {
        let me = membership.me();
        let owners = owners(membership, now);
        let owned = owned_by(me, &owners);
        let mut taken_over = Vec::new();
        for upstream in &owned {
            match self.owner(*upstream) {
                Some(former) if former == me && was_frozen => taken_over.push(TakeOver {
                    upstream: *upstream,
                    from: me,
                    departure: Departure::Freeze,
                }),
                Some(former) if former != me && !is_handed_over(handed_over, *upstream, former) => {
                    taken_over.push(TakeOver {
                        upstream: *upstream,
                        from: former,
                        departure: Departure::Death,
                    });
                }
                _ => {}
            }
        }
        let to_hand_over = self
            .owned
            .iter()
            .filter_map(|upstream| find(&owners, *upstream).map(|to| (*upstream, to)))
            .filter(|(_, to)| *to != me)
            .collect();
        Self {
            owned,
            taken_over,
            to_hand_over,
            owners,
        }
    }

    /// Returns whether this instance owns an upstream.
    pub fn owns(&self, upstream: UpstreamId) -> bool {
        self.owned.binary_search(&upstream).is_ok()
    }

    /// Returns the owner of an upstream of this instance's zone.
    pub fn owner(&self, upstream: UpstreamId) -> Option<InstanceId> {
        find(&self.owners, upstream)
    }
}

fn owners(membership: &Membership, now: Instant) -> Vec<(UpstreamId, InstanceId)> {
    let topology: &Topology = membership.topology();
    let zone = topology.instance(membership.me()).zone;
    let members = membership.owners_in(zone, now);
    topology
        .upstream_ids()
        .filter(|upstream| topology.upstream(*upstream).zone == zone)
        .filter_map(|upstream| Some((upstream, owner(upstream, &members)?)))
        .collect()
}

fn owned_by(me: InstanceId, owners: &[(UpstreamId, InstanceId)]) -> Vec<UpstreamId> {
    let mine = owners.iter().filter(|(_, owner)| *owner == me);
    mine.map(|(upstream, _)| *upstream).collect()
}

fn find(owners: &[(UpstreamId, InstanceId)], upstream: UpstreamId) -> Option<InstanceId> {
    let position = owners.binary_search_by_key(&upstream, |(id, _)| *id).ok()?;
    Some(owners[position].1)
}

fn is_handed_over(
    handed_over: &[UpstreamHandOver],
    upstream: UpstreamId,
    from: InstanceId,
) -> bool {
    let matches =
        |hand_over: &UpstreamHandOver| hand_over.upstream == upstream && hand_over.from == from;
    handed_over.iter().any(matches)
}

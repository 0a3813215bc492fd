use laburnumdeal_model::{InstanceId, UpstreamId};
use twox_hash::XxHash64;

/// Returns the member that owns an upstream by rendezvous hashing, or `None` without members.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{InstanceId, UpstreamId};
/// use laburnumdeal_policy::owner;
///
/// let members = [InstanceId(1), InstanceId(2)];
/// let first = owner(UpstreamId(7), &members).unwrap();
/// assert!(members.contains(&first));
/// assert_eq!(owner(UpstreamId(7), &[first]), Some(first));
/// ```
pub fn owner(upstream: UpstreamId, members: &[InstanceId]) -> Option<InstanceId> {
    let weight = |member: &InstanceId| {
        let seed = u64::from(member.0);
        (XxHash64::oneshot(seed, &upstream.0.to_be_bytes()), *member)
    };
    members.iter().copied().max_by_key(weight)
}

use laburnumdeal_model::{InstanceId, ZoneId};
use twox_hash::XxHash64;

use crate::KeyId;

/// Returns home and mirror of a tokenless key, by rendezvous hashing over the configured members.
///
/// The mirror is in another zone if there is one. Without members, the home is instance 0.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{InstanceId, ZoneId};
/// use laburnumdeal_policy::{KeyId, pair_for_tokenless_key};
///
/// let members = [(InstanceId(0), ZoneId(0)), (InstanceId(1), ZoneId(1))];
/// let (home, mirror) = pair_for_tokenless_key(KeyId::of("rent-7"), &members);
/// assert_ne!(Some(home), mirror);
/// ```
pub fn pair_for_tokenless_key(
    key: KeyId,
    members: &[(InstanceId, ZoneId)],
) -> (InstanceId, Option<InstanceId>) {
    let Some(&(home, home_zone)) = members.iter().max_by_key(|(id, _)| weight(key, *id)) else {
        return (InstanceId(0), None);
    };
    let mirror = members
        .iter()
        .filter(|(id, _)| *id != home)
        .max_by_key(|(id, zone)| (*zone != home_zone, weight(key, *id)));
    (home, mirror.map(|(id, _)| *id))
}

fn weight(key: KeyId, instance: InstanceId) -> (u64, InstanceId) {
    let hash = XxHash64::oneshot(u64::from(instance.0), &key.to_bytes());
    (hash, instance)
}

use laburnumdeal_model::{ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::ServiceLoad;

/// Load of an availability zone: one entry a service, however many instances and upstreams it has.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::{ServiceLoad, ZoneLoad};
///
/// let room = ServiceLoad { service: ServiceId(0), slots: 9, in_flight: 4, queued: 0 };
/// let part = ZoneLoad { zone: ZoneId(1), members: 1, age_ms: 10, services: vec![room] };
/// let sum = ZoneLoad::sum(ZoneId(1), [part.clone(), part]);
/// assert_eq!(sum.members, 2);
/// assert_eq!(sum.service(ServiceId(0)).unwrap().free(), 10);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Availability zone.
    pub zone: ZoneId,
    /// Entry instances that are summed up.
    pub members: u16,
    /// Age of the oldest part when the digest was sent.
    pub age_ms: u64,
    /// SlotCounts by service, in key order.
    pub services: Vec<ServiceLoad>,
}

impl ZoneLoad {
    /// Returns the sum of the parts that instances of a zone reported; parts of other zones are
    /// passed over.
    pub fn sum(zone: ZoneId, parts: impl IntoIterator<Item = Self>) -> Self {
        let mut sum = Self {
            zone,
            members: 0,
            age_ms: 0,
            services: Vec::new(),
        };
        for part in parts.into_iter().filter(|part| part.zone == zone) {
            sum.members = sum.members.saturating_add(part.members);
            sum.age_ms = sum.age_ms.max(part.age_ms);
            for room in part.services {
                sum.add(room);
            }
        }
        sum
    }

    /// Returns the room of a service.
    pub fn service(&self, service: ServiceId) -> Option<ServiceLoad> {
        let position = self
            .services
            .binary_search_by_key(&service, |room| room.service)
            .ok()?;
        Some(self.services[position])
    }

    fn add(&mut self, room: ServiceLoad) {
        match self
            .services
            .binary_search_by_key(&room.service, |other| other.service)
        {
            Ok(position) => {
                let sum = &mut self.services[position];
                sum.slots = sum.slots.saturating_add(room.slots);
                sum.in_flight = sum.in_flight.saturating_add(room.in_flight);
                sum.queued = sum.queued.saturating_add(room.queued);
            }
            Err(position) => self.services.insert(position, room),
        }
    }
}

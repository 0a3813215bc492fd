use laburnumdeal_model::{ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::ServiceLoad;

/// Load of an availability zone with one entry per service. Its size doesn't grow with the number
/// of instances and upstreams.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{ServiceId, ZoneId};
/// use laburnumdeal_policy::{ServiceLoad, ZoneLoad};
///
/// let load = ServiceLoad { service: ServiceId(0), slots: 9, in_flight: 4, queued: 0 };
/// let report = ZoneLoad { zone: ZoneId(1), members: 1, age_ms: 10, services: vec![load] };
/// let sum = ZoneLoad::sum(ZoneId(1), [report.clone(), report]);
/// assert_eq!(sum.members, 2);
/// assert_eq!(sum.service(ServiceId(0)).unwrap().free(), 10);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of entry instances whose reports are summed up.
    pub members: u16,
    /// Age of the oldest report in the sum at the time of sending.
    pub age_ms: u64,
    /// Load of each service, in key order.
    pub services: Vec<ServiceLoad>,
}

impl ZoneLoad {
    /// Returns the sum of the reports of a zone's instances. Reports of other zones are ignored.
    pub fn sum(zone: ZoneId, reports: impl IntoIterator<Item = Self>) -> Self {
        let mut sum = Self {
            zone,
            members: 0,
            age_ms: 0,
            services: Vec::new(),
        };
        for report in reports.into_iter().filter(|report| report.zone == zone) {
            sum.members = sum.members.saturating_add(report.members);
            sum.age_ms = sum.age_ms.max(report.age_ms);
            for load in report.services {
                sum.add(load);
            }
        }
        sum
    }

    /// Returns the load of a service.
    pub fn service(&self, service: ServiceId) -> Option<ServiceLoad> {
        let position = self
            .services
            .binary_search_by_key(&service, |load| load.service)
            .ok()?;
        Some(self.services[position])
    }

    fn add(&mut self, load: ServiceLoad) {
        match self
            .services
            .binary_search_by_key(&load.service, |other| other.service)
        {
            Ok(position) => {
                let sum = &mut self.services[position];
                sum.slots = sum.slots.saturating_add(load.slots);
                sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
                sum.queued = sum.queued.saturating_add(load.queued);
            }
            Err(position) => self.services.insert(position, load),
        }
    }
}

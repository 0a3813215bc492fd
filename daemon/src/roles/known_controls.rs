use std::net::SocketAddr;
use std::sync::Mutex;

use laburnumdeal_policy::steer::hash_of;

use crate::roles::control_record::ControlRecord;

/// Control instances known to an entry instance: the seeds of its settings, and those that a
/// control instance reported.
#[derive(Debug)]
pub(super) struct KnownControls {
    seeds: Mutex<Vec<SocketAddr>>,
    known: Mutex<Vec<Control>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Control {
    address: SocketAddr,
    region: String,
}

impl KnownControls {
    /// Creates the set from the seeds of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let known = seeds.iter().copied().map(Control::without_region).collect();
        Self {
            seeds: Mutex::new(seeds),
            known: Mutex::new(known),
        }
    }

    /// Replaces the seeds after the settings were reloaded.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        let mut known = self.known.lock().expect("no holder panics");
        add_missing(&mut known, &seeds);
        drop(known);
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Replaces the known control instances by the members that one of them reported. The seeds
    /// stay known, and an empty report changes nothing.
    pub fn update(&self, records: &[ControlRecord]) {
        let reported = records.iter().filter_map(|record| {
            let address = record.address.parse().ok()?;
            let region = record.region.clone();
            Some(Control { address, region })
        });
        let mut reported: Vec<Control> = reported.collect();
        if reported.is_empty() {
            return;
        }
        let seeds = self.seeds.lock().expect("no holder panics").clone();
        add_missing(&mut reported, &seeds);
        *self.known.lock().expect("no holder panics") = reported;
    }

    /// Returns the addresses of all known control instances.
    pub fn all(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        known.iter().map(|control| control.address).collect()
    }

    /// Returns the addresses of all known control instances, those of a region first. `salt`
    /// decides the order within the groups, so that instances with different salts spread their
    /// load.
    pub fn nearest_first(&self, region: &str, salt: &str) -> Vec<SocketAddr> {
        let mut known = self.known.lock().expect("no holder panics").clone();
        known.sort_by_cached_key(|control| {
            let address = control.address.to_string();
            let order = hash_of(&[salt.as_bytes(), address.as_bytes()]);
            (control.region != region, order)
        });
        known.iter().map(|control| control.address).collect()
    }
}

impl Control {
    fn without_region(address: SocketAddr) -> Self {
        let region = String::new();
        Self { address, region }
    }
}

fn add_missing(known: &mut Vec<Control>, seeds: &[SocketAddr]) {
    for seed in seeds {
        if !known.iter().any(|control| control.address == *seed) {
            known.push(Control::without_region(*seed));
        }
    }
}

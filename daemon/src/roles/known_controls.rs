use std::net::SocketAddr;
use std::sync::Mutex;

use laburnumdeal_policy::steer::hash_of;

use crate::roles::control_record::ControlRecord;

/// Control instances that an entry instance knows.
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
    /// Starts with the seeds of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let known = seeds.iter().copied().map(Control::unplaced).collect();
        Self {
            seeds: Mutex::new(seeds),
            known: Mutex::new(known),
        }
    }

    /// Takes over the seeds of new settings.
    pub fn reseed(&self, seeds: Vec<SocketAddr>) {
        let mut known = self.known.lock().expect("no holder panics");
        add_missing(&mut known, &seeds);
        drop(known);
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Takes over what a control instance told of all of them.
    pub fn take(&self, records: &[ControlRecord]) {
        let told = records.iter().filter_map(|record| {
            let address = record.address.parse().ok()?;
            let region = record.region.clone();
            Some(Control { address, region })
        });
        let mut told: Vec<Control> = told.collect();
        if told.is_empty() {
            return;
        }
        let seeds = self.seeds.lock().expect("no holder panics").clone();
        add_missing(&mut told, &seeds);
        *self.known.lock().expect("no holder panics") = told;
    }

    /// Returns every control instance that is known.
    pub fn all(&self) -> Vec<SocketAddr> {
        let known = self.known.lock().expect("no holder panics");
        known.iter().map(|control| control.address).collect()
    }

    /// Returns every control instance, those of a region first; `salt` decides the order among
    /// equals, so that instances with different salts spread.
    pub fn near_first(&self, region: &str, salt: &str) -> Vec<SocketAddr> {
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
    fn unplaced(address: SocketAddr) -> Self {
        let region = String::new();
        Self { address, region }
    }
}

fn add_missing(known: &mut Vec<Control>, seeds: &[SocketAddr]) {
    for seed in seeds {
        if !known.iter().any(|control| control.address == *seed) {
            known.push(Control::unplaced(*seed));
        }
    }
}

use std::sync::RwLock;

use laburnumdeal_model::{InstanceId, Topology};

/// Names of the instances that replicas run on, by small keys. A key stays valid for as long as
/// the process runs; the names only grow in number.
///
/// # Examples
///
/// ```
/// use laburnumdeal_control::InstanceNames;
///
/// let names = InstanceNames::extensible();
/// let key = names.key("10.0.0.1").unwrap();
/// assert_eq!(names.key("10.0.0.1"), Some(key));
/// assert_eq!(names.name(key), "10.0.0.1");
/// ```
#[derive(Debug)]
pub struct InstanceNames {
    list: RwLock<Vec<String>>,
    grows: bool,
}

impl InstanceNames {
    /// Returns the instances of a topology, under their keys there. No others are known.
    pub fn from_topology(topology: &Topology) -> Self {
        let names = topology.instances.iter().map(|i| i.name.clone());
        Self {
            list: RwLock::new(names.collect()),
            grows: false,
        }
    }

    /// Returns an empty list that takes in each name it is asked for.
    pub fn extensible() -> Self {
        Self {
            list: RwLock::default(),
            grows: true,
        }
    }

    /// Returns the key of a name; `None` when it is not known and the list does not grow.
    pub fn key(&self, name: &str) -> Option<InstanceId> {
        let known = self.position(name);
        if known.is_some() || !self.grows {
            return known;
        }
        let mut list = self.list.write().expect("no holder panics");
        if let Some(position) = list.iter().position(|other| other == name) {
            return Some(InstanceId(position as u16));
        }
        let key = u16::try_from(list.len()).ok()?;
        list.push(name.to_owned());
        Some(InstanceId(key))
    }

    /// Returns the name of a key.
    ///
    /// # Panics
    ///
    /// Panics for a key that this list did not give out.
    pub fn name(&self, key: InstanceId) -> String {
        self.list.read().expect("no holder panics")[key.index()].clone()
    }

    fn position(&self, name: &str) -> Option<InstanceId> {
        let list = self.list.read().expect("no holder panics");
        let position = list.iter().position(|other| other == name)?;
        Some(InstanceId(position as u16))
    }
}

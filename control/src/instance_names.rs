use std::sync::RwLock;

use laburnumdeal_model::{InstanceId, Topology};

/// Names of the instances that replicas run on, interned as small ids. An id stays valid until the
/// process ends, since names are never removed.
///
/// # Examples
///
/// ```
/// use laburnumdeal_control::InstanceNames;
///
/// let names = InstanceNames::extensible();
/// let id = names.id("10.0.0.1").unwrap();
/// assert_eq!(names.id("10.0.0.1"), Some(id));
/// assert_eq!(names.name(id), "10.0.0.1");
/// ```
#[derive(Debug)]
pub struct InstanceNames {
    list: RwLock<Vec<String>>,
    is_extensible: bool,
}

impl InstanceNames {
    /// Creates a fixed list from the instances of a topology, which keep their ids.
    pub fn from_topology(topology: &Topology) -> Self {
        let names = topology.instances.iter().map(|i| i.name.clone());
        Self {
            list: RwLock::new(names.collect()),
            is_extensible: false,
        }
    }

    /// Creates an empty list that adds every name it is asked for.
    pub fn extensible() -> Self {
        Self {
            list: RwLock::default(),
            is_extensible: true,
        }
    }

    /// Returns the id of a name, adding the name to an extensible list. Returns `None` if a fixed
    /// list does not contain it, or if the ids are used up.
    pub fn id(&self, name: &str) -> Option<InstanceId> {
        let known = self.position(name);
        if known.is_some() || !self.is_extensible {
            return known;
        }
        let mut list = self.list.write().expect("the lock is not poisoned");
        if let Some(position) = list.iter().position(|other| other == name) {
            return Some(InstanceId(position as u16));
        }
        let id = u16::try_from(list.len()).ok()?;
        list.push(name.to_owned());
        Some(InstanceId(id))
    }

    /// Returns the name with an id.
    ///
    /// # Panics
    ///
    /// Panics if the id does not come from this list.
    pub fn name(&self, id: InstanceId) -> String {
        self.list.read().expect("the lock is not poisoned")[id.index()].clone()
    }

    fn position(&self, name: &str) -> Option<InstanceId> {
        let list = self.list.read().expect("the lock is not poisoned");
        let position = list.iter().position(|other| other == name)?;
        Some(InstanceId(position as u16))
    }
}

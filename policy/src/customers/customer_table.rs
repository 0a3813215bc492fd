use std::collections::HashMap;
use std::fmt;

use laburnumdeal_model::Items;

use crate::customers::Customer;

/// Length of the secret that hashes of keys depend on.
pub const SECRET_BYTES: usize = 32;

/// Customers that metrics show by name, which bounds the number of series.
const MAX_SHOWN: usize = 32;

/// Key of a customer in a [`CustomerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CustomerKey(u32);

/// Customers of one configuration. It holds hashes of their keys that depend on a secret, so that the
/// time of a look-up says nothing of the keys.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{CustomerItem, Item, ItemKey, Items, NamedItem};
/// use laburnumdeal_policy::customers::CustomerTable;
///
/// let customer = CustomerItem { api_keys: vec!["k-1".into()], ..Default::default() };
/// let item = Item { version: 1, value: Some(customer.into()), original: String::new() };
/// let named = NamedItem { key: ItemKey::Customer("amma".into()), item };
/// let items = Items::default().merged(&[named]).unwrap();
///
/// let table = CustomerTable::new(&items, &rand::random());
/// let key = table.find(b"k-1").unwrap();
/// assert_eq!(table.get(key).name, "amma");
/// assert!(table.find(b"k-2").is_none());
/// ```
#[derive(Default)]
pub struct CustomerTable {
    secret: [u8; SECRET_BYTES],
    by_hash: HashMap<[u8; 32], CustomerKey>,
    by_name: HashMap<String, CustomerKey>,
    customers: Vec<Customer>,
}

impl fmt::Debug for CustomerTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("CustomerTable");
        shown.field("customers", &self.customers.len());
        shown.finish_non_exhaustive()
    }
}

impl CustomerTable {
    /// Returns the customers of the items. The secret is random, and differs between processes.
    pub fn new(items: &Items, secret: &[u8; SECRET_BYTES]) -> Self {
        let mut table = Self {
            secret: *secret,
            ..Self::default()
        };
        for (name, item) in items.customers() {
            let key = CustomerKey(table.customers.len() as u32);
            table.customers.push(Customer {
                name: name.to_owned(),
                priority: item.priority,
                rate_milli_per_s: item.rate_milli_per_s,
                burst: item.burst,
                regions: item.regions.clone(),
                is_shown: false,
            });
            table.by_name.insert(name.to_owned(), key);
            for api_key in &item.api_keys {
                table.by_hash.insert(table.hash(api_key.as_bytes()), key);
            }
        }
        table.show_largest();
        table
    }

    /// Returns whether there is no customer, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the customer that has a key.
    pub fn find(&self, api_key: &[u8]) -> Option<CustomerKey> {
        self.by_hash.get(&self.hash(api_key)).copied()
    }

    /// Returns the customer with a name.
    pub fn by_name(&self, name: &str) -> Option<CustomerKey> {
        self.by_name.get(name).copied()
    }

    /// Returns a customer.
    ///
    /// # Panics
    ///
    /// Panics if the key is from another table.
    pub fn get(&self, key: CustomerKey) -> &Customer {
        &self.customers[key.0 as usize]
    }

    /// Returns all customers.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.iter()
    }

    fn show_largest(&mut self) {
        let mut largest: Vec<&mut Customer> = self.customers.iter_mut().collect();
        largest.sort_by_key(|customer| std::cmp::Reverse(customer.rate_milli_per_s));
        for customer in largest.into_iter().take(MAX_SHOWN) {
            customer.is_shown = true;
        }
    }

    fn hash(&self, api_key: &[u8]) -> [u8; 32] {
        *blake3::keyed_hash(&self.secret, api_key).as_bytes()
    }
}

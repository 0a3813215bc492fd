use laburnumdeal_model::{CustomerItem, Item, ItemKey, Items, NamedItem};
use laburnumdeal_policy::customers::CustomerTable;

fn items(customers: usize) -> Items {
    let named = |number: usize| {
        let customer = CustomerItem {
            api_keys: vec![format!("k-{number}-a"), format!("k-{number}-b")],
            rate_milli_per_s: number as u64 * 1_000,
            ..CustomerItem::default()
        };
        let item = Item {
            version: 1,
            value: Some(customer.into()),
            original: String::new(),
        };
        NamedItem {
            key: ItemKey::Customer(format!("customer-{number}")),
            item,
        }
    };
    let changes: Vec<NamedItem> = (0..customers).map(named).collect();
    Items::default().merged(&changes).unwrap()
}

#[test]
fn find_each_key_is_that_of_its_customer() {
    let table = CustomerTable::new(&items(100), &[7; 32]);
    for number in 0..100 {
        for key in ["a", "b"] {
            let found = table.find(format!("k-{number}-{key}").as_bytes()).unwrap();
            assert_eq!(table.get(found).name, format!("customer-{number}"));
        }
    }
    for unknown in ["", "k-1", "k-1-c", "k-1-a "] {
        assert_eq!(table.find(unknown.as_bytes()), None, "{unknown:?}");
    }
}

// Guards against: the number of series of metrics grows with the customers.
#[test]
fn new_shows_the_customers_with_the_highest_rates() {
    let table = CustomerTable::new(&items(100), &[7; 32]);
    let shown = table.iter().filter(|customer| customer.is_shown);
    let mut rates: Vec<u64> = shown.map(|customer| customer.rate_milli_per_s).collect();
    rates.sort_unstable();
    assert_eq!(rates.len(), 32);
    assert_eq!((rates[0], rates[31]), (68_000, 99_000));
}

use derive_more::Display;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use laburnumdeal_model::RouteItem;
use laburnumdeal_policy::customers::{Customer, CustomerKey, CustomerTable};

use crate::roles::HeaderCodec;
use crate::roles::forwarding::Origin;

/// Reason why it is not known who sent a request. Its text goes into the answer and the log.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Unidentified {
    /// The request has no key.
    #[display("the key is missing")]
    Missing,
    /// It has several keys.
    #[display("there is more than one key")]
    Ambiguous,
    /// No customer has its key.
    #[display("no customer has the key")]
    Unknown,
}

/// Returns the customer that sent a request; `None` if the request needs no key. Another entry
/// instance that has checked the key names the customer in its place.
pub(super) fn identify<H: HeaderCodec>(
    headers: &HeaderMap,
    customers: &CustomerTable,
    route: &RouteItem,
    origin: Origin,
) -> Result<Option<CustomerKey>, Unidentified> {
    if customers.is_empty() || route.is_public {
        return Ok(None);
    }
    let customer = match origin.is_unchecked() {
        true => customers.find(single(headers, &H::CUSTOMER_KEY)?),
        false => {
            let name = single(headers, &H::CUSTOMER)?;
            str::from_utf8(name)
                .ok()
                .and_then(|name| customers.by_name(name))
        }
    };
    customer.map(Some).ok_or(Unidentified::Unknown)
}

/// Replaces what a request says of its customer by what this instance knows, for the next hop. The key
/// goes no further.
pub(super) fn replace_headers<H: HeaderCodec>(
    headers: &mut HeaderMap,
    customers: &CustomerTable,
    customer: Option<&Customer>,
) {
    if customers.is_empty() {
        return;
    }
    headers.remove(H::CUSTOMER_KEY);
    headers.remove(H::CUSTOMER);
    if let Some(customer) = customer {
        let name = HeaderValue::from_bytes(customer.name.as_bytes());
        headers.insert(H::CUSTOMER, name.expect("no name has a control character"));
    }
}

fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a [u8], Unidentified> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().ok_or(Unidentified::Missing)?;
    match values.next() {
        Some(_) => Err(Unidentified::Ambiguous),
        None => Ok(value.as_bytes()),
    }
}

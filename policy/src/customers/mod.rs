//! Who is calling: the customers of the configuration, and what holds for their requests.

mod caller_terms;
mod customer;
mod customer_table;

pub use caller_terms::CallerTerms;
pub use customer::Customer;
pub use customer_table::{CustomerKey, CustomerTable};

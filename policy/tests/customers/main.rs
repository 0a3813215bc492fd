//! Customers: who is calling, and what holds for it.

mod terms;

//! Keeps docs/PROOF.md true to the tables.

use std::path::Path;

#[test]
fn page_is_what_the_tables_say() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/PROOF.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        page,
        laburnumdeal_tests::proof_page(),
        "run the example 'proof'"
    );
}

//! Compares docs/PROOF.md with the output of its generator.

use std::path::Path;

#[test]
fn page_equals_generated_text() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/PROOF.md");
    let page = std::fs::read_to_string(path).unwrap();
    assert_eq!(
        page,
        laburnumdeal_tests::proof_page(),
        "docs/PROOF.md is out of date; write it with the example 'proof'"
    );
}

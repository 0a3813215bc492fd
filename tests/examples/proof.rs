//! Writes docs/PROOF.md from the tables of the matrices.

use std::path::Path;

fn main() -> std::io::Result<()> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/PROOF.md");
    std::fs::write(page, laburnumdeal_tests::proof_page())
}

//! Writes docs/PROOF.md.

use std::path::Path;

fn main() -> std::io::Result<()> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/PROOF.md");
    std::fs::write(page, laburnumdeal_tests::proof_page())
}

use laburnumdeal_model::Digest;
use subtle::ConstantTimeEq;

/// Proves to other instances that this one knows the peers' secret and has the same topology.
#[derive(Clone)]
pub struct PeerProof {
    key: [u8; 32],
}

/// Context string that separates this use of the secret from others.
const CONTEXT: &str = "laburnumdeal 2026-12 peer proof";

impl PeerProof {
    /// Derives the proof key from the secret of the settings and the topology, without which keys
    /// in messages mean nothing.
    pub fn new(secret: &str, topology: Digest) -> Self {
        let mut material = secret.as_bytes().to_vec();
        material.extend(topology.0);
        Self {
            key: blake3::derive_key(CONTEXT, &material),
        }
    }

    /// Returns the text that proves `from` to `to`.
    pub fn prove(&self, from: &str, to: &str) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(from.len() as u64).to_le_bytes());
        hasher.update(from.as_bytes());
        hasher.update(to.as_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// Returns whether `proof` is what `from` would send to `to`, compared in constant time.
    pub fn verify(&self, from: &str, to: &str, proof: &str) -> bool {
        self.prove(from, to)
            .as_bytes()
            .ct_eq(proof.as_bytes())
            .into()
    }
}

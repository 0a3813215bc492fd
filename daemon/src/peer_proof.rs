use laburnumdeal_model::Digest;
use subtle::ConstantTimeEq;

/// Authenticates instances to each other: proves that the sender knows the shared secret and has
/// the same topology.
#[derive(Clone)]
pub struct PeerProof {
    key: [u8; 32],
}

/// Context string of the key derivation, which separates this use of the secret from others.
const CONTEXT: &str = "laburnumdeal 2026-12 peer proof";

impl PeerProof {
    /// Derives the proof key from the secret in the settings and the topology. The topology is part
    /// of it because ids in messages are only valid under the same topology.
    pub fn new(secret: &str, topology: Digest) -> Self {
        let mut material = secret.as_bytes().to_vec();
        material.extend(topology.0);
        Self {
            key: blake3::derive_key(CONTEXT, &material),
        }
    }

    /// Returns the text that proves the identity of `from` to `to`.
    pub fn prove(&self, from: &str, to: &str) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(from.len() as u64).to_le_bytes());
        hasher.update(from.as_bytes());
        hasher.update(to.as_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// Returns whether `proof` is the one that `from` sends to `to`; compares in constant time.
    pub fn verify(&self, from: &str, to: &str, proof: &str) -> bool {
        self.prove(from, to)
            .as_bytes()
            .ct_eq(proof.as_bytes())
            .into()
    }
}

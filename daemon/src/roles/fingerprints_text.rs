/// Limit on the fingerprints in one log line.
const MAX_LOGGED: usize = 8;

/// Returns the first fingerprints, for a log line.
pub fn fingerprints_text(fingerprints: &[u64]) -> String {
    let logged = fingerprints.iter().take(MAX_LOGGED);
    let texts: Vec<String> = logged.map(|hash| format!("{hash:016x}")).collect();
    texts.join(",")
}

/// Form of a command and what it does, for help texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verb {
    /// Form of the command; words in capitals stand for values.
    pub usage: &'static str,
    /// What the command does.
    pub summary: &'static str,
}

/// Every form of a command.
pub const VERBS: [Verb; 17] = [
    verb(
        "show SUBJECT [where COLUMN = VALUE [and COLUMN != VALUE]]",
        "prints upstreams, instances, zones, regions, services, drains, caps, steering, configuration or status",
    ),
    verb(
        "explain SERVICE from ADDRESS [key KEY]",
        "lists where a request would go, and every candidate with its reason",
    ),
    verb(
        "explain request ID",
        "lists why a past request went where it did",
    ),
    verb(
        "drain upstream|zone|region NAME [at TIME] [for DURATION] [by SHARE every DURATION]",
        "moves work away, step by step",
    ),
    verb("undrain upstream|zone|region NAME", "ends a drain"),
    verb(
        "cap shift SERVICE at N per s",
        "caps requests that are served away from their own zone",
    ),
    verb("cap region NAME at N per s", "caps what a region takes in"),
    verb(
        "cap link NAME to NAME at N UNIT per s",
        "caps the bytes sent over a link, one way",
    ),
    verb(
        "allow SERVICE upstreams NAME[, NAME]",
        "restricts a service to the named upstreams",
    ),
    verb(
        "steer BLOCK[, BLOCK] to ZONE[, ZONE]",
        "steers callers to zones, the preferred one first",
    ),
    verb("unsteer BLOCK", "removes the steering of a block"),
    verb("history [last N] [since VERSION]", "prints changes"),
    verb(
        "revert to VERSION",
        "restores an earlier version as a new change",
    ),
    verb("audit verify", "checks the hash chain of the audit trail"),
    verb(
        "audit records [from INDEX] [limit N]",
        "prints records of the audit trail",
    ),
    verb(
        "CHANGE [based on VERSION] [force]",
        "refuses a change when another came first; accepts one that leaves a service without room",
    ),
    verb(
        "CHANGE dry-run",
        "prints the outcome without making the change",
    ),
];

const fn verb(usage: &'static str, summary: &'static str) -> Verb {
    Verb { usage, summary }
}

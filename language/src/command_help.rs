/// Help text of one form of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandHelp {
    /// Syntax of the command; words in capitals are placeholders for values.
    pub usage: &'static str,
    /// What the command does.
    pub summary: &'static str,
}

/// Help texts of all commands and of the options of a change.
pub const COMMAND_HELP: [CommandHelp; 17] = [
    help(
        "show SUBJECT [where COLUMN = VALUE [and COLUMN != VALUE]]",
        "prints upstreams, instances, zones, regions, services, drains, caps, steering, configuration or status",
    ),
    help(
        "explain SERVICE from ADDRESS [key KEY]",
        "lists where a request would go, and every candidate with its reason",
    ),
    help(
        "explain request ID",
        "lists why a past request went where it did",
    ),
    help(
        "drain upstream|zone|region NAME [at TIME] [for DURATION] [by SHARE every DURATION]",
        "moves work away, step by step",
    ),
    help("undrain upstream|zone|region NAME", "ends a drain"),
    help(
        "cap shift SERVICE at N per s",
        "caps requests that are served away from their own zone",
    ),
    help("cap region NAME at N per s", "caps what a region takes in"),
    help(
        "cap link NAME to NAME at N UNIT per s",
        "caps the bytes sent over a link, one way",
    ),
    help(
        "allow SERVICE upstreams NAME[, NAME]",
        "restricts a service to the named upstreams",
    ),
    help(
        "steer BLOCK[, BLOCK] to ZONE[, ZONE]",
        "steers callers to zones, the preferred one first",
    ),
    help("unsteer BLOCK", "removes the steering of a block"),
    help("history [last N] [since VERSION]", "prints changes"),
    help(
        "revert to VERSION",
        "restores an earlier version as a new change",
    ),
    help("audit verify", "checks the hash chain of the audit trail"),
    help(
        "audit records [from INDEX] [limit N]",
        "prints records of the audit trail",
    ),
    help(
        "CHANGE [based on VERSION] [force]",
        "refuses a change when another came first; accepts one that leaves a service without room",
    ),
    help(
        "CHANGE dry-run",
        "prints the outcome without making the change",
    ),
];

const fn help(usage: &'static str, summary: &'static str) -> CommandHelp {
    CommandHelp { usage, summary }
}

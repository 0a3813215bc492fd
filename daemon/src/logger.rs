use std::io;
use std::str::FromStr;

use slog::{Drain, Level, LevelFilter, Logger, o};

/// Maximum number of queued lines; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Returns a logger that writes JSON lines to standard error, and the guard that flushes it.
pub fn open(level: &str, instance: &str) -> (Logger, slog_async::AsyncGuard) {
    open_to(io::stderr(), level, instance)
}

/// Returns a logger that writes JSON lines, and the guard that flushes it.
pub fn open_to(
    writer: impl io::Write + Send + 'static,
    level: &str,
    instance: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let level = Level::from_str(level).unwrap_or(Level::Info);
    let json = slog_json::Json::new(writer)
        .add_default_keys()
        .build()
        .fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(MAX_QUEUED_LINES)
        .build_with_guard();
    let logger = Logger::root(LevelFilter::new(drain.fuse(), level).fuse(), o!());
    (logger.new(o!("instance" => instance.to_owned())), guard)
}

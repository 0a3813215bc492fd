use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;

use crate::violation::Violation;

/// Maximum number of cells that run at the same time, each on its own thread.
const MAX_PARALLEL_CELLS: usize = 8;

/// Time after which a cell counts as stuck; far longer than any cell takes.
const CELL_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs all cells and returns a line for each violated guarantee.
///
/// # Panics
///
/// Panics when a cell panics.
pub fn run_cells<C: Copy + Display + Send + Sync>(
    cells: Vec<C>,
    run: impl AsyncFn(C) -> Vec<Violation> + Sync,
) -> Vec<String> {
    let pending = Mutex::new(cells.into_iter());
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_CELLS {
            scope.spawn(|| {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .expect("the runtime can be built");
                while let Some(cell) = next_cell(&pending) {
                    let violations = runtime.block_on(async {
                        let ended = tokio::time::timeout(CELL_TIMEOUT, run(cell)).await;
                        ended.unwrap_or_else(|_| vec![Violation::Unfinished])
                    });
                    let lines = violations
                        .into_iter()
                        .map(|violation| format!("{cell}: {violation}"));
                    failures
                        .lock()
                        .expect("no panic while locked")
                        .extend(lines);
                }
                runtime.shutdown_background();
            });
        }
    });
    failures.into_inner().expect("no panic while locked")
}

fn next_cell<C>(pending: &Mutex<impl Iterator<Item = C>>) -> Option<C> {
    pending.lock().expect("no panic while locked").next()
}

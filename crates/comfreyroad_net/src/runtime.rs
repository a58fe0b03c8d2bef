//! The loop: one compio runtime on the thread that calls it.

use std::{future::Future, io};

use compio::{
    driver::{DriverType, ProactorBuilder},
    runtime::RuntimeBuilder,
};

/// Threads that compio may start for blocking calls. With none, a blocking call panics.
const POOL_THREADS: usize = 0;

/// Runs `future` to its end on this thread.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut proactor = ProactorBuilder::new();
    proactor
        .driver_type(DriverType::Poll)
        .thread_pool_limit(POOL_THREADS);
    let runtime = RuntimeBuilder::new().with_proactor(proactor).build()?;
    Ok(runtime.block_on(future))
}

//! The event loop: one compio runtime on the calling thread.

use std::{future::Future, io};

use compio::{
    driver::{DriverType, ProactorBuilder},
    runtime::RuntimeBuilder,
};

/// Number of threads that compio may start for blocking calls. With 0 threads a blocking call panics.
const POOL_THREADS: usize = 0;

/// Runs `future` to completion on the calling thread.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut proactor = ProactorBuilder::new();
    proactor
        .driver_type(DriverType::Poll)
        .thread_pool_limit(POOL_THREADS);
    let runtime = RuntimeBuilder::new().with_proactor(proactor).build()?;
    Ok(runtime.block_on(future))
}

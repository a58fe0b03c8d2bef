//! Tests of an entry as a child process with fake services: shutdown under load, number of threads, idle CPU time and
//! request traces.

mod explain;
mod one_thread;
mod shutdown;
mod site;

//! Entries as real processes among stand-ins: shutdown under load, one thread, idle cost, and what they explain.

mod explain;
mod one_thread;
mod shutdown;
mod site;

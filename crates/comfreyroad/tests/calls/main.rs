//! Tests of request handling at one entry, driven event by event: responses, sessions, overload, shutdown and the end
//! of the term.

mod answers;
mod cascade;
mod drain;
mod guard;
mod hedges;
mod model;
mod overload;
mod rig;
mod sessions;
mod term;

//! Requests, refusals and answers as callers see them.

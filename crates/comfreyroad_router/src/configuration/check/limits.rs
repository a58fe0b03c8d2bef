use super::{Finding, Place};
use crate::configuration::Limits;

/// Checks the limits on requests.
pub(super) fn check(limits: &Limits, findings: &mut Vec<Finding>) {
    let (header, idle) = (limits.header_timeout, limits.idle_timeout);
    let errors = [
        (
            limits.max_header_bytes == 0,
            "the limit on header bytes is 0",
        ),
        (header.is_zero(), "the header timeout is 0"),
        (idle.is_zero(), "the idle timeout is 0"),
    ];
    for (is_wrong, text) in errors {
        if is_wrong {
            findings.push(Finding::error(Place::Limits, text));
        }
    }
    if limits.max_body_bytes == 0 {
        let text = "the limit on body bytes is 0, so only requests without a body are accepted";
        findings.push(Finding::warning(Place::Limits, text));
    }
    if !idle.is_zero() && idle < header {
        let text =
            format!("the idle timeout, {idle:?}, is shorter than the header timeout, {header:?}");
        findings.push(Finding::warning(Place::Limits, text));
    }
}

//! Checks a configuration before it is published: what it contradicts, and what it changes.

mod change;
mod changes;
mod customers;
mod finding;
mod limits;
mod place;
mod routes;
mod services;
mod severity;

pub use change::Change;
pub use changes::changes;
pub use finding::Finding;
pub use place::Place;
pub use severity::Severity;

use super::Configuration;

/// Everything that is wrong or suspicious in a configuration.
pub fn findings(configuration: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    routes::check(configuration, &mut findings);
    services::check(configuration, &mut findings);
    customers::check(configuration, &mut findings);
    limits::check(&configuration.limits, &mut findings);
    findings
}

/// The error of a configuration that would not replace the one in force.
pub fn superseded(configuration: &Configuration, in_force: &Configuration) -> Option<Finding> {
    let (new, old) = (configuration.generation, in_force.generation);
    (new <= old).then(|| {
        let text =
            format!("generation {new} is not higher than generation {old}, which is in force");
        Finding::error(Place::Configuration, text)
    })
}

use std::path::Path;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::{Result, folder};

/// Clock ticks per second, the unit of processor time in Linux's `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indices of user and system time among the fields of `/proc/PID/stat` after the program name.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time used by all entries so far.
pub(super) fn time_used(deployment: &Deployment) -> Result<Duration> {
    let mut ticks = 0.0;
    for child in deployment.entries.values() {
        let path = format!("/proc/{}/stat", child.id());
        let stat = folder::read(Path::new(&path))?;
        // The program name is in parentheses and may contain spaces.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        for field in TIME_FIELDS {
            let text = fields.get(field).copied().unwrap_or_default();
            ticks += text.parse::<f64>().unwrap_or_default();
        }
    }
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

use std::path::Path;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::{Result, folder};

/// Clock ticks of Linux in a second, as `/proc` counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the program's name that hold user and system time.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time that all entries have used.
pub(super) fn time_used(deployment: &Deployment) -> Result<Duration> {
    let mut ticks = 0.0;
    for child in deployment.entries.values() {
        let path = format!("/proc/{}/stat", child.id());
        let stat = folder::read(Path::new(&path))?;
        // The name stands in brackets and may hold blanks.
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = rest.split_whitespace().collect();
        for field in TIME_FIELDS {
            let text = fields.get(field).copied().unwrap_or_default();
            ticks += text.parse::<f64>().unwrap_or_default();
        }
    }
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

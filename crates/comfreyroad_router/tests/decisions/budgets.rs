use comfreyroad_router::answer::Fault;
use quickcheck::{TestResult, quickcheck};

use super::rig::{Rig, head};

quickcheck! {
    /// The bound of the deployment: 0.9 extra sendings a request, and 54 for all entries together.
    fn extra_sendings_stay_within_the_budget(requests: u16) -> TestResult {
        let requests = usize::from(requests % 400) + 1;
        let mut rig = Rig::serving("e1");
        let mut extra = 0;
        for number in 0..requests {
            let Some(mut sent) = rig.send(head(rig.now, "again", &format!("r{number}"))) else {
                continue;
            };
            while let Ok(request) = rig.router.failed(rig.now, sent, Fault::Failed) {
                match rig.resend(request) {
                    Some(again) => {
                        extra += 1;
                        sent = again;
                    }
                    None => break,
                }
            }
        }
        // This entry alone assumes that there are three.
        let bound = 0.9 * requests as f64 + 54.0 / 3.0;
        TestResult::from_bool(f64::from(extra) <= bound)
    }
}

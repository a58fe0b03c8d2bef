use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

/// A timer that stays armed while its deadline moves on, so that a wait that ends early costs none.
#[derive(Default)]
pub(super) struct Timer {
    armed: Option<Armed>,
}

struct Armed {
    at: Instant,
    sleep: Pin<Box<dyn Future<Output = ()>>>,
}

impl Timer {
    /// Ready once `deadline` has passed.
    pub(super) fn poll_elapsed(&mut self, cx: &mut Context<'_>, deadline: Instant) -> Poll<()> {
        loop {
            match &mut self.armed {
                Some(armed) if armed.at <= deadline => {
                    ready!(armed.sleep.as_mut().poll(cx));
                    self.armed = None;
                    if deadline <= Instant::now() {
                        return Poll::Ready(());
                    }
                }
                _ => {
                    self.armed = Some(Armed {
                        at: deadline,
                        sleep: Box::pin(compio::time::sleep_until(deadline)),
                    });
                }
            }
        }
    }
}

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.armed.as_ref().map(|armed| armed.at);
        f.debug_struct("Timer").field("at", &at).finish()
    }
}

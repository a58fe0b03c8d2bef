use std::cell::Cell;
use std::rc::Rc;

/// Counts a request for its customer for as long as it holds a slot, released on drop.
#[derive(Debug)]
pub struct Hold {
    open: Rc<Cell<u32>>,
}

impl Hold {
    pub(super) fn acquire(open: &Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

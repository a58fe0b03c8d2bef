/// Evidence that not a byte of a request was written to its upstream.
///
/// A front end makes one when a connection could not be set up, and in no other case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwritten(());

impl Unwritten {
    /// The connection was never set up.
    pub fn no_connection() -> Self {
        Self(())
    }
}

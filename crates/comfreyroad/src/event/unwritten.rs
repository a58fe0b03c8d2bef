/// Proof that no byte of a request was written to its upstream.
///
/// A front end creates it only when the connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unwritten(());

impl Unwritten {
    /// The connection was never established.
    pub fn no_connection() -> Self {
        Self(())
    }
}

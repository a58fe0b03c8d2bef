/// Proof that an upstream has not run a request and never will.
///
/// Only [`crate::answer`] and a connection that was not made give one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No byte of the request left this process.
    NotSent,
    /// The upstream is full.
    Full,
    /// Another upstream, or another start of it, has the address.
    Misdirected,
}

impl Rejection {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
        }
    }
}

/// Proof that an upstream has not run a request and never will.
///
/// It comes only from [`crate::answer`] or from a failure to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream has no free slot.
    Full,
    /// The address now belongs to another upstream, or to another incarnation of the same one.
    Misdirected,
}

impl Rejection {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Full => "full",
            Self::Misdirected => "misdirected",
        }
    }
}

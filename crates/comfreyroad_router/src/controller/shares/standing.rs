/// Where a customer stands with its share of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It uses no more than its share, or room is not short.
    #[default]
    Within,
    /// Room is short, and it uses more than its share.
    Beyond,
}

impl Standing {
    /// Whether the customer uses more than its share while room is short.
    pub fn is_beyond(self) -> bool {
        self == Self::Beyond
    }

    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Within => "within",
            Self::Beyond => "beyond",
        }
    }
}

/// Exit status of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// Success.
    Ok,
    /// Refused, incomplete, or not done before the deadline.
    Refused,
    /// Invalid command line.
    Usage,
    /// A peer could not be reached.
    Unreachable,
}

impl Exit {
    /// The exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
        }
    }
}

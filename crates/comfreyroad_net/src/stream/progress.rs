/// How much of a request's body was handed to the socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Progress {
    /// All of it, or there is none.
    #[default]
    Sent,
    /// hyper has all of it, and may have to write more.
    Buffered,
    /// More of it may come.
    Open,
}

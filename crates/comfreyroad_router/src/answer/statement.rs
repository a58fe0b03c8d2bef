/// What an answer says about one matter of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement<T> {
    /// Nothing.
    Absent,
    /// A value.
    Stated(T),
    /// Something that cannot be read.
    Unreadable,
}

/// How urgent a request is; the first is shed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Payments and bookings.
    Payment,
    /// Lookups.
    Lookup,
    /// Questions that a person waits for.
    Interactive,
    /// Drafts that may take their time.
    Draft,
}

/// Urgency of a request, most urgent first. Under overload the last class is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Payments and bookings.
    Payment,
    /// Lookups of data.
    Lookup,
    /// Questions for which a person is waiting.
    Interactive,
    /// Drafts, which are not urgent.
    Draft,
}

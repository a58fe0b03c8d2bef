use crate::request::Head;

/// What the expected length of an answer is based on, by what its request states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Basis {
    /// The expected number of tokens.
    Expected,
    /// The maximum number of tokens.
    Maximum,
    /// Nothing.
    Nothing,
}

impl Basis {
    /// The most precise statement of a request, with its number of tokens.
    pub fn of(head: &Head) -> (Self, f64) {
        let expected = head.expected_output_tokens.filter(|it| *it > 0);
        let maximum = head.max_output_tokens.filter(|it| *it > 0);
        match (expected, maximum) {
            (Some(expected), _) => (Self::Expected, f64::from(expected)),
            (None, Some(maximum)) => (Self::Maximum, f64::from(maximum)),
            (None, None) => (Self::Nothing, 1.0),
        }
    }
}

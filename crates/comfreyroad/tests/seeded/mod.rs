//! Property tests with a fixed seed, so that each run checks the same cases. `COMFREYROAD_SEED` sets another seed.

use quickcheck::{Gen, QuickCheck, Testable};

/// Size of the generated values.
const SIZE: usize = 100;
/// Number of cases for each property.
const CASES: u64 = 200;
/// The seed if the environment sets none.
const SEED: u64 = 20_261_204;

/// Checks a property.
pub(crate) fn check(property: impl Testable) {
    let word = std::env::var("COMFREYROAD_SEED").ok();
    let seed = word.and_then(|word| word.parse().ok()).unwrap_or(SEED);
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(CASES)
        .quickcheck(property);
}

/// Generates a test for each property.
macro_rules! seeded {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $type:ty),*) -> $result:ty $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn property($($arg: $type),*) -> $result $body
                seeded::check(property as fn($($type),*) -> $result);
            }
        )*
    };
}

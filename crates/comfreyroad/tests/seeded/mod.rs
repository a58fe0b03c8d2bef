//! Properties that are tried with the same cases in each run, by a seed that can be set.

use quickcheck::{Gen, QuickCheck, Testable};

/// Size of what is generated.
const SIZE: usize = 100;
/// Cases of each property.
const CASES: u64 = 200;
/// The seed where the environment names none.
const SEED: u64 = 20_261_204;

/// Tries a property.
pub(crate) fn check(property: impl Testable) {
    let word = std::env::var("COMFREYROAD_SEED").ok();
    let seed = word.and_then(|word| word.parse().ok()).unwrap_or(SEED);
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(CASES)
        .quickcheck(property);
}

/// Makes a test of each property.
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

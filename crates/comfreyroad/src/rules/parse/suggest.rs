/// Maximum edit distance at which an unknown word counts as a typing error.
const MAX_DISTANCE: usize = 2;

/// Describes what is expected in place of an unknown word: the nearest known word, or all known words.
pub(super) fn expected(found: &str, known: &[&str]) -> String {
    let nearest = known.iter().min_by_key(|word| distance(found, word));
    match nearest {
        Some(word) if distance(found, word) <= MAX_DISTANCE => format!("`{word}`"),
        Some(_) => format!("one of {}", known.join(", ")),
        None => "the end of the rule".into(),
    }
}

/// Levenshtein distance. It is not computed for words whose lengths differ by more than [`MAX_DISTANCE`].
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    if a.len().abs_diff(b.len()) > MAX_DISTANCE {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

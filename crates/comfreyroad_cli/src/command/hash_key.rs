use std::io::{BufRead, Write};

use crate::{Error, Exit};

/// Prints the hash of the key on the first line of the input. The key itself is never printed.
pub(super) fn run(
    input: &mut dyn BufRead,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Error> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let key = line.trim();
    if key.is_empty() {
        writeln!(err, "comfreyroad: expected a key on standard input")?;
        return Ok(Exit::Refused);
    }
    writeln!(out, "{}", blake3::hash(key.as_bytes()).to_hex())?;
    Ok(Exit::Ok)
}

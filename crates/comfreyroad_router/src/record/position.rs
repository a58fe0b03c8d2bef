//! Positions of records in topics.
//!
//! A store that is restored from a copy has lost the newest records, and gives out their offsets again. A position therefore holds the
//! era of the store and the offset in one number, which is ordered by the era first.

use crate::id::{Era, Position};

/// Bits of the offset; the era has those above.
const OFFSET_BITS: u32 = 40;

/// The largest era that a position can hold.
pub const MAX_ERA: Era = Era::MAX >> OFFSET_BITS;
/// The largest offset that a position can hold.
pub const MAX_OFFSET: u64 = (1 << OFFSET_BITS) - 1;

/// The position of an offset in an era; larger values than [`MAX_ERA`] and [`MAX_OFFSET`] count as these.
pub fn new(era: Era, offset: u64) -> Position {
    (era.min(MAX_ERA) << OFFSET_BITS) | offset.min(MAX_OFFSET)
}

/// The era of a position.
pub fn era(position: Position) -> Era {
    position >> OFFSET_BITS
}

/// The offset of a position within its era.
pub fn offset(position: Position) -> u64 {
    position & MAX_OFFSET
}

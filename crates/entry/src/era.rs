//! Eras of the platform's store.

use derive_more::Display;

/// Era of the store, which rises by one when the store comes back from an older copy.
///
/// Numbers of versions are given out again in a new era. Versions therefore hold the era in their
/// highest 16 bits, so that they are ordered by era first. A store that names no era is in era 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Era(pub u16);

impl Era {
    /// Highest era of a store that was never restored.
    ///
    /// The store counts its eras from 1.
    pub const FIRST: Self = Self(1);
}

/// Bits of a version below its era.
const NUMBER_BITS: u32 = 48;
const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

impl Era {
    /// Returns the version with a number of the store in this era.
    pub const fn version(self, number: u64) -> u64 {
        ((self.0 as u64) << NUMBER_BITS) | (number & NUMBER_MASK)
    }

    /// Returns the era of a version.
    pub const fn of(version: u64) -> Self {
        Self((version >> NUMBER_BITS) as u16)
    }

    /// Returns the number of a version within its era, as the store knows it.
    pub const fn number(version: u64) -> u64 {
        version & NUMBER_MASK
    }
}

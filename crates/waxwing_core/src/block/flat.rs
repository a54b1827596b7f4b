//! Nested prefixes flattened to disjoint ranges.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;

/// The bits of an address, or of its upper half.
pub(super) trait Word: Copy + Ord + std::fmt::Debug {
    /// The greatest address of a prefix that starts at `self`.
    fn last(self, bits: u8) -> Self;
    /// The least address of the prefix that holds `self`.
    fn first(self, bits: u8) -> Self;
    fn next(self) -> Option<Self>;
}

macro_rules! word {
    ($type:ty) => {
        impl Word for $type {
            fn last(self, bits: u8) -> Self {
                self | <$type>::MAX.checked_shr(bits.into()).unwrap_or(0)
            }

            fn first(self, bits: u8) -> Self {
                self & !<$type>::MAX.checked_shr(bits.into()).unwrap_or(0)
            }

            fn next(self) -> Option<Self> {
                self.checked_add(1)
            }
        }
    };
}

word!(u32);
word!(u64);
word!(u128);

/// Prefixes order by their first address, the longer after the shorter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Prefix<T> {
    pub(super) base: T,
    pub(super) bits: u8,
    pub(super) site: u16,
}

/// Marks a range outside all prefixes.
pub(super) const NO_SITE: u16 = u16::MAX;

/// Ranges in the order of their first addresses; each ends where the next starts.
#[derive(Debug)]
pub(super) struct Flat<T> {
    starts: Vec<T>,
    sites: Vec<u16>,
}

impl<T> Default for Flat<T> {
    fn default() -> Self {
        Self {
            starts: Vec::new(),
            sites: Vec::new(),
        }
    }
}

impl<T: Word> Flat<T> {
    /// Flattens sorted lists of prefixes; of two that are equal the one of the later list wins.
    ///
    /// The lists are merged on the way, so that no copy of them is held.
    pub(super) fn build(lists: &[&[Prefix<T>]]) -> Self {
        // A prefix makes at most two ranges. What is not used is never resident.
        let most = 2 * lists.iter().map(|l| l.len()).sum::<usize>();
        let mut flat = Self {
            starts: Vec::with_capacity(most),
            sites: Vec::with_capacity(most),
        };
        let mut open: Vec<Prefix<T>> = Vec::new();
        for prefix in merge(lists) {
            while let Some(top) = open.pop_if(|top| top.base.last(top.bits) < prefix.base) {
                flat.close(top, open.last());
            }
            flat.push(prefix.base, prefix.site);
            open.push(prefix);
        }
        while let Some(top) = open.pop() {
            flat.close(top, open.last());
        }
        flat.starts.shrink_to_fit();
        flat.sites.shrink_to_fit();
        flat
    }

    /// Resumes the enclosing prefix after the end of `ended`.
    fn close(&mut self, ended: Prefix<T>, outer: Option<&Prefix<T>>) {
        if let Some(next) = ended.base.last(ended.bits).next() {
            self.push(next, outer.map_or(NO_SITE, |p| p.site));
        }
    }

    fn push(&mut self, start: T, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last().copied().unwrap_or(NO_SITE) != site {
            self.starts.push(start);
            self.sites.push(site);
        }
    }

    pub(super) fn find(&self, address: T) -> Option<u16> {
        let after = self.starts.partition_point(|start| *start <= address);
        let site = self.sites[after.checked_sub(1)?];
        (site != NO_SITE).then_some(site)
    }

    pub(super) fn bytes(&self) -> usize {
        self.starts.capacity() * size_of::<T>() + self.sites.capacity() * size_of::<u16>()
    }

    pub(super) fn check_invariants(&self) {
        assert_eq!(self.starts.len(), self.sites.len(), "array lengths");
        assert!(self.starts.is_sorted_by(|a, b| a < b), "range starts");
        let merged = self.sites.windows(2).all(|w| w[0] != w[1]);
        assert!(merged, "adjacent ranges of one site");
    }
}

/// All prefixes in order; of equal ones the one of the later list comes later.
fn merge<T: Word>(lists: &[&[Prefix<T>]]) -> impl Iterator<Item = Prefix<T>> {
    let head = |i: usize, at: usize| {
        let prefix = lists[i].get(at)?;
        Some(Reverse((prefix.base, prefix.bits, i, at)))
    };
    let mut heads: BinaryHeap<_> = (0..lists.len()).filter_map(|i| head(i, 0)).collect();
    std::iter::from_fn(move || {
        let mut top = heads.peek_mut()?;
        let Reverse((_, _, i, at)) = *top;
        match head(i, at + 1) {
            Some(next) => *top = next,
            None => drop(PeekMut::pop(top)),
        }
        Some(lists[i][at])
    })
}

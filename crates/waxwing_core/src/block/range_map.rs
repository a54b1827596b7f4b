//! Map from addresses to sites, built by flattening nested prefixes to disjoint ranges.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;

/// The bits of an address, or of the upper half of an IPv6 address.
pub(super) trait AddressBits: Copy + Ord + std::fmt::Debug {
    /// Returns the last address of the prefix of `prefix_len` bits that contains `self`.
    fn last_in_prefix(self, prefix_len: u8) -> Self;
    /// Returns the first address of the prefix of `prefix_len` bits that contains `self`.
    fn first_in_prefix(self, prefix_len: u8) -> Self;
    /// Returns the following address, or `None` after the last one.
    fn next(self) -> Option<Self>;
}

macro_rules! impl_address_bits {
    ($type:ty) => {
        impl AddressBits for $type {
            fn last_in_prefix(self, prefix_len: u8) -> Self {
                self | <$type>::MAX.checked_shr(prefix_len.into()).unwrap_or(0)
            }

            fn first_in_prefix(self, prefix_len: u8) -> Self {
                self & !<$type>::MAX.checked_shr(prefix_len.into()).unwrap_or(0)
            }

            fn next(self) -> Option<Self> {
                self.checked_add(1)
            }
        }
    };
}

impl_address_bits!(u32);
impl_address_bits!(u64);
impl_address_bits!(u128);

/// An address prefix and the site that it belongs to.
///
/// The order of the fields sorts prefixes by their first address, and an enclosing prefix before
/// those that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Prefix<T> {
    pub(super) base: T,
    pub(super) len: u8,
    /// Index of the site.
    pub(super) site: u16,
}

/// Site index of the ranges that no prefix contains.
pub(super) const NO_SITE: u16 = u16::MAX;

/// Address ranges in ascending order. Each range ends where the next one starts.
#[derive(Debug)]
pub(super) struct RangeMap<T> {
    /// First address of each range.
    starts: Vec<T>,
    /// Site index of each range, or [`NO_SITE`].
    sites: Vec<u16>,
}

impl<T> Default for RangeMap<T> {
    fn default() -> Self {
        Self {
            starts: Vec::new(),
            sites: Vec::new(),
        }
    }
}

impl<T: AddressBits> RangeMap<T> {
    /// Flattens sorted lists of prefixes. If two lists contain the same prefix, the later list
    /// takes precedence.
    ///
    /// The lists are merged on the fly, so that the merged list is never held in memory.
    pub(super) fn build(lists: &[&[Prefix<T>]]) -> Self {
        // A prefix produces at most two ranges. Unused capacity is never touched, so that it takes
        // no physical memory before it is released below.
        let max_ranges = 2 * lists.iter().map(|l| l.len()).sum::<usize>();
        let mut map = Self {
            starts: Vec::with_capacity(max_ranges),
            sites: Vec::with_capacity(max_ranges),
        };
        // The prefixes that contain the current address, from the outermost to the innermost.
        let mut enclosing: Vec<Prefix<T>> = Vec::new();
        for prefix in merge(lists) {
            while let Some(ended) =
                enclosing.pop_if(|inner| inner.base.last_in_prefix(inner.len) < prefix.base)
            {
                map.end_prefix(ended, enclosing.last());
            }
            map.push_range(prefix.base, prefix.site);
            enclosing.push(prefix);
        }
        while let Some(ended) = enclosing.pop() {
            map.end_prefix(ended, enclosing.last());
        }
        map.starts.shrink_to_fit();
        map.sites.shrink_to_fit();
        map
    }

    /// Starts a range of the enclosing prefix after the last address of `ended`.
    fn end_prefix(&mut self, ended: Prefix<T>, outer: Option<&Prefix<T>>) {
        if let Some(next) = ended.base.last_in_prefix(ended.len).next() {
            self.push_range(next, outer.map_or(NO_SITE, |p| p.site));
        }
    }

    /// Starts a range of a site. It replaces a range with the same start, and it extends the
    /// previous range if that has the same site.
    fn push_range(&mut self, start: T, site: u16) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last().copied().unwrap_or(NO_SITE) != site {
            self.starts.push(start);
            self.sites.push(site);
        }
    }

    /// Returns the index of the site of the range that contains the address.
    pub(super) fn find(&self, address: T) -> Option<u16> {
        let next_range = self.starts.partition_point(|start| *start <= address);
        let site = self.sites[next_range.checked_sub(1)?];
        (site != NO_SITE).then_some(site)
    }

    pub(super) fn allocated_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<T>() + self.sites.capacity() * size_of::<u16>()
    }

    pub(super) fn check_invariants(&self) {
        assert_eq!(
            self.starts.len(),
            self.sites.len(),
            "the arrays have different lengths"
        );
        assert!(
            self.starts.is_sorted_by(|a, b| a < b),
            "range starts are not ascending"
        );
        let merged = self.sites.windows(2).all(|w| w[0] != w[1]);
        assert!(merged, "adjacent ranges have the same site");
    }
}

/// Merges sorted lists of prefixes with a heap that holds the next prefix of each list. Equal
/// prefixes come in the order of their lists.
fn merge<T: AddressBits>(lists: &[&[Prefix<T>]]) -> impl Iterator<Item = Prefix<T>> {
    let entry = |list: usize, index: usize| {
        let prefix = lists[list].get(index)?;
        Some(Reverse((prefix.base, prefix.len, list, index)))
    };
    let mut heap: BinaryHeap<_> = (0..lists.len()).filter_map(|list| entry(list, 0)).collect();
    std::iter::from_fn(move || {
        let mut least = heap.peek_mut()?;
        let Reverse((_, _, list, index)) = *least;
        match entry(list, index + 1) {
            Some(next) => *least = next,
            None => drop(PeekMut::pop(least)),
        }
        Some(lists[list][index])
    })
}

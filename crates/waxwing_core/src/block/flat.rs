//! Nested prefixes flattened to disjoint ranges.

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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// Flattens prefixes; of two that are equal the later one in the list wins.
    pub(super) fn build(mut prefixes: Vec<Prefix<T>>) -> Self {
        // Stable, so that equal prefixes keep their order.
        prefixes.sort_by_key(|p| (p.base, p.bits));
        let mut flat = Self::default();
        let mut open: Vec<Prefix<T>> = Vec::new();
        for prefix in prefixes {
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

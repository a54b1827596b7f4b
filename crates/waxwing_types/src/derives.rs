//! The macro for the sets of derives that recur.

/// Adds the derives shared by plain values: `Clone`, `Debug`, `PartialEq`, `Eq`.
///
/// With a leading `copy` the item is `Copy` as well; with `key` it is also `Copy`, ordered and
/// hashable; with `text_key` it is ordered, hashable and transparent to serde.
#[macro_export]
macro_rules! common_derives {
    (copy $item:item) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        $item
    };
    (key $item:item) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        $item
    };
    (text_key $item:item) => {
        #[derive(
            Clone,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            ::serde::Serialize,
            ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $item
    };
    ($item:item) => {
        #[derive(Clone, Debug, PartialEq, Eq)]
        $item
    };
}

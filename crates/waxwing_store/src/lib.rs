//! The platform's object store: the trait and its HTTP adapter.

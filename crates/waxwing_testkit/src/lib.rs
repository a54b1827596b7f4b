//! Test doubles for the platform, targets and callers.

//! Why a request is refused or sent again.
//!
//! The metric label, the log field and the JSON `reason` are all [`RefusalReason::as_str`] or
//! [`RetryReason::as_str`].

use std::fmt;

use crate::common_derives;

common_derives! {
    copy
    /// Whether a refused request ran on a target.
    pub enum Ran {
        /// No byte reached a target, or the target said that it did not run the request.
        No,
        /// An earlier request with the same idempotency key ran.
        Yes,
        /// It may have run.
        Unknown,
    }
}

impl Ran {
    /// The value of the field `ran` in a problem body.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident => $text:literal,)* }) => {
        common_derives! {
            key
            $(#[$doc])*
            pub enum $name { $($(#[$vdoc])* $variant,)* }
        }

        impl $name {
            /// Every reason, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The reason as metrics, logs and answers show it.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Why the daemon refuses a request.
    RefusalReason {
        /// The request is not valid HTTP, or a header value cannot be read.
        BadRequest => "bad_request",
        /// The header section or the body exceeds its limit.
        TooLarge => "too_large",
        /// No key came with the request.
        KeyMissing => "key_missing",
        /// The key is malformed, unknown or withdrawn.
        KeyInvalid => "key_invalid",
        /// The configuration is older than the workspace accepts.
        ConfigStale => "config_stale",
        /// The service does not exist or belongs to another workspace.
        ServiceUnknown => "service_unknown",
        /// The service has no route for the method and path.
        RouteUnknown => "route_unknown",
        /// The route requires an idempotency key and none came.
        IdempotencyKeyMissing => "idempotency_key_missing",
        /// The workspace's rate and burst are spent.
        RateLimited => "rate_limited",
        /// The region that should run the request has no spare capacity.
        RegionFull => "region_full",
        /// The link between the regions has no spare share.
        LinkFull => "link_full",
        /// The queue cannot serve the request before its deadline.
        QueueFull => "queue_full",
        /// The deadline passed before the request was sent.
        DeadlineExceeded => "deadline_exceeded",
        /// No target is usable.
        NoTarget => "no_target",
        /// Every target that was tried refused the request without running it.
        TargetsShedding => "targets_shedding",
        /// Every target that could run the request asked for a pause.
        TargetsPaused => "targets_paused",
        /// The target's connection broke while it ran the request.
        TargetFailed => "target_failed",
        /// The target did not answer before the deadline.
        TargetTimeout => "target_timeout",
        /// The store is out of reach, so that the claim cannot be written.
        ClaimUnavailable => "claim_unavailable",
        /// A request with this idempotency key is in flight.
        DuplicateInFlight => "duplicate_in_flight",
        /// A request with this idempotency key was answered.
        DuplicateAnswered => "duplicate_answered",
        /// A request with this idempotency key may have run.
        DuplicateUnknown => "duplicate_unknown",
        /// The request crashed targets and is quarantined.
        Quarantined => "quarantined",
        /// The daemon is stopping.
        Stopping => "stopping",
    }
}

reasons! {
    /// Why the daemon sends a request again.
    RetryReason {
        /// The connection could not be opened.
        ConnectFailed => "connect_failed",
        /// The target refused the request without running it.
        TargetShed => "target_shed",
        /// The connection broke while an idempotent request ran.
        ConnectionBroken => "connection_broken",
        /// The target answered an idempotent request with a failure.
        TargetFailed => "target_failed",
        /// The target wanted no more requests before this one was sent.
        TargetWithdrew => "target_withdrew",
        /// The region that was asked refused the request without running it.
        RegionRefused => "region_refused",
    }
}

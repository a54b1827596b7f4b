//! Names of the things that records and messages refer to.

use std::fmt;

use smol_str::SmolStr;

use crate::common_derives;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        common_derives! {
            text_key
            $(#[$doc])*
            pub struct $name(pub SmolStr);
        }

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(SmolStr::new(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// An entry VM, as the platform's list and the daemon's settings name it.
    VmId
}
text_id! {
    /// A failure domain.
    DomainId
}
text_id! {
    /// A region, which holds one or more failure domains.
    RegionId
}
text_id! {
    /// A site, to which blocks of client addresses are assigned.
    SiteId
}
text_id! {
    /// A workspace.
    WorkspaceId
}
text_id! {
    /// A service.
    ServiceId
}
text_id! {
    /// A target of a service.
    TargetId
}
text_id! {
    /// A planned shift of traffic.
    ShiftName
}

common_derives! {
    key
    /// Distinguishes the successive processes of one VM. A later process has a higher number.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct Incarnation(pub u64);
}

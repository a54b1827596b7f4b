//! Reads JSON values into wire types and reports every fault with its place.
//!
//! Derived serde code stops at the first fault and does not say where it is, so objects are read
//! field by field; serde reads the scalars.

use std::fmt;
use std::net::SocketAddr;

use serde_json::{Map, Value};
use smol_str::SmolStr;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, SiteId, TargetId, WorkspaceId};

use crate::Findings;

/// Where a value stands in a record. Rendered only for findings.
#[derive(Clone, Copy)]
pub(crate) enum Place<'a> {
    /// The start, such as `workspace/kerlann: spec`.
    Root(&'a str),
    /// A field of an object.
    Field(&'a Place<'a>, &'a str),
    /// An element of a list.
    Item(&'a Place<'a>, usize),
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root(text) => f.write_str(text),
            Self::Field(outer, name) => write!(f, "{outer}.{name}"),
            Self::Item(outer, index) => write!(f, "{outer}[{index}]"),
        }
    }
}

/// A type that can be read from JSON.
pub(crate) trait Wire: Sized {
    /// Reads a value; adds each fault to `out`.
    fn read(value: Value, place: &Place<'_>, out: &mut Findings) -> Option<Self>;

    /// Adds the path of each field below `path`.
    fn paths(path: &str, out: &mut Vec<String>) {
        out.push(path.to_owned());
    }
}

macro_rules! scalars {
    ($($type:ty),*) => {
        $(impl Wire for $type {
            fn read(value: Value, place: &Place<'_>, out: &mut Findings) -> Option<Self> {
                match serde_json::from_value(value) {
                    Ok(value) => Some(value),
                    Err(error) => {
                        out.add(place.to_string(), error.to_string());
                        None
                    }
                }
            }
        })*
    };
}

scalars!(
    bool,
    u8,
    u32,
    u64,
    Millis,
    SmolStr,
    SocketAddr,
    DomainId,
    RegionId,
    ServiceId,
    SiteId,
    TargetId,
    WorkspaceId
);

/// A value that is read later.
pub(crate) struct Raw(pub(crate) Value);

impl Wire for Raw {
    fn read(value: Value, _place: &Place<'_>, _out: &mut Findings) -> Option<Self> {
        Some(Self(value))
    }
}

impl<T: Wire> Wire for Option<T> {
    fn read(value: Value, place: &Place<'_>, out: &mut Findings) -> Option<Self> {
        if value.is_null() {
            return Some(None);
        }
        T::read(value, place, out).map(Some)
    }

    fn paths(path: &str, out: &mut Vec<String>) {
        T::paths(path, out);
    }
}

impl<T: Wire> Wire for Vec<T> {
    fn read(value: Value, place: &Place<'_>, out: &mut Findings) -> Option<Self> {
        let Value::Array(items) = value else {
            out.add(place.to_string(), "expected a list");
            return None;
        };
        let read = |(i, item)| T::read(item, &Place::Item(place, i), out);
        // Collected in full before the check, so that one faulty element does not hide the next.
        let items: Vec<Option<T>> = items.into_iter().enumerate().map(read).collect();
        items.into_iter().collect()
    }

    fn paths(path: &str, out: &mut Vec<String>) {
        T::paths(&format!("{path}[]"), out);
    }
}

/// The fields of one object that have not been read yet.
pub(crate) struct Fields<'a> {
    map: Map<String, Value>,
    place: &'a Place<'a>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(value: Value, place: &'a Place<'a>, out: &mut Findings) -> Option<Self> {
        let Value::Object(map) = value else {
            out.add(place.to_string(), "expected an object");
            return None;
        };
        Some(Self { map, place })
    }

    pub(crate) fn required<T: Wire>(&mut self, name: &str, out: &mut Findings) -> Option<T> {
        let place = Place::Field(self.place, name);
        let Some(value) = self.map.remove(name) else {
            out.add(place.to_string(), "missing");
            return None;
        };
        T::read(value, &place, out)
    }

    pub(crate) fn or<T: Wire>(&mut self, name: &str, default: T, out: &mut Findings) -> Option<T> {
        match self.map.remove(name) {
            Some(value) => T::read(value, &Place::Field(self.place, name), out),
            None => Some(default),
        }
    }

    pub(crate) fn finish(self, known: &[&str], out: &mut Findings) {
        for name in self.map.keys() {
            let place = Place::Field(self.place, name);
            let known = known.join(", ");
            out.add(
                place.to_string(),
                format!("unknown field, expected one of {known}"),
            );
        }
    }
}

/// Declares objects of the wire format. A field with `= value` may be left out.
macro_rules! wire_objects {
    ($($(#[$doc:meta])* $name:ident {
        $($field:ident: $type:ty $(= $default:expr)?,)*
    })*) => {
        $(
            $(#[$doc])*
            pub(crate) struct $name {
                $(pub(crate) $field: $type,)*
            }

            impl $crate::wire::read::Wire for $name {
                fn read(
                    value: ::serde_json::Value,
                    place: &$crate::wire::read::Place<'_>,
                    out: &mut $crate::Findings,
                ) -> Option<Self> {
                    let mut fields = $crate::wire::read::Fields::new(value, place, out)?;
                    $(let $field = wire_objects!(@read fields, $field, out $(, $default)?);)*
                    fields.finish(&[$(stringify!($field)),*], out);
                    Some(Self { $($field: $field?,)* })
                }

                fn paths(path: &str, out: &mut Vec<String>) {
                    $(<$type as $crate::wire::read::Wire>::paths(
                        &format!("{path}.{}", stringify!($field)),
                        out,
                    );)*
                }
            }
        )*
    };
    (@read $fields:ident, $field:ident, $out:ident) => {
        $fields.required(stringify!($field), $out)
    };
    (@read $fields:ident, $field:ident, $out:ident, $default:expr) => {
        $fields.or(stringify!($field), $default, $out)
    };
}

pub(crate) use wire_objects;

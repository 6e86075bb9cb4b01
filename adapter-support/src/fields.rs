//! One JSON object and the fields that the decisions need of it. What is unknown is skipped; what is amiss is
//! named.

use crate::Figures;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;

/// Beyond this no figure of ours can lie: a greater one is a slip of its sender, and would spoil every sum.
const GREATEST: f64 = 1e12;

/// One message: its kind and its fields.
///
/// ```
/// use otterwinch_adapter_support::Fields;
/// let value = serde_json::json!({"kind": "HEARD", "bad": -1, "tries": 1e300, "odd": []});
/// let f = Fields::of(&value, "kind").unwrap();
/// assert_eq!(f.count("absent"), Ok(0.0));
/// assert_eq!(f.count("bad").unwrap_err(), "HEARD: field 'bad' is not a number of 0 or more: -1");
/// assert!(f.count("tries").is_err());
/// ```
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub kind: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    /// A message whose kind stands in the field `kind_in`.
    pub fn of(value: &'a Value, kind_in: &str) -> Result<Self, String> {
        let map = value.as_object().ok_or("not a JSON object")?;
        let kind = map.get(kind_in).and_then(Value::as_str);
        Ok(Fields { kind: kind.ok_or_else(|| format!("no field '{kind_in}' with a message's name"))?, map })
    }

    /// An object that says of itself what it is by where it stands.
    pub fn named(value: &'a Value, kind: &'a str) -> Result<Self, String> {
        Ok(Fields { kind, map: value.as_object().ok_or_else(|| format!("{kind}: not a JSON object"))? })
    }

    pub fn has(&self, name: &str) -> bool {
        self.map.contains_key(name)
    }

    fn get<T>(&self, name: &str, what: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
        let value = self.map.get(name).ok_or_else(|| format!("{}: field '{name}' is missing", self.kind))?;
        read(value).ok_or_else(|| format!("{}: field '{name}' is not {what}: {value}", self.kind))
    }

    pub fn whole(&self, name: &str) -> Result<u64, String> {
        self.get(name, "a whole number", Value::as_u64)
    }

    pub fn small(&self, name: &str) -> Result<u32, String> {
        self.get(name, "a small whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn int(&self, name: &str) -> Result<i64, String> {
        self.get(name, "an integer", Value::as_i64)
    }

    pub fn int_or(&self, name: &str, absent: i64) -> Result<i64, String> {
        if self.has(name) {
            self.int(name)
        } else {
            Ok(absent)
        }
    }

    /// A figure that counts or weighs something: never below 0.
    pub fn count(&self, name: &str) -> Result<f64, String> {
        if !self.has(name) {
            return Ok(0.0);
        }
        self.get(name, "a number of 0 or more", |v| v.as_f64().filter(|n| (0.0..=GREATEST).contains(n)))
    }

    /// A figure that has to be there and to lie within bounds.
    ///
    /// ```
    /// use otterwinch_adapter_support::Fields;
    /// let value = serde_json::json!({"low": 0, "text": "7"});
    /// let f = Fields::named(&value, "report").unwrap();
    /// assert!(f.figure("low", 1.0..=9.0).is_err() && f.figure("text", 0.0..=9.0).is_err());
    /// assert_eq!((f.figure("low", 0.0..=9.0), f.figure("none", 0.0..=9.0).is_err()), (Ok(0.0), true));
    /// ```
    pub fn figure(&self, name: &str, bounds: RangeInclusive<f64>) -> Result<f64, String> {
        self.get(name, "a number within bounds", |v| v.as_f64().filter(|n| bounds.contains(n)))
    }

    pub fn text(&self, name: &str) -> Result<&'a str, String> {
        self.get(name, "a text", Value::as_str)
    }

    pub fn list(&self, name: &str) -> Result<&'a Vec<Value>, String> {
        self.get(name, "a list", Value::as_array)
    }

    /// False marks are left out on the wire.
    pub fn mark(&self, name: &str) -> bool {
        self.map.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    pub fn value(&self, name: &str) -> Result<&'a Value, String> {
        self.get(name, "an object", |v| v.is_object().then_some(v))
    }

    pub fn object(&self, name: &str) -> Result<Figures<'a>, String> {
        self.value(name).map(Figures::of)
    }
}

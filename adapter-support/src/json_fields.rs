//! Typed access to the fields of a JSON object. Unknown fields are ignored; a missing or malformed field is
//! an error that names it.

use crate::{quoted, SettingsReader};
use serde_json::{Map, Value};
use std::ops::RangeInclusive;

/// The largest number that is accepted. A larger one indicates an error of its sender and would distort
/// every sum.
const MAX_NUMBER: f64 = 1e12;

/// The longest name of an object, in bytes. A DNS name has at most 253.
const MAX_NAME_BYTES: usize = 256;

/// Why a JSON object was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JsonFieldError {
    /// A message is not an object.
    #[error("message is not a JSON object")]
    MessageNotAnObject,
    /// A nested value is not an object.
    #[error("{object} is not a JSON object")]
    NotAnObject {
        /// The kind of the value.
        object: String,
    },
    /// A message does not state its kind.
    #[error("message has no string field '{field}' that states its kind")]
    MissingKind {
        /// The field that should state it.
        field: String,
    },
    /// A required field is missing.
    #[error("{object}: field '{field}' is missing")]
    Missing {
        /// The kind of the object.
        object: String,
        /// The name of the field.
        field: String,
    },
    /// A field has the wrong type or is out of range.
    #[error("{object}: field '{field}' is not {expected}: {value}")]
    Invalid {
        /// The kind of the object.
        object: String,
        /// The name of the field.
        field: String,
        /// The expected type or range.
        expected: &'static str,
        /// The value that was received, as JSON, truncated to a bounded length.
        value: String,
    },
}

/// The fields of one JSON object, and its kind, which is part of error messages.
///
/// ```
/// use otterwinch_adapter_support::JsonFields;
/// let value = serde_json::json!({"kind": "HEARD", "bad": -1, "tries": 1e300, "odd": []});
/// let fields = JsonFields::from_message(&value, "kind").unwrap();
/// assert_eq!(fields.non_negative("absent"), Ok(0.0));
/// let error = fields.non_negative("bad").unwrap_err();
/// assert_eq!(error.to_string(), "HEARD: field 'bad' is not a number from 0 to 1e12: -1");
/// assert!(fields.non_negative("tries").is_err());
/// ```
#[derive(Clone, Copy)]
pub struct JsonFields<'a> {
    /// The kind of the message or nested object, such as `HEARD` or `PAGE entry`.
    pub kind: &'a str,
    map: &'a Map<String, Value>,
}

impl<'a> JsonFields<'a> {
    /// A message that states its kind in the field `kind_field`.
    pub fn from_message(value: &'a Value, kind_field: &str) -> Result<Self, JsonFieldError> {
        let map = value.as_object().ok_or(JsonFieldError::MessageNotAnObject)?;
        let kind = map.get(kind_field).and_then(Value::as_str);
        let kind = kind.ok_or_else(|| JsonFieldError::MissingKind { field: kind_field.to_owned() })?;
        Ok(JsonFields { kind, map })
    }

    /// A nested object, which has no kind field of its own; `kind` names it in errors.
    pub fn from_object(value: &'a Value, kind: &'a str) -> Result<Self, JsonFieldError> {
        let map = value.as_object();
        let map = map.ok_or_else(|| JsonFieldError::NotAnObject { object: quoted(kind) })?;
        Ok(JsonFields { kind, map })
    }

    /// Whether a field with this name is present.
    pub fn has(&self, name: &str) -> bool {
        self.map.contains_key(name)
    }

    fn get<T>(
        &self,
        name: &str,
        expected: &'static str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, JsonFieldError> {
        let missing = || JsonFieldError::Missing { object: quoted(self.kind), field: name.to_owned() };
        let value = self.map.get(name).ok_or_else(missing)?;
        read(value).ok_or_else(|| JsonFieldError::Invalid {
            object: quoted(self.kind),
            field: name.to_owned(),
            expected,
            value: quoted(&value.to_string()),
        })
    }

    /// An integer of 0 or more.
    pub fn u64(&self, name: &str) -> Result<u64, JsonFieldError> {
        self.get(name, "an integer of 0 or more", Value::as_u64)
    }

    /// An integer of 0 or more and below 2^32.
    pub fn u32(&self, name: &str) -> Result<u32, JsonFieldError> {
        let read = |value: &Value| value.as_u64().and_then(|number| u32::try_from(number).ok());
        self.get(name, "an integer from 0 to 4294967295", read)
    }

    /// An integer.
    pub fn i64(&self, name: &str) -> Result<i64, JsonFieldError> {
        self.get(name, "an integer", Value::as_i64)
    }

    /// An integer; `absent` if the field is missing.
    pub fn i64_or(&self, name: &str, absent: i64) -> Result<i64, JsonFieldError> {
        if self.has(name) {
            self.i64(name)
        } else {
            Ok(absent)
        }
    }

    /// A number from 0 to 1e12, such as a count or a weight; 0 if the field is missing.
    pub fn non_negative(&self, name: &str) -> Result<f64, JsonFieldError> {
        if !self.has(name) {
            return Ok(0.0);
        }
        let read = |value: &Value| value.as_f64().filter(|number| (0.0..=MAX_NUMBER).contains(number));
        self.get(name, "a number from 0 to 1e12", read)
    }

    /// A required number within bounds.
    ///
    /// ```
    /// use otterwinch_adapter_support::JsonFields;
    /// let value = serde_json::json!({"low": 0, "text": "7"});
    /// let fields = JsonFields::from_object(&value, "report").unwrap();
    /// assert!(fields.number_within("low", 1.0..=9.0).is_err());
    /// assert!(fields.number_within("text", 0.0..=9.0).is_err());
    /// assert_eq!(fields.number_within("low", 0.0..=9.0), Ok(0.0));
    /// assert!(fields.number_within("none", 0.0..=9.0).is_err());
    /// ```
    pub fn number_within(&self, name: &str, bounds: RangeInclusive<f64>) -> Result<f64, JsonFieldError> {
        let read = |value: &Value| value.as_f64().filter(|number| bounds.contains(number));
        self.get(name, "a number within the allowed range", read)
    }

    /// A string.
    pub fn string(&self, name: &str) -> Result<&'a str, JsonFieldError> {
        self.get(name, "a string", Value::as_str)
    }

    /// A string of at most 256 bytes that names an object. Names are kept, so that longer ones would take
    /// memory without bound.
    pub fn object_name(&self, name: &str) -> Result<&'a str, JsonFieldError> {
        let read = |value: &'a Value| value.as_str().filter(|text| text.len() <= MAX_NAME_BYTES);
        self.get(name, "a string of at most 256 bytes", read)
    }

    /// An array.
    pub fn array(&self, name: &str) -> Result<&'a Vec<Value>, JsonFieldError> {
        self.get(name, "an array", Value::as_array)
    }

    /// A boolean; the protocols omit false ones. A field of another type also reads as false.
    pub fn bool(&self, name: &str) -> bool {
        self.map.get(name).and_then(Value::as_bool).unwrap_or(false)
    }

    /// An object.
    pub fn object(&self, name: &str) -> Result<&'a Value, JsonFieldError> {
        self.get(name, "an object", |value| value.is_object().then_some(value))
    }

    /// An object of settings, all of whose fields are optional.
    pub fn settings(&self, name: &str) -> Result<SettingsReader<'a>, JsonFieldError> {
        self.object(name).map(SettingsReader::new)
    }
}

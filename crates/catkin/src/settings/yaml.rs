//! Strict parsing of YAML: each error has a code, the path of the field, what
//! was read and what is allowed.
//!
//! `serde_yaml_ng` reports every error as text. [`Node`] therefore deserializes
//! its value tree with [`ParseError`]. An error of a type of this crate reaches it
//! as text too; `split_code` recovers the code by parsing that text.

use {
    crate::{Code, Error},
    serde::{
        Deserializer,
        de::{
            self, DeserializeOwned, Expected, IntoDeserializer, Unexpected, Visitor,
            value::{MapDeserializer, SeqDeserializer},
        },
        forward_to_deserialize_any,
    },
    serde_yaml_ng::Value,
    std::fmt::{self, Display},
};

/// Error text of the standard library's address parser.
const ADDRESS_SYNTAX_ERROR: &str = "invalid socket address syntax";
const ADDRESS_EXPECTED: &str = "an IP address with a port, as in 10.0.0.5:7000";

/// Parses and deserializes a document.
///
/// # Errors
///
/// A code of group 1 with the path of the field, or the code that a type of
/// the document reports.
pub(crate) fn read<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let value: Value =
        serde_yaml_ng::from_str(text).map_err(|e| Error::new(Code::BadValue, format!("not YAML: {e}")))?;
    serde_path_to_error::deserialize(Node(value)).map_err(|e| {
        let path = e.path().to_string();
        e.into_inner().into_error(&path)
    })
}

/// An error in a value, without the path of the value.
#[derive(Debug)]
struct ParseError {
    code: Code,
    /// Name of a required field that the value lacks.
    missing: Option<&'static str>,
    detail: String,
}

impl ParseError {
    fn new(code: Code, detail: String) -> Self {
        Self { code, missing: None, detail }
    }

    fn into_error(self, path: &str) -> Error {
        let error = Error::new(self.code, self.detail);
        match (path, self.missing) {
            (".", Some(name)) => error.with_path(name),
            (".", None) => error,
            (path, Some(name)) => error.with_path(format!("{path}.{name}")),
            (path, None) => error.with_path(path),
        }
    }

    /// Adds the text that was read to an error of the address parser, which does
    /// not contain it.
    fn with_input(self, read: &str) -> Self {
        if self.code == Code::NotIp && self.detail == ADDRESS_SYNTAX_ERROR {
            return Self::new(self.code, format!("read {read:?}, allowed is {ADDRESS_EXPECTED}"));
        }
        self
    }
}

impl Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for ParseError {}

impl de::Error for ParseError {
    fn custom<T: Display>(message: T) -> Self {
        let text = message.to_string();
        if text == ADDRESS_SYNTAX_ERROR {
            return Self::new(Code::NotIp, text);
        }
        match split_code(&text) {
            Some((code, detail)) => Self::new(code, detail.to_owned()),
            None => Self::new(Code::BadValue, text),
        }
    }

    fn invalid_type(read: Unexpected<'_>, allowed: &dyn Expected) -> Self {
        let allowed = allowed.to_string();
        if allowed == "socket address" {
            return Self::new(Code::NotIp, format!("read {read}, allowed is {ADDRESS_EXPECTED}"));
        }
        Self::new(Code::BadValue, format!("read {read}, allowed is {allowed}"))
    }

    fn invalid_value(read: Unexpected<'_>, allowed: &dyn Expected) -> Self {
        Self::new(Code::BadValue, format!("read {read}, allowed is {allowed}"))
    }

    fn unknown_variant(read: &str, allowed: &'static [&'static str]) -> Self {
        Self::new(Code::BadValue, format!("read {read:?}, allowed are {}", allowed.join(", ")))
    }

    fn unknown_field(read: &str, allowed: &'static [&'static str]) -> Self {
        Self::new(Code::UnknownField, format!("read {read:?}, allowed are {}", allowed.join(", ")))
    }

    fn missing_field(name: &'static str) -> Self {
        Self { code: Code::MissingField, missing: Some(name), detail: format!("{name} is required") }
    }
}

/// Splits the text of an [`Error`] into its code and its detail.
fn split_code(text: &str) -> Option<(Code, &str)> {
    let (number, detail) = text.strip_prefix('E')?.split_once(": ")?;
    Some((Code::from_number(number.parse().ok()?)?, detail))
}

struct Node(Value);

impl<'de> IntoDeserializer<'de, ParseError> for Node {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

impl<'de> Deserializer<'de> for Node {
    type Error = ParseError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        match self.0 {
            Value::Null => visitor.visit_unit(),
            Value::Bool(value) => visitor.visit_bool(value),
            Value::Number(number) => visit_number(&number, visitor),
            Value::String(text) => visitor.visit_str(&text).map_err(|e: ParseError| e.with_input(&text)),
            Value::Sequence(items) => {
                let mut items = SeqDeserializer::new(items.into_iter().map(Node));
                let value = visitor.visit_seq(&mut items)?;
                items.end()?;
                Ok(value)
            }
            Value::Mapping(fields) => {
                let mut fields =
                    MapDeserializer::new(fields.into_iter().map(|(name, value)| (Node(name), Node(value))));
                let value = visitor.visit_map(&mut fields)?;
                fields.end()?;
                Ok(value)
            }
            Value::Tagged(tagged) => {
                Err(ParseError::new(Code::BadValue, format!("read tag {}, allowed is no tag", tagged.tag)))
            }
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ParseError> {
        match self.0 {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, ParseError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _: &'static str,
        names: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ParseError> {
        match self.0 {
            Value::String(name) => visitor.visit_enum(name.into_deserializer()),
            other => Err(ParseError::new(
                Code::BadValue,
                format!("read {}, allowed are {}", type_name(&other), names.join(", ")),
            )),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit
        unit_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn visit_number<'de, V: Visitor<'de>>(
    number: &serde_yaml_ng::Number,
    visitor: V,
) -> Result<V::Value, ParseError> {
    if let Some(value) = number.as_u64() {
        return visitor.visit_u64(value);
    }
    if let Some(value) = number.as_i64() {
        return visitor.visit_i64(value);
    }
    visitor.visit_f64(number.as_f64().unwrap_or(f64::NAN))
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Sequence(_) => "a list",
        Value::Mapping(_) => "a map",
        Value::Tagged(_) => "a tag",
    }
}

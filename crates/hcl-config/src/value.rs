//! Plain values, from HCL expressions that need no evaluation.

use std::fmt;

use hcl_edit::expr::{Expression, ObjectKey, ObjectValue, UnaryOperator};

use crate::ValueError;

/// A plain value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// True or false.
    Bool(bool),
    /// A finite number; integers up to 2^53 are exact.
    Number(f64),
    /// A string without interpolation.
    String(String),
    /// A list.
    List(Vec<Value>),
    /// An object, with its entries in the order of the file.
    Object(Vec<(String, Value)>),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Bool(boolean) => write!(f, "{boolean}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::String(text) => write!(f, "\"{text}\""),
            Value::List(items) => write!(f, "a list of {}", items.len()),
            Value::Object(_) => f.write_str("an object"),
        }
    }
}

impl Value {
    /// Converts an expression that needs no evaluation.
    pub(crate) fn from_expression(expression: &Expression) -> Result<Value, ValueError> {
        match expression {
            Expression::Bool(boolean) => Ok(Value::Bool(**boolean)),
            Expression::Number(number) => match number.as_f64() {
                Some(number) if number.is_finite() => Ok(Value::Number(number)),
                _ => Err(ValueError::NumberOutOfRange),
            },
            Expression::String(text) => Ok(Value::String(text.as_str().to_owned())),
            Expression::Array(items) => {
                Ok(Value::List(items.iter().map(Value::from_expression).collect::<Result<_, _>>()?))
            }
            Expression::Object(entries) => {
                let entries = entries.iter().map(|(key, value)| object_entry(key, value));
                Ok(Value::Object(entries.collect::<Result<_, _>>()?))
            }
            Expression::Parenthesis(inner) => Value::from_expression(inner.inner()),
            Expression::UnaryOp(operation) if *operation.operator == UnaryOperator::Neg => {
                match Value::from_expression(&operation.expr)? {
                    Value::Number(number) => Ok(Value::Number(-number)),
                    other => Err(ValueError::NegatedNonNumber(other)),
                }
            }
            _ => Err(ValueError::ComputedValue),
        }
    }
}

fn object_entry(key: &ObjectKey, value: &ObjectValue) -> Result<(String, Value), ValueError> {
    let key = match key {
        ObjectKey::Ident(name) => name.as_str().to_owned(),
        ObjectKey::Expression(Expression::String(name)) => name.as_str().to_owned(),
        ObjectKey::Expression(Expression::Number(number)) => number.to_string(),
        ObjectKey::Expression(_) => return Err(ValueError::ComputedKey),
    };
    Ok((key, Value::from_expression(value.expr())?))
}

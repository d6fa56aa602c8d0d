//! Validates the field names and types of a ticket file.
//!
//! Deserialization into a typed ticket stops at the first error. [`check_fields`] reports every
//! field that is unknown, missing or of the wrong type. It removes unknown fields and replaces the
//! other ones by placeholders, so that the rest of the ticket can be deserialized and validated.

use model::fault::InputFault;
use toml::{Table, Value};

/// Type of a field.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FieldType {
    String,
    Number,
    StringList,
    Places,
}

/// A field that an object may have.
struct FieldRule {
    name: &'static str,
    kind: FieldType,
    required: bool,
}

const fn required(name: &'static str, kind: FieldType) -> FieldRule {
    FieldRule {
        name,
        kind,
        required: true,
    }
}

const REGION_FIELDS: &[FieldRule] = &[
    required("zones", FieldType::StringList),
    required("cap", FieldType::Number),
];
const LINK_FIELDS: &[FieldRule] = &[required("mbits", FieldType::Number)];
const HOST_FIELDS: &[FieldRule] = &[
    required("zone", FieldType::String),
    required("callers", FieldType::String),
    required("peers", FieldType::String),
];
const SERVICE_FIELDS: &[FieldRule] = &[
    required("class", FieldType::String),
    required("shift", FieldType::Number),
    required("places", FieldType::Places),
    FieldRule {
        name: "leaving",
        kind: FieldType::StringList,
        required: false,
    },
];
const BLOCK_FIELDS: &[FieldRule] = &[required("zone", FieldType::String)];
const PLACE_FIELDS: &[FieldRule] = &[required("cap", FieldType::Number)];

/// Returns an error for each field that is unknown, missing or of the wrong type, and leaves a
/// table that can be deserialized.
pub fn check_fields(ticket: &mut Table) -> Vec<InputFault> {
    let mut faults = Vec::new();
    check_number(ticket, &mut faults);
    for (name, value) in ticket.iter_mut() {
        let rules = match name.as_str() {
            "number" => continue,
            "region" => REGION_FIELDS,
            "link" => LINK_FIELDS,
            "host" => HOST_FIELDS,
            "service" => SERVICE_FIELDS,
            "block" => BLOCK_FIELDS,
            "remove" => {
                check_type(name, value, FieldType::StringList, &mut faults);
                continue;
            }
            _ => {
                let allowed = "number, region, link, host, service, block or remove";
                faults.push(InputFault::new(name, display_value(value), allowed));
                continue;
            }
        };
        check_objects(name, value, rules, &mut faults);
    }
    ticket.retain(|name, _| {
        matches!(
            name,
            "number" | "region" | "link" | "host" | "service" | "block" | "remove"
        )
    });
    faults
}

/// Checks that the number of the ticket is a whole number above 0.
fn check_number(ticket: &mut Table, faults: &mut Vec<InputFault>) {
    let allowed = "a whole number from 1 to 9223372036854775807";
    let fault = match ticket.get("number") {
        Some(Value::Integer(number)) if *number >= 1 => return,
        Some(value) => InputFault::new("number", display_value(value), allowed),
        None => InputFault::new("number", "", format!("{allowed}; the field is required")),
    };
    faults.push(fault);
    ticket.insert("number".to_string(), Value::Integer(1));
}

/// Checks a table of objects, each of which must fit the rules.
fn check_objects(
    field: &str,
    value: &mut Value,
    rules: &[FieldRule],
    faults: &mut Vec<InputFault>,
) {
    let Value::Table(table) = value else {
        faults.push(InputFault::new(
            field,
            display_value(value),
            "a table with one table for each name",
        ));
        *value = Value::Table(Table::new());
        return;
    };
    for (name, object) in table.iter_mut() {
        check_object(&format!("{field}.{name}"), object, rules, faults);
    }
}

/// Checks the fields of one object.
fn check_object(path: &str, value: &mut Value, rules: &[FieldRule], faults: &mut Vec<InputFault>) {
    if !value.is_table() {
        faults.push(InputFault::new(path, display_value(value), "a table"));
        *value = Value::Table(placeholder_object(rules));
        return;
    }
    let Value::Table(table) = value else {
        return;
    };
    let names: Vec<_> = rules.iter().map(|rule| rule.name).collect();
    for (name, value) in table.iter() {
        if !names.contains(&name.as_str()) {
            let allowed = format!("one of the fields {}", names.join(", "));
            faults.push(InputFault::new(
                format!("{path}.{name}"),
                display_value(value),
                allowed,
            ));
        }
    }
    table.retain(|name, _| names.contains(&name));
    for rule in rules {
        let field = format!("{path}.{}", rule.name);
        match table.get_mut(rule.name) {
            Some(value) => check_type(&field, value, rule.kind, faults),
            None if rule.required => {
                let allowed = format!("{}; the field is required", allowed_text(rule.kind));
                faults.push(InputFault::new(field, "", allowed));
                table.insert(rule.name.to_string(), placeholder(rule.kind));
            }
            None => (),
        }
    }
}

/// Checks the type of a value and replaces a value of another type by a placeholder.
fn check_type(field: &str, value: &mut Value, kind: FieldType, faults: &mut Vec<InputFault>) {
    let fits = match kind {
        FieldType::String => value.is_str(),
        FieldType::Number => value.is_float() || value.is_integer(),
        FieldType::StringList => value
            .as_array()
            .is_some_and(|items| items.iter().all(Value::is_str)),
        FieldType::Places => {
            check_objects(field, value, PLACE_FIELDS, faults);
            return;
        }
    };
    if !fits {
        faults.push(InputFault::new(
            field,
            display_value(value),
            allowed_text(kind),
        ));
        *value = placeholder(kind);
    }
}

/// Describes the allowed values of a field, as error messages show them.
fn allowed_text(kind: FieldType) -> &'static str {
    match kind {
        FieldType::String => "a string",
        FieldType::Number => "a number",
        FieldType::StringList => "a list of strings",
        FieldType::Places => "places by availability zone",
    }
}

/// Returns the value that replaces a missing or invalid field.
fn placeholder(kind: FieldType) -> Value {
    match kind {
        FieldType::String => Value::String(String::new()),
        FieldType::Number => Value::Float(0.0),
        FieldType::StringList => Value::Array(Vec::new()),
        FieldType::Places => Value::Table(Table::new()),
    }
}

/// Returns the object that replaces a value that is no table.
fn placeholder_object(rules: &[FieldRule]) -> Table {
    rules
        .iter()
        .filter(|rule| rule.required)
        .map(|rule| (rule.name.to_string(), placeholder(rule.kind)))
        .collect()
}

/// Formats a value for an error message; strings have no quotes.
fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}

//! Parses and validates texts of a well-known schema, `google.protobuf.FileDescriptorProto`: which are
//! accepted, and how errors are reported.

use otterwinch_textproto::{parse, Diagnostics, FieldLocations, SourceFile, Validator};
use proptest::prelude::*;
use prost_reflect::prost_types::FileDescriptorProto;
use prost_reflect::{MessageDescriptor, ReflectMessage};

fn schema() -> MessageDescriptor {
    FileDescriptorProto::default().descriptor()
}

fn parse_file(text: &str) -> Result<(FileDescriptorProto, SourceFile), Diagnostics> {
    parse("f", text, &schema())
}

fn error_text(text: &str) -> String {
    parse_file(text).unwrap_err().to_string()
}

fn source(text: &str) -> SourceFile {
    SourceFile { file: "f".to_owned(), locations: FieldLocations::scan(text, &schema()) }
}

#[test]
fn a_valid_text_is_read_with_the_lines_of_its_fields() {
    let text = "name: 'a' 'b'  # a comment\nmessage_type {\n  name: \"M\"\n  field { number: -1 }\n}\n\
                message_type <\n>\ndependency: ['x',\n 'y']";
    let (message, source) = parse_file(text).unwrap();
    assert_eq!(message.name.as_deref(), Some("ab"));
    assert_eq!(message.message_type[0].field[0].number, Some(-1));
    assert_eq!(message.dependency, ["x", "y"]);
    let lines = [
        ("name", 1),
        ("message_type[0]", 2),
        ("message_type[0].name", 3),
        ("message_type[0].field[0].number", 4),
        ("message_type[1]", 6),
        ("dependency[1]", 9),
    ];
    for (path, line) in lines {
        assert_eq!(source.locations.line(path), line, "{path}");
    }
}

#[test]
fn a_missing_field_is_located_by_the_message_around_it() {
    let locations = FieldLocations::scan("\nmessage_type {\n}", &schema());
    assert_eq!(locations.line("message_type[0].name"), 2);
    assert_eq!(locations.line("package"), 0);
}

#[test]
fn every_unknown_field_is_reported_with_a_suggestion_where_one_is_similar() {
    let text = "nam: 'a'\nmessage_type {\n  feild { number: 1 }\n  zzzzzzzzzz: [1, {}]\n}";
    let expected = "f:1: unknown field 'nam'; did you mean 'name'?\n\
                    f:3: message_type[0]: unknown field 'feild'; did you mean 'field'?\n\
                    f:4: message_type[0]: unknown field 'zzzzzzzzzz'";
    assert_eq!(error_text(text), expected);
}

#[test]
fn every_value_of_the_wrong_type_is_reported() {
    let text = "message_type {\n  field { number: 'x' }\n  field { number: 1e9 }\n}\nname: 7";
    let diagnostics = parse_file(text).unwrap_err().0;
    let found: Vec<(usize, &str)> = diagnostics.iter().map(|d| (d.line, d.field.as_str())).collect();
    let (first, second) = ("message_type[0].field[0].number", "message_type[0].field[1].number");
    assert_eq!(found, [(2, first), (3, second), (5, "name")]);
}

#[test]
fn a_text_that_is_too_large_is_rejected_unread() {
    let text = " ".repeat((4 << 20) + 1);
    assert_eq!(error_text(&text), "f: 4194305 bytes; at most 4194304 are allowed");
}

#[test]
fn all_errors_of_validation_are_reported_in_the_order_of_their_lines() {
    let source = source("message_type {\n  name: 'a'\n}\nmessage_type {\n  name: 'a'\n}\nname: ''");
    let diagnostics = Validator::validate(&source, |v| {
        v.field("name").identifier("");
        v.unique_names("message_type", ["a", "a"].into_iter());
        v.element("message_type", 0).field("field").required(None::<u32>, "what it is");
        assert_eq!(v.field("name").in_range(9.0, 0.5..=1.5, "s"), 0.5);
        assert_eq!(v.field("name").count_in_range(0, 1..=3, "cores"), 1);
        assert_eq!(v.field("name").position_of("c", &["a".into(), "b".into()], "zone"), 0);
    });
    let expected = "f:1: message_type[0].field: is missing: what it is\n\
                    f:5: message_type[1].name: duplicate name 'a'; message_type[0] already has it\n\
                    f:7: name: '' is not a valid name; expected 1 to 64 bytes: letters, digits, \
                    '-', '_' or '.'\n\
                    f:7: name: 9 is out of range; expected 0.5 to 1.5 s\n\
                    f:7: name: 0 is out of range; expected 1 to 3 cores\n\
                    f:7: name: unknown zone 'c'; expected one of: a, b";
    assert_eq!(diagnostics.unwrap_err().to_string(), expected);
}

#[test]
fn valid_values_are_kept() {
    let kept = Validator::validate(&source(""), |v| {
        let position = v.position_of("b", &["a".into(), "b".into()], "zone");
        (v.in_range(1.5, 0.5..=1.5, "s"), v.count_in_range(1, 1..=3, "cores"), position)
    });
    assert_eq!(kept, Ok((1.5, 1, 1)));
}

proptest! {
    /// Any text is either accepted or rejected with at least one error, and none causes a panic.
    #[test]
    fn any_text_is_accepted_or_rejected(parts in prop::collection::vec(prop::sample::select(vec![
        "{", "}", "<", ">", "[", "]", ":", ",", ";", "-", "\"", "'", "\\", "#", "\n", " ", "1e-6", "7", "ü",
        "name", "message_type", "field", "number", "nam", "'a'",
    ]), 0..60)) {
        if let Err(diagnostics) = parse_file(&parts.concat()) {
            prop_assert!(!diagnostics.0.is_empty());
        }
    }
}

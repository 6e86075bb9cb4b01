use super::*;

fn command(about: CommandKind) -> Command {
    Command { text: format!("\"{}\"", "x".repeat(20_000)), about }
}

fn cut(commands: impl IntoIterator<Item = CommandKind>) -> (usize, usize) {
    let (text, count, marks) = body(&commands.into_iter().map(command).collect());
    assert!(text.len() <= MOST_BYTES);
    let sent: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(sent["changes"].as_array().unwrap().len(), count + marks);
    (count, marks)
}

#[test]
fn a_call_that_would_be_too_long_is_cut_between_commands() {
    assert_eq!(cut((0..4).map(CommandKind::Bind)), (2, 0));
}

#[test]
fn a_call_is_cut_between_tables_where_it_can_be() {
    assert_eq!(cut([CommandKind::Bind(1), CommandKind::Level(7), CommandKind::Level(7)]), (1, 0));
    assert_eq!(cut([CommandKind::Level(7), CommandKind::Level(7), CommandKind::Level(7)]), (2, 0));
}

#[test]
fn each_call_of_a_marked_moment_is_marked() {
    assert_eq!(
        cut([CommandKind::Bind(1), CommandKind::Bind(2), CommandKind::Bind(3), CommandKind::Mark]),
        (1, 1)
    );
}

use super::*;

fn command(about: About) -> Command {
    Command { text: format!("\"{}\"", "x".repeat(20_000)), about }
}

fn cut(commands: impl IntoIterator<Item = About>) -> (usize, usize) {
    let (text, count, marks) = body(&commands.into_iter().map(command).collect());
    assert!(text.len() <= MOST_BYTES);
    let sent: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(sent["changes"].as_array().unwrap().len(), count + marks);
    (count, marks)
}

#[test]
fn a_call_that_would_be_too_long_is_cut_between_commands() {
    assert_eq!(cut((0..4).map(About::Bind)), (2, 0));
}

#[test]
fn a_call_is_cut_between_tables_where_it_can_be() {
    assert_eq!(cut([About::Bind(1), About::Level(7), About::Level(7)]), (1, 0));
    assert_eq!(cut([About::Level(7), About::Level(7), About::Level(7)]), (2, 0));
}

#[test]
fn each_call_of_a_marked_moment_is_marked() {
    assert_eq!(cut([About::Bind(1), About::Bind(2), About::Bind(3), About::Mark]), (1, 1));
}

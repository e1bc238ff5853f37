//! Runs every story under `stories/`.

use endivestile_testkit::run_story;

#[test]
fn stories_all() {
    datadriven::walk("tests/stories", |file| {
        file.run(|case| match case.directive.as_str() {
            "story" => run_story(&case.input).unwrap_or_else(|error| format!("error: {error}\n")),
            other => format!("error: no directive {other}\n"),
        });
    });
}

//! Tells every story under `fleet/`.

use endivestile_testkit::tell_fleet;

#[test]
fn fleet_stories_all() {
    datadriven::walk("tests/fleet", |file| {
        file.run(|case| match case.directive.as_str() {
            "story" => tell_fleet(&case.input).unwrap_or_else(|error| format!("error: {error}\n")),
            other => format!("error: no directive {other}\n"),
        });
    });
}

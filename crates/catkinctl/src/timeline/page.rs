//! A self-contained HTML page with a picture of the ownership.

use {
    super::{Lane, Line, Stretch, Timeline, Use, lanes, show_time},
    catkin::{
        event::{Event, Wall},
        types::{Span, TargetId},
    },
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Write},
    },
};

const LANES_MAX: usize = 200;
const LINES_MAX: usize = 5_000;
const LABEL_PIXELS: f64 = 220.0;
const CHART_PIXELS: f64 = 900.0;
const LANE_PIXELS: f64 = 18.0;
const BAR_PIXELS: f64 = 14.0;
const HEAD_PIXELS: f64 = 24.0;
/// Turns the hue so that targets next to each other differ.
const HUE_STEP_DEGREES: usize = 137;

const STYLE: &str = "body{font:14px sans-serif;margin:1em}text{font:11px sans-serif}pre{font:12px monospace}\
.unavailable{fill:#d00}.overlap{fill:#000}.unanswered{opacity:.45}";

/// Makes the page.
pub fn page(timeline: &Timeline) -> String {
    let mut page = String::new();
    // Writing to a string does not fail.
    let _ = write_page(&mut page, timeline);
    page
}

fn write_page(page: &mut String, timeline: &Timeline) -> fmt::Result {
    let lanes = lanes(&timeline.events);
    writeln!(page, "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")?;
    writeln!(page, "<title>catkinhub time line</title><style>{STYLE}</style></head><body>")?;
    writeln!(page, "<h1>Time line</h1>")?;
    write_missing(page, timeline)?;
    write_chart(page, timeline, &lanes)?;
    writeln!(page, "<h2>Events</h2><pre>")?;
    for event in timeline.events.iter().take(LINES_MAX) {
        writeln!(page, "{}", escape(Line::Event(event)))?;
    }
    let hidden = timeline.events.len().saturating_sub(LINES_MAX);
    writeln!(page, "</pre><p>{hidden} further events are not shown.</p></body></html>")
}

fn write_missing(page: &mut String, timeline: &Timeline) -> fmt::Result {
    if timeline.silent.is_empty() && timeline.gaps.is_empty() {
        return writeln!(page, "<p>All gateways answered; no event was dropped.</p>");
    }
    writeln!(page, "<p>This time line is incomplete:</p><ul>")?;
    for silent in &timeline.silent {
        writeln!(page, "<li>{}</li>", escape(silent))?;
    }
    for gap in &timeline.gaps {
        writeln!(page, "<li>{}</li>", escape(gap))?;
    }
    writeln!(page, "</ul>")
}

struct Scale {
    start: Wall,
    micros: f64,
}

impl Scale {
    fn x(&self, at: Wall) -> f64 {
        let since = at.as_micros().saturating_sub(self.start.as_micros());
        LABEL_PIXELS + CHART_PIXELS * since as f64 / self.micros
    }
}

fn write_chart(page: &mut String, timeline: &Timeline, lanes: &[Lane]) -> fmt::Result {
    let wall = |event: Option<&Event>| event.map_or(Wall::default(), |event| event.at.wall);
    let (start, end) = (wall(timeline.events.first()), wall(timeline.events.last()));
    let span = end.as_micros().saturating_sub(start.as_micros()).max(1);
    let scale = Scale { start, micros: span as f64 };
    let hues = hues(lanes);
    let shown = &lanes[..lanes.len().min(LANES_MAX)];
    let height = HEAD_PIXELS + LANE_PIXELS * shown.len() as f64;
    let width = LABEL_PIXELS + CHART_PIXELS;
    writeln!(
        page,
        "<h2>Ownership</h2><p>From {} to {}. Red: no owner. Pale: the owner does not answer its keeper. \
        Black: two owners.</p>",
        show_time(start),
        show_time(end)
    )?;
    writeln!(page, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">")?;
    let length = Span::from_micros(span);
    writeln!(page, "<text x=\"{LABEL_PIXELS}\" y=\"14\">0</text>")?;
    writeln!(page, "<text x=\"{width}\" y=\"14\" text-anchor=\"end\">{length}</text>")?;
    for (number, lane) in shown.iter().enumerate() {
        write_lane(page, lane, HEAD_PIXELS + LANE_PIXELS * number as f64, &scale, &hues)?;
    }
    let hidden = lanes.len() - shown.len();
    writeln!(page, "</svg><p>{hidden} further groups of slices with less unavailable time are not shown.</p>")
}

fn write_lane(
    page: &mut String,
    lane: &Lane,
    y: f64,
    scale: &Scale,
    hues: &BTreeMap<&TargetId, usize>,
) -> fmt::Result {
    let name = label(lane);
    writeln!(page, "<text x=\"0\" y=\"{}\">{}</text>", y + BAR_PIXELS - 3.0, escape(name))?;
    for stretch in &lane.stretches {
        let (x, end) = (scale.x(stretch.from), scale.x(stretch.to));
        let width = (end - x).max(1.0);
        let (look, title) = look(stretch, hues);
        let length = Span::from_micros(stretch.to.as_micros() - stretch.from.as_micros());
        writeln!(
            page,
            "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{BAR_PIXELS}\" {look}><title>{} for {length} \
             from {}</title></rect>",
            escape(title),
            show_time(stretch.from)
        )?;
    }
    Ok(())
}

fn label(lane: &Lane) -> String {
    let lost = Span::from_micros(lane.unavailable_micros());
    let first = lane.slices.first().map(ToString::to_string).unwrap_or_default();
    match lane.slices.len() {
        1 => format!("{first}, unavailable {lost}"),
        number => format!("{first} and {} more, {lost}", number - 1),
    }
}

fn look(stretch: &Stretch, hues: &BTreeMap<&TargetId, usize>) -> (String, String) {
    let fill = |target: &TargetId| format!("fill=\"hsl({},60%,55%)\"", hues.get(target).unwrap_or(&0));
    match &stretch.state {
        Use::Owned(target) => (fill(target), format!("{target}")),
        Use::Unanswered(target) => {
            (format!("class=\"unanswered\" {}", fill(target)), format!("{target} not answering"))
        }
        Use::Unavailable => ("class=\"unavailable\"".to_owned(), "unavailable".to_owned()),
        Use::Overlap(target) => {
            ("class=\"overlap\"".to_owned(), format!("{target} while another target holds the slice"))
        }
    }
}

fn hues(lanes: &[Lane]) -> BTreeMap<&TargetId, usize> {
    let targets = lanes.iter().flat_map(|lane| &lane.stretches).filter_map(|stretch| match &stretch.state {
        Use::Owned(target) | Use::Unanswered(target) | Use::Overlap(target) => Some(target),
        Use::Unavailable => None,
    });
    let mut hues: BTreeMap<&TargetId, usize> = targets.map(|target| (target, 0)).collect();
    hues.values_mut().enumerate().for_each(|(number, hue)| *hue = number * HUE_STEP_DEGREES % 360);
    hues
}

fn escape(text: impl Display) -> String {
    let text = text.to_string();
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

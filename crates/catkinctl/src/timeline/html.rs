//! Renders the timeline as a self-contained HTML page with a chart of slice
//! ownership.

use {
    super::{Lane, Line, Segment, SliceState, Timeline, lanes, to_rfc3339},
    catkin::{
        event::{Event, WallTime},
        types::{Span, TargetId},
    },
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Write},
    },
};

const LANES_MAX: usize = 200;
const EVENT_LINES_MAX: usize = 5_000;
const LABEL_PIXELS: f64 = 220.0;
const CHART_PIXELS: f64 = 900.0;
const LANE_PIXELS: f64 = 18.0;
const BAR_PIXELS: f64 = 14.0;
const HEAD_PIXELS: f64 = 24.0;
/// Hue difference of consecutive targets, large enough to tell them apart.
const HUE_STEP_DEGREES: usize = 137;

const STYLE: &str = "body{font:14px sans-serif;margin:1em}text{font:11px sans-serif}pre{font:12px monospace}\
.unavailable{fill:#d00}.overlap{fill:#000}.unanswered{opacity:.45}";

/// Renders the page.
pub fn render_page(timeline: &Timeline) -> String {
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
    for event in timeline.events.iter().take(EVENT_LINES_MAX) {
        writeln!(page, "{}", escape(Line::Event(event)))?;
    }
    let hidden = timeline.events.len().saturating_sub(EVENT_LINES_MAX);
    writeln!(page, "</pre><p>{hidden} further events are not shown.</p></body></html>")
}

fn write_missing(page: &mut String, timeline: &Timeline) -> fmt::Result {
    if timeline.unreachable.is_empty() && timeline.gaps.is_empty() {
        return writeln!(page, "<p>All gateways answered; no event was dropped.</p>");
    }
    writeln!(page, "<p>This time line is incomplete:</p><ul>")?;
    for unreachable in &timeline.unreachable {
        writeln!(page, "<li>{}</li>", escape(unreachable))?;
    }
    for gap in &timeline.gaps {
        writeln!(page, "<li>{}</li>", escape(gap))?;
    }
    writeln!(page, "</ul>")
}

struct Scale {
    start: WallTime,
    micros: f64,
}

impl Scale {
    fn x(&self, at: WallTime) -> f64 {
        let elapsed = at.as_micros().saturating_sub(self.start.as_micros());
        LABEL_PIXELS + CHART_PIXELS * elapsed as f64 / self.micros
    }
}

fn write_chart(page: &mut String, timeline: &Timeline, lanes: &[Lane]) -> fmt::Result {
    let wall = |event: Option<&Event>| event.map_or(WallTime::default(), |event| event.at.wall);
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
        to_rfc3339(start),
        to_rfc3339(end)
    )?;
    writeln!(page, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">")?;
    let length = Span::from_micros(span);
    writeln!(page, "<text x=\"{LABEL_PIXELS}\" y=\"14\">0</text>")?;
    writeln!(page, "<text x=\"{width}\" y=\"14\" text-anchor=\"end\">{length}</text>")?;
    for (index, lane) in shown.iter().enumerate() {
        write_lane(page, lane, HEAD_PIXELS + LANE_PIXELS * index as f64, &scale, &hues)?;
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
    for segment in &lane.segments {
        let (x, end) = (scale.x(segment.from), scale.x(segment.to));
        let width = (end - x).max(1.0);
        let (appearance, title) = appearance(segment, hues);
        let length = Span::from_micros(segment.to.as_micros() - segment.from.as_micros());
        writeln!(
            page,
            "<rect x=\"{x:.1}\" y=\"{y}\" width=\"{width:.1}\" height=\"{BAR_PIXELS}\" {appearance}><title>{} for {length} \
             from {}</title></rect>",
            escape(title),
            to_rfc3339(segment.from)
        )?;
    }
    Ok(())
}

fn label(lane: &Lane) -> String {
    let unavailable = Span::from_micros(lane.unavailable_micros());
    let first = lane.slices.first().map(ToString::to_string).unwrap_or_default();
    match lane.slices.len() {
        1 => format!("{first}, unavailable {unavailable}"),
        count => format!("{first} and {} more, {unavailable}", count - 1),
    }
}

fn appearance(segment: &Segment, hues: &BTreeMap<&TargetId, usize>) -> (String, String) {
    let fill = |target: &TargetId| format!("fill=\"hsl({},60%,55%)\"", hues.get(target).unwrap_or(&0));
    match &segment.state {
        SliceState::Owned(target) => (fill(target), format!("{target}")),
        SliceState::NotRenewed(target) => {
            (format!("class=\"unanswered\" {}", fill(target)), format!("{target} not answering"))
        }
        SliceState::Unavailable => ("class=\"unavailable\"".to_owned(), "unavailable".to_owned()),
        SliceState::Overlap(target) => {
            ("class=\"overlap\"".to_owned(), format!("{target} while another target holds the slice"))
        }
    }
}

fn hues(lanes: &[Lane]) -> BTreeMap<&TargetId, usize> {
    let targets = lanes.iter().flat_map(|lane| &lane.segments).filter_map(|segment| match &segment.state {
        SliceState::Owned(t) | SliceState::NotRenewed(t) | SliceState::Overlap(t) => Some(t),
        SliceState::Unavailable => None,
    });
    let mut hues: BTreeMap<&TargetId, usize> = targets.map(|target| (target, 0)).collect();
    hues.values_mut().enumerate().for_each(|(index, hue)| *hue = index * HUE_STEP_DEGREES % 360);
    hues
}

fn escape(text: impl Display) -> String {
    let text = text.to_string();
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

//===- HtmlPage.cpp - HTML page of a timeline -----------------------------===//
//
// Renders a drawing with one lane per process and one dot per event, above a
// table of all events in causal order. All text from processes is escaped,
// because names may contain text chosen by callers.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/MergedTimeline.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>

namespace figlift::timeline {

namespace {

constexpr double DrawingWidth = 1200;
constexpr double LabelWidth = 190;
constexpr double RightMargin = 30;
constexpr double AxisHeight = 28;
constexpr double DotRadius = 4.5;
/// Dots closer than this are placed in different rows.
constexpr double DotDistance = 10;
constexpr size_t MaximumDotRows = 6;
constexpr double DotRowHeight = 11;
constexpr double LanePadding = 20;

constexpr std::string_view Style = R"(
:root{--ink:#1d2733;--soft:#667384;--line:#dfe5ec;--page:#f6f8fa;--card:#fff;
--request:#2f6fde;--order:#7b4fc9;--authority:#0d8a8a;--drain:#b7791f;
--configuration:#2e8b57;--process:#76828f;--trouble:#d1364b}
@media (prefers-color-scheme:dark){:root{--ink:#e4e9ef;--soft:#98a5b3;
--line:#2c3641;--page:#12171d;--card:#1a2129;--request:#6ea0ff;--order:#b08bf5;
--authority:#3cc4c4;--drain:#e3a94a;--configuration:#59c48a;--process:#94a0ad;
--trouble:#ff6f82}}
*{box-sizing:border-box}
body{margin:0;padding:28px;background:var(--page);color:var(--ink);
font:14px/1.45 system-ui,sans-serif}
main{max-width:1260px;margin:auto}
h1{font-size:22px;margin:0 0 2px}
.facts{color:var(--soft);margin:0 0 16px}
.card{background:var(--card);border:1px solid var(--line);border-radius:10px;
padding:14px;margin:0 0 16px;overflow-x:auto}
.missing{border-color:var(--trouble)}
.missing ul{margin:4px 0 0;padding-left:20px}
svg{display:block;width:100%;min-width:800px;height:auto}
svg text{font:12px system-ui,sans-serif;fill:var(--ink)}
svg .soft{fill:var(--soft);font-size:11px}
svg .grid{stroke:var(--line)}
svg .lane{fill:var(--line);opacity:.35}
svg a:hover circle,svg a:focus circle{stroke:var(--ink);stroke-width:2.5}
.legend{display:flex;gap:18px;flex-wrap:wrap;color:var(--soft);
margin:10px 0 0;font-size:13px}
.legend i,td i{display:inline-block;width:10px;height:10px;border-radius:50%;
margin-right:6px;background:currentColor}
.request{color:var(--request);fill:var(--request)}
.order{color:var(--order);fill:var(--order)}
.authority{color:var(--authority);fill:var(--authority)}
.drain{color:var(--drain);fill:var(--drain)}
.configuration{color:var(--configuration);fill:var(--configuration)}
.process{color:var(--process);fill:var(--process)}
.trouble{color:var(--trouble);fill:var(--trouble)}
.legend span span{color:var(--soft)}
input{width:100%;padding:8px 10px;margin:0 0 10px;border-radius:8px;
border:1px solid var(--line);background:var(--page);color:inherit;font:inherit}
table{border-collapse:collapse;width:100%}
th{text-align:left;color:var(--soft);font-weight:600}
th,td{padding:5px 10px 5px 0;border-bottom:1px solid var(--line);
vertical-align:top}
td.time{font-family:ui-monospace,monospace;white-space:nowrap}
td.kind{white-space:nowrap}
td.about{overflow-wrap:anywhere}
td b{font-weight:600}
tr:target td{background:color-mix(in srgb,var(--request) 15%,transparent)}
.fields{color:var(--soft);font-size:13px;overflow-wrap:anywhere}
)";

/// Hides the rows that do not contain the text in the filter box. Reads only
/// the text content of the table, so that no text from a process is executed.
constexpr std::string_view Script = R"(
const box=document.getElementById('filter');
box.addEventListener('input',()=>{const wanted=box.value.toLowerCase();
for(const row of document.querySelectorAll('tbody tr'))
row.hidden=!row.textContent.toLowerCase().includes(wanted);});
)";

struct Category {
  std::string_view Class;
  std::string_view Label;
  /// An event belongs to the category if its kind contains one of these words.
  std::array<std::string_view, 8> Words;
};

/// The first matching row applies. "trouble" comes first, so that a failure is
/// shown as such regardless of its subject.
constexpr std::array Categories = {
    Category{"trouble",
             "refusal, failure or loss",
             {"refused", "failed", "lost", "unknown", "abandoned", "down",
              "rejected", "conflict"}},
    Category{"drain", "drain", {"drain", "leaving", "stopping"}},
    Category{"order", "order", {"order", "role", "model"}},
    Category{"authority", "lease or slice", {"lease", "slice", "epoch"}},
    Category{"configuration",
             "configuration",
             {"revision", "record", "configuration"}},
    Category{"request",
             "request",
             {"request", "attempt", "work", "answer", "claim"}},
    Category{"process", "process or peer", {}},
};

const Category &categoryOf(const Event &Item) {
  for (const Category &Candidate : Categories)
    for (std::string_view Word : Candidate.Words)
      if (!Word.empty() && Item.Kind.find(Word) != std::string::npos)
        return Candidate;
  return Categories.back();
}

/// The result is safe as element content and in a quoted attribute.
std::string escape(std::string_view Text) {
  std::string Escaped;
  for (char Character : Text) {
    switch (Character) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      // HTML allows no other control characters.
      bool IsControl =
          static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f;
      Escaped +=
          IsControl && Character != '\n' && Character != '\t' ? '?' : Character;
    }
  }
  return Escaped;
}

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.1f", Value);
  return Text;
}

/// Maps wall time to a horizontal position.
struct Scale {
  WallTime First{};
  WallTime Last{};

  explicit Scale(const std::vector<Event> &Events) {
    if (Events.empty())
      return;
    First = Events.front().Timestamp.wallTime();
    Last = Events.back().Timestamp.wallTime();
  }

  double span() const {
    return std::max(1.0, static_cast<double>((Last - First).count()));
  }
  double position(WallTime At) const {
    double Usable = DrawingWidth - LabelWidth - RightMargin;
    auto Since = static_cast<double>((At - First).count());
    return LabelWidth + 12 + Usable * Since / span();
  }
};

/// The lane of one process: its labels and dots.
struct Lane {
  std::string Title;
  std::string Subtitle;
  /// Indexes into MergedTimeline::Events.
  std::vector<size_t> Events;
  /// Row of each dot, counted from the top of the lane.
  std::vector<size_t> Rows;
  size_t RowCount = 1;

  double height() const {
    return LanePadding +
           std::max(2.0, static_cast<double>(RowCount)) * DotRowHeight;
  }
};

/// Places overlapping dots in different rows.
void placeDots(Lane &ProcessLane, const MergedTimeline &Merged,
               const Scale &Axis) {
  std::array<double, MaximumDotRows> RowEnd;
  RowEnd.fill(-DotDistance);
  for (size_t Index : ProcessLane.Events) {
    double X = Axis.position(Merged.Events[Index].Timestamp.wallTime());
    size_t Row = 0;
    while (Row + 1 < MaximumDotRows && X - RowEnd[Row] < DotDistance)
      ++Row;
    RowEnd[Row] = X;
    ProcessLane.Rows.push_back(Row);
    ProcessLane.RowCount = std::max(ProcessLane.RowCount, Row + 1);
  }
}

std::vector<Lane> makeLanes(const MergedTimeline &Merged, const Scale &Axis) {
  std::map<std::string, size_t> LaneOf;
  std::vector<Lane> Lanes;
  auto Find = [&](const std::string &ProcessId) -> Lane & {
    auto [Position, IsNew] = LaneOf.try_emplace(ProcessId, Lanes.size());
    if (IsNew)
      Lanes.push_back({ProcessId, "", {}, {}});
    return Lanes[Position->second];
  };
  std::vector<Source> Sources = Merged.Sources;
  std::ranges::stable_sort(Sources, std::ranges::greater(),
                           &Source::ProcessKind);
  for (const Source &Process : Sources)
    if (!Process.Failure)
      Find(Process.ProcessId).Subtitle =
          Process.ProcessKind + " · " + Process.Zone;
  for (size_t I = 0; I < Merged.Events.size(); ++I)
    Find(Merged.Events[I].ProcessId).Events.push_back(I);
  for (Lane &ProcessLane : Lanes)
    placeDots(ProcessLane, Merged, Axis);
  return Lanes;
}

std::string describeFields(const Event &Item, std::string_view Separator) {
  std::string Text;
  for (const auto &[Name, Value] : Item.Fields) {
    if (!Text.empty())
      Text += Separator;
    Text += Name + "=" + toString(Value);
  }
  return Text;
}

/// Tooltip of a dot.
std::string tooltip(const Event &Item) {
  std::string Text = timeOfDay(Item.Timestamp) + "  " + Item.Kind + "\n" +
                     std::string(toString(Item.EventSubject.Type)) + " " +
                     Item.EventSubject.Name;
  if (!Item.Fields.empty())
    Text += "\n" + describeFields(Item, "\n");
  if (precedesCause(Item))
    Text += "\nstamped before its cause: a clock ran ahead";
  return Text;
}

/// Distance of axis marks: 1, 2 or 5 times a power of ten, for about eight
/// marks.
double tickStep(double Span) {
  double Rough = Span / 8;
  double Power = std::pow(10, std::floor(std::log10(std::max(Rough, 1.0))));
  for (double Factor : {1.0, 2.0, 5.0})
    if (Factor * Power >= Rough)
      return Factor * Power;
  return 10 * Power;
}

std::string drawAxis(const Scale &Axis, double Height) {
  std::string Text;
  auto Step = static_cast<int64_t>(tickStep(Axis.span()));
  int64_t First = Axis.First.time_since_epoch().count();
  int64_t Last = Axis.Last.time_since_epoch().count();
  for (int64_t At = (First + Step - 1) / Step * Step; At <= Last; At += Step) {
    WallTime Time{std::chrono::milliseconds(At)};
    std::string X = number(Axis.position(Time));
    Text += "<line class=\"grid\" x1=\"" + X + "\" x2=\"" + X + "\" y1=\"" +
            number(AxisHeight - 6) + "\" y2=\"" + number(Height) +
            "\"/><text class=\"soft\" text-anchor=\"middle\" x=\"" + X +
            "\" y=\"14\">" + timeOfDay(Stamp::of(Time)) + "</text>\n";
  }
  return Text;
}

std::string drawDot(const Event &Item, size_t Index, double X, double Y) {
  return "<a href=\"#e" + std::to_string(Index) + "\"><circle class=\"" +
         std::string(categoryOf(Item).Class) + "\" cx=\"" + number(X) +
         "\" cy=\"" + number(Y) + "\" r=\"" + number(DotRadius) + "\"><title>" +
         escape(tooltip(Item)) + "</title></circle></a>\n";
}

std::string drawLane(const Lane &ProcessLane, const MergedTimeline &Merged,
                     const Scale &Axis, double Top) {
  std::string Text =
      "<rect class=\"lane\" rx=\"6\" x=\"0\" width=\"" + number(DrawingWidth) +
      "\" y=\"" + number(Top) + "\" height=\"" +
      number(ProcessLane.height() - 4) + "\"/><text x=\"10\" y=\"" +
      number(Top + 17) + "\" font-weight=\"600\">" + escape(ProcessLane.Title) +
      "</text><text class=\"soft\" x=\"10\" y=\"" + number(Top + 32) + "\">" +
      escape(ProcessLane.Subtitle) + "</text>\n";
  for (size_t I = 0; I < ProcessLane.Events.size(); ++I) {
    const Event &Item = Merged.Events[ProcessLane.Events[I]];
    double Y = Top + LanePadding / 2 + DotRadius +
               static_cast<double>(ProcessLane.Rows[I]) * DotRowHeight;
    Text += drawDot(Item, ProcessLane.Events[I],
                    Axis.position(Item.Timestamp.wallTime()), Y);
  }
  return Text;
}

std::string drawLanes(const MergedTimeline &Merged) {
  Scale Axis(Merged.Events);
  std::vector<Lane> Lanes = makeLanes(Merged, Axis);
  double Height = AxisHeight;
  for (const Lane &ProcessLane : Lanes)
    Height += ProcessLane.height();
  std::string Text = "<svg role=\"img\" aria-label=\"Events by process\" "
                     "viewBox=\"0 0 " +
                     number(DrawingWidth) + " " + number(Height) + "\">\n";
  std::string Body;
  double Top = AxisHeight;
  for (const Lane &ProcessLane : Lanes) {
    Body += drawLane(ProcessLane, Merged, Axis, Top);
    Top += ProcessLane.height();
  }
  Text += drawAxis(Axis, Height) + Body + "</svg>\n<div class=\"legend\">";
  for (const Category &Shown : Categories)
    Text += "<span class=\"" + std::string(Shown.Class) + "\"><i></i><span>" +
            std::string(Shown.Label) + "</span></span>";
  return Text + "</div>\n";
}

std::string tableRow(const Event &Item, size_t Index) {
  std::string Fields = describeFields(Item, "  ");
  if (precedesCause(Item))
    Fields += "  (stamped before its cause: a clock ran ahead)";
  return "<tr id=\"e" + std::to_string(Index) + "\"><td class=\"time\">" +
         timeOfDay(Item.Timestamp) + "</td><td>" + escape(Item.ProcessId) +
         "</td><td class=\"kind\"><i class=\"" +
         std::string(categoryOf(Item).Class) + "\"></i><b>" +
         escape(Item.Kind) + "</b></td><td class=\"about\">" +
         std::string(toString(Item.EventSubject.Type)) + " " +
         escape(Item.EventSubject.Name) + "<div class=\"fields\">" +
         escape(Fields) + "</div></td></tr>\n";
}

std::string missingSources(const MergedTimeline &Merged) {
  if (!Merged.isPartial())
    return "";
  std::string Text = "<div class=\"card missing\"><b>Not all processes "
                     "answered; their events are missing.</b><ul>";
  for (const Source &Process : Merged.Sources)
    if (Process.Failure)
      Text += "<li>" + escape(Process.Address.toString()) + ": " +
              escape(Process.Failure->Message) + "</li>";
  return Text + "</ul></div>\n";
}

std::string summary(const MergedTimeline &Merged) {
  std::string Text = std::to_string(Merged.Events.size()) + " events of " +
                     std::to_string(Merged.Sources.size()) + " processes";
  if (Merged.Events.empty())
    return Text;
  return Text + ", " + timeOfDay(Merged.Events.front().Timestamp) + " to " +
         timeOfDay(Merged.Events.back().Timestamp) + " UTC, in causal order";
}

} // namespace

std::string renderHtml(const MergedTimeline &Merged) {
  std::string Page = "<!doctype html>\n<html lang=\"en\"><head><meta "
                     "charset=\"utf-8\"><meta name=\"viewport\" "
                     "content=\"width=device-width\"><title>figlift "
                     "timeline</title><style>" +
                     std::string(Style) +
                     "</style></head><body><main><h1>figlift timeline</h1>"
                     "<p class=\"facts\">" +
                     summary(Merged) + "</p>\n" + missingSources(Merged) +
                     "<div class=\"card\">" + drawLanes(Merged) +
                     "</div>\n<div class=\"card\"><input id=\"filter\" "
                     "type=\"search\" aria-label=\"Filter\" "
                     "placeholder=\"Show only events that contain this text\">"
                     "<table><thead><tr><th>time</th><th>process</th>"
                     "<th>event</th><th>about</th></tr></thead><tbody>\n";
  for (size_t I = 0; I < Merged.Events.size(); ++I)
    Page += tableRow(Merged.Events[I], I);
  return Page + "</tbody></table></div></main><script>" + std::string(Script) +
         "</script></body></html>\n";
}

} // namespace figlift::timeline

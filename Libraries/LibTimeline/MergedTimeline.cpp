//===- MergedTimeline.cpp - Events of many processes ----------------------===//
//
// Reading, merging, and the text and JSON output.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/MergedTimeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>

namespace figlift::timeline {

namespace {

using Json = nlohmann::ordered_json;

/// "08:15:02.250+65535".
constexpr size_t StampWidth = 18;

bool isSame(const Event &Left, const Event &Right) {
  return Left.When == Right.When && Left.ProcessId == Right.ProcessId;
}

bool names(const Event &Which, std::string_view RequestId) {
  if (Which.About.Type == SubjectType::Request && Which.About.Name == RequestId)
    return true;
  return std::ranges::any_of(Which.Fields, [&](const OwnedField &Each) {
    const auto *Text = std::get_if<std::string>(&Each.Value);
    return Text && *Text == RequestId;
  });
}

struct ValuePrinter {
  std::string operator()(const std::string &Text) const { return Text; }
  std::string operator()(std::chrono::nanoseconds Time) const {
    return Json(std::chrono::duration<double, std::milli>(Time).count())
               .dump() +
           "ms";
  }
  std::string operator()(auto Plain) const { return Json(Plain).dump(); }
};

/// Replaces control characters, so that a name cannot forge a line or send
/// escape codes to a terminal.
std::string printable(std::string_view Text) {
  std::string Clean(Text);
  for (char &Each : Clean)
    if (static_cast<unsigned char>(Each) < 0x20 || Each == 0x7f)
      Each = '?';
  return Clean;
}

std::string describe(const Source &Which) {
  if (Which.Failure)
    return "# " + Which.Address.toString() +
           " gave no answer: " + printable(Which.Failure->Message) + "\n";
  std::string Text =
      "# " + Which.Address.toString() + " is " + printable(Which.ProcessKind) +
      " " + printable(Which.ProcessId) + " in " + printable(Which.Zone);
  if (Which.Overwritten != 0)
    Text += ", " + std::to_string(Which.Overwritten) +
            " older events were overwritten";
  return Text + "\n";
}

Json toJson(const Source &Which) {
  Json Value{{"address", Which.Address.toString()}};
  if (Which.Failure) {
    Value["error"] = {{"code", static_cast<int>(Which.Failure->Code)},
                      {"message", Which.Failure->Message}};
    return Value;
  }
  Value["process"] = Which.ProcessId;
  Value["kind"] = Which.ProcessKind;
  Value["zone"] = Which.Zone;
  Value["overwritten"] = Which.Overwritten;
  return Value;
}

size_t widest(const MergedTimeline &Whole, std::string Event::*Member) {
  size_t Width = 0;
  for (const Event &Each : Whole.Events)
    Width = std::max(Width, (Each.*Member).size());
  return Width;
}

std::string pad(std::string Text, size_t Width) {
  if (Text.size() < Width)
    Text.append(Width - Text.size(), ' ');
  return Text;
}

} // namespace

Result<SourceAnswer> parseAnswer(const Endpoint &Address,
                                 std::string_view Body) try {
  Json Parsed = Json::parse(Body);
  SourceAnswer Answer;
  Answer.From.Address = Address;
  Answer.From.ProcessId = Parsed.at("process").get<std::string>();
  Answer.From.ProcessKind = Parsed.value("kind", "");
  Answer.From.Zone = Parsed.value("zone", "");
  Answer.From.Overwritten = Parsed.value("overwritten", uint64_t{0});
  for (const Json &Each : Parsed.at("events")) {
    FIGLIFT_TRY(Read, eventFromJson(Each));
    Answer.Events.push_back(std::move(Read));
  }
  return Answer;
} catch (const nlohmann::json::exception &Thrown) {
  return failure(ResultCode::InvalidInput,
                 std::string("the answer is no time line: ") + Thrown.what());
}

bool MergedTimeline::isPartial() const {
  return std::ranges::any_of(
      Sources, [](const Source &Each) { return Each.Failure.has_value(); });
}

MergedTimeline mergeAnswers(std::vector<SourceAnswer> Answers) {
  MergedTimeline Whole;
  for (SourceAnswer &Each : Answers) {
    Whole.Sources.push_back(std::move(Each.From));
    std::ranges::move(Each.Events, std::back_inserter(Whole.Events));
  }
  std::ranges::sort(Whole.Events, isBefore);
  Whole.Events.erase(
      std::unique(Whole.Events.begin(), Whole.Events.end(), isSame),
      Whole.Events.end());
  return Whole;
}

void followRequest(MergedTimeline &Whole, std::string_view RequestId) {
  std::set<Stamp> Kept;
  std::erase_if(Whole.Events, [&](const Event &Each) {
    if (!names(Each, RequestId) && !Kept.contains(Each.Cause))
      return true;
    Kept.insert(Each.When);
    return false;
  });
}

bool precedesItsCause(const Event &Which) {
  return !Which.Cause.isNone() && Which.When <= Which.Cause;
}

std::string timeOfDay(Stamp When) {
  auto Wall = When.wallTime();
  auto Day = std::chrono::floor<std::chrono::days>(Wall);
  std::chrono::hh_mm_ss Time(Wall - Day);
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%02d:%02d:%02d.%03d",
                static_cast<int>(Time.hours().count()),
                static_cast<int>(Time.minutes().count()),
                static_cast<int>(Time.seconds().count()),
                static_cast<int>(Time.subseconds().count()));
  return Text;
}

std::string renderText(const MergedTimeline &Whole) {
  std::string Text;
  for (const Source &Each : Whole.Sources)
    Text += describe(Each);
  size_t ProcessWidth = widest(Whole, &Event::ProcessId);
  size_t KindWidth = widest(Whole, &Event::Kind);
  for (const Event &Each : Whole.Events) {
    std::string When =
        timeOfDay(Each.When) + "+" + std::to_string(Each.When.counter());
    Text += pad(std::move(When), StampWidth);
    Text += " " + pad(printable(Each.ProcessId), ProcessWidth) + " " +
            pad(printable(Each.Kind), KindWidth) + " " +
            std::string(toString(Each.About.Type)) + "=" +
            printable(Each.About.Name);
    for (const auto &[Name, Value] : Each.Fields)
      Text += " " + printable(Name) + "=" + printable(toString(Value));
    if (precedesItsCause(Each))
      Text += " (stamped before its cause: a clock ran ahead)";
    Text += "\n";
  }
  return Text;
}

std::string renderJson(const MergedTimeline &Whole) {
  Json Root{{"partial", Whole.isPartial()}};
  Json &Sources = Root["sources"] = Json::array();
  for (const Source &Each : Whole.Sources)
    Sources.push_back(toJson(Each));
  Json &Events = Root["events"] = Json::array();
  for (const Event &Each : Whole.Events)
    Events.push_back(toJson(Each));
  return Root.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string toString(const OwnedValue &Value) {
  return std::visit(ValuePrinter{}, Value);
}

} // namespace figlift::timeline

//===- MergedTimeline.cpp - Events of many processes ----------------------===//
//
// Parsing, merging, and the text and JSON output.
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

/// Width of "08:15:02.250+65535".
constexpr size_t StampWidth = 18;

bool isSame(const Event &Left, const Event &Right) {
  return Left.Timestamp == Right.Timestamp && Left.ProcessId == Right.ProcessId;
}

bool namesRequest(const Event &Item, std::string_view RequestId) {
  if (Item.EventSubject.Type == SubjectType::Request &&
      Item.EventSubject.Name == RequestId)
    return true;
  return std::ranges::any_of(Item.Fields, [&](const OwnedField &Field) {
    const auto *Text = std::get_if<std::string>(&Field.Value);
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

/// Replaces control characters, so that a name cannot forge an output line or
/// send escape sequences to a terminal.
std::string printable(std::string_view Text) {
  std::string Clean(Text);
  for (char &Character : Clean)
    if (static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f)
      Character = '?';
  return Clean;
}

std::string describe(const Source &Process) {
  if (Process.Failure)
    return "# " + Process.Address.toString() +
           " gave no answer: " + printable(Process.Failure->Message) + "\n";
  std::string Text = "# " + Process.Address.toString() + " is " +
                     printable(Process.ProcessKind) + " " +
                     printable(Process.ProcessId) + " in " +
                     printable(Process.Zone);
  if (Process.Overwritten != 0)
    Text += ", " + std::to_string(Process.Overwritten) +
            " older events were overwritten";
  return Text + "\n";
}

Json toJson(const Source &Process) {
  Json Value{{"address", Process.Address.toString()}};
  if (Process.Failure) {
    Value["error"] = {{"code", static_cast<int>(Process.Failure->Code)},
                      {"message", Process.Failure->Message}};
    return Value;
  }
  Value["process"] = Process.ProcessId;
  Value["kind"] = Process.ProcessKind;
  Value["zone"] = Process.Zone;
  Value["overwritten"] = Process.Overwritten;
  return Value;
}

size_t widest(const MergedTimeline &Merged, std::string Event::*Member) {
  size_t Width = 0;
  for (const Event &Item : Merged.Events)
    Width = std::max(Width, (Item.*Member).size());
  return Width;
}

std::string pad(std::string Text, size_t Width) {
  if (Text.size() < Width)
    Text.append(Width - Text.size(), ' ');
  return Text;
}

} // namespace

Result<SourceResponse> parseResponse(const Endpoint &Address,
                                     std::string_view Body) try {
  Json Parsed = Json::parse(Body);
  SourceResponse Response;
  Response.Origin.Address = Address;
  Response.Origin.ProcessId = Parsed.at("process").get<std::string>();
  Response.Origin.ProcessKind = Parsed.value("kind", "");
  Response.Origin.Zone = Parsed.value("zone", "");
  Response.Origin.Overwritten = Parsed.value("overwritten", uint64_t{0});
  for (const Json &Value : Parsed.at("events")) {
    FIGLIFT_TRY(Item, eventFromJson(Value));
    Response.Events.push_back(std::move(Item));
  }
  return Response;
} catch (const nlohmann::json::exception &Exception) {
  return failure(ResultCode::InvalidInput,
                 std::string("invalid timeline response: ") + Exception.what());
}

bool MergedTimeline::isPartial() const {
  return std::ranges::any_of(Sources, [](const Source &Process) {
    return Process.Failure.has_value();
  });
}

MergedTimeline mergeResponses(std::vector<SourceResponse> Responses) {
  MergedTimeline Merged;
  for (SourceResponse &Response : Responses) {
    Merged.Sources.push_back(std::move(Response.Origin));
    std::ranges::move(Response.Events, std::back_inserter(Merged.Events));
  }
  std::ranges::sort(Merged.Events, isBefore);
  Merged.Events.erase(
      std::unique(Merged.Events.begin(), Merged.Events.end(), isSame),
      Merged.Events.end());
  return Merged;
}

void followRequest(MergedTimeline &Merged, std::string_view RequestId) {
  std::set<Stamp> Kept;
  std::erase_if(Merged.Events, [&](const Event &Item) {
    if (!namesRequest(Item, RequestId) && !Kept.contains(Item.Cause))
      return true;
    Kept.insert(Item.Timestamp);
    return false;
  });
}

bool precedesCause(const Event &Item) {
  return !Item.Cause.isNone() && Item.Timestamp <= Item.Cause;
}

std::string timeOfDay(Stamp Timestamp) {
  auto Wall = Timestamp.wallTime();
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

std::string renderText(const MergedTimeline &Merged) {
  std::string Text;
  for (const Source &Process : Merged.Sources)
    Text += describe(Process);
  size_t ProcessWidth = widest(Merged, &Event::ProcessId);
  size_t KindWidth = widest(Merged, &Event::Kind);
  for (const Event &Item : Merged.Events) {
    std::string Time = timeOfDay(Item.Timestamp) + "+" +
                       std::to_string(Item.Timestamp.counter());
    Text += pad(std::move(Time), StampWidth);
    Text += " " + pad(printable(Item.ProcessId), ProcessWidth) + " " +
            pad(printable(Item.Kind), KindWidth) + " " +
            std::string(toString(Item.EventSubject.Type)) + "=" +
            printable(Item.EventSubject.Name);
    for (const auto &[Name, Value] : Item.Fields)
      Text += " " + printable(Name) + "=" + printable(toString(Value));
    if (precedesCause(Item))
      Text += " (stamped before its cause: a clock ran ahead)";
    Text += "\n";
  }
  return Text;
}

std::string renderJson(const MergedTimeline &Merged) {
  Json Root{{"partial", Merged.isPartial()}};
  Json &Sources = Root["sources"] = Json::array();
  for (const Source &Process : Merged.Sources)
    Sources.push_back(toJson(Process));
  Json &Events = Root["events"] = Json::array();
  for (const Event &Item : Merged.Events)
    Events.push_back(toJson(Item));
  return Root.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string toString(const OwnedValue &Value) {
  return std::visit(ValuePrinter{}, Value);
}

} // namespace figlift::timeline

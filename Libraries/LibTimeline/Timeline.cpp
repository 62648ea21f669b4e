//===- Timeline.cpp - Events of one process -------------------------------===//
//
// See Timeline.h.
//
//===----------------------------------------------------------------------===//

#include "LibTimeline/Timeline.h"

#include <nlohmann/json.hpp>

namespace figlift::timeline {

namespace {

OwnedValue toOwned(const FieldValue &Value) {
  return std::visit(
      [](const auto &Alternative) -> OwnedValue {
        using Type = std::decay_t<decltype(Alternative)>;
        if constexpr (std::is_same_v<Type, std::string_view>)
          return std::string(Alternative);
        else
          return Alternative;
      },
      Value);
}

} // namespace

Timeline::Timeline(TimelineOptions Options)
    : m_Options(std::move(Options)), m_Clock(m_Options.Now),
      m_Ring(m_Options.Capacity) {}

Stamp Timeline::record(EventKind Kind, Subject EventSubject, FieldList Fields,
                       Stamp Cause) {
  Event New{m_Clock.tick(),
            m_Options.ProcessId,
            std::string(Kind.name()),
            std::move(EventSubject),
            Cause,
            {}};
  New.Fields.reserve(Fields.size());
  for (const auto &[Name, Value] : Fields)
    New.Fields.push_back({std::string(Name), toOwned(Value)});
  Stamp Timestamp = New.Timestamp;
  m_Ring.push(std::move(New));
  return Timestamp;
}

Stamp Timeline::received(uint64_t Clock) {
  m_Clock.mergeReceived(Clock);
  return {Clock};
}

std::string Timeline::toJson(Stamp After, size_t Limit) const {
  nlohmann::ordered_json Body;
  Body["process"] = m_Options.ProcessId;
  Body["kind"] = m_Options.ProcessKind;
  Body["zone"] = m_Options.Zone;
  Body["now"] = m_Clock.last().toString();
  Body["overwritten"] = m_Ring.overwritten();
  auto &Events = Body["events"] = nlohmann::ordered_json::array();
  for (const Event &Item : m_Ring.after(After)) {
    if (Events.size() >= Limit)
      break;
    Events.push_back(timeline::toJson(Item));
  }
  // Names may contain bytes from a caller that are not valid UTF-8, for which
  // dump() throws by default.
  return Body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace figlift::timeline
